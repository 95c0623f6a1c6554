package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"primrosecourse/internal/connection/call"
	"primrosecourse/pkg/jsonparts"
)

const (
	// defaultTimeout is the default of Client.Timeout. A healthy platform responds within milliseconds; the timeout is short
	// enough for the caller to retry.
	defaultTimeout = 5 * time.Second
	// maxListBytes limits the response bodies of lists, watches and the list of instances. 10,000 endpoints take about 1 MB.
	maxListBytes = 16 << 20
)

// Client calls the platform. It is safe for concurrent use. It does not retry calls itself, but net/http may send a read again
// if the platform has closed the idle connection.
type Client struct {
	// Timeout limits each call; the limit of Watch is longer by its argument wait. Default 5 s. It must be set before the
	// first call.
	Timeout time.Duration

	base  *sling.Sling
	calls *call.Client
}

// New returns a client of the platform at addr.
func New(addr netip.AddrPort) *Client {
	return &Client{
		Timeout: defaultTimeout,
		base:    sling.New().Base("http://" + addr.String() + "/"),
		calls:   call.New(call.Settings{IdleConnections: 16, MaxConnections: 64}),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.calls.Close() }

// Get reads an object. Errors: ErrNotFound, ErrRateLimited, ErrUnavailable. In Get, Put and Delete an invalid kind or name is an
// error without a mark.
func (c *Client) Get(ctx context.Context, kind, name string) (obj Object, err error) {
	defer func() { err = errors.Wrapf(err, "platform: get %s/%s", kind, name) }()
	path, err := objectPath(kind, name)
	if err != nil {
		return Object{}, err
	}
	resp, err := c.do(ctx, request{Sling: c.base.New().Get(path), limit: MaxValueBytes})
	if err != nil {
		return Object{}, err
	}
	if err = StatusError(resp.Status, false); err != nil {
		return Object{}, err
	}
	v, err := version(resp)
	if err != nil {
		return Object{}, errors.Mark(err, ErrUnavailable)
	}
	return Object{Kind: kind, Name: name, Version: v, Value: resp.Body}, nil
}

// Put writes obj.Value if the object still has version obj.Version, or does not exist if obj.Version is 0. It returns the
// new version. Errors: ErrConflict, ErrTooLarge, ErrRateLimited and ErrUnavailable, after which nothing was written, and
// ErrUncertain, after which the value may have been written.
func (c *Client) Put(ctx context.Context, obj Object) (next uint64, err error) {
	defer func() { err = errors.Wrapf(err, "platform: put %s/%s", obj.Kind, obj.Name) }()
	if len(obj.Value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	path, err := objectPath(obj.Kind, obj.Name)
	if err != nil {
		return 0, err
	}
	req := c.base.New().Put(path).Set("If-Version", strconv.FormatUint(obj.Version, 10)).
		Set("Content-Type", "application/octet-stream").Body(bytes.NewReader(obj.Value))
	resp, err := c.do(ctx, request{Sling: req, write: true})
	if err != nil {
		return 0, err
	}
	if err = StatusError(resp.Status, true); err != nil {
		return 0, err
	}
	v, err := version(resp)
	if err != nil {
		return 0, errors.Mark(err, ErrUncertain)
	}
	return v, nil
}

// Delete deletes the object if it still has the given version. Errors: those of Put, and ErrNotFound.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) (err error) {
	defer func() { err = errors.Wrapf(err, "platform: delete %s/%s", kind, name) }()
	path, err := objectPath(kind, name)
	if err != nil {
		return err
	}
	req := c.base.New().Delete(path).Set("If-Version", strconv.FormatUint(version, 10))
	resp, err := c.do(ctx, request{Sling: req, write: true})
	if err != nil {
		return err
	}
	return StatusError(resp.Status, true)
}

// List returns the objects of a kind whose names begin with prefix, sorted by name and without their values. None is left out: if one
// cannot be decoded, the list fails. Errors: ErrRateLimited, ErrUnavailable.
func (c *Client) List(ctx context.Context, kind, prefix string) (objects []Object, err error) {
	defer func() { err = errors.Wrapf(err, "platform: list %s", kind) }()
	req := c.base.New().Get("/objects/" + url.PathEscape(kind) + "?" + url.Values{"Prefix": {prefix}}.Encode())
	err = c.doJSON(ctx, request{Sling: req, limit: maxListBytes}, &objects)
	return objects, err
}

// Watch returns the changes of a kind after a revision, and the revision from which the next call continues. If there is
// no change yet, it waits for one for at most wait and then returns no events. With ErrWatchGap the returned revision is
// the current one; the caller must read the objects again and watch from that revision. Errors: ErrWatchGap,
// ErrRateLimited, ErrUnavailable.
func (c *Client) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (
	events []Event, revision uint64, err error,
) {
	defer func() { err = errors.Wrapf(err, "platform: watch %s", kind) }()
	query := url.Values{"After": {strconv.FormatUint(after, 10)}, "Wait": {wait.String()}}
	req := c.base.New().Get("/watch/" + url.PathEscape(kind) + "?" + query.Encode())
	var reply WatchReply
	err = c.doJSON(ctx, request{Sling: req, limit: maxListBytes, wait: wait}, &reply)
	return reply.Events, reply.Revision, err
}

// WatchReply is the JSON body of the response to a watch.
type WatchReply struct {
	Events   []Event
	Revision uint64
}

// Instances returns the platform's list of instances, which lags behind the actual state. An instance that cannot be decoded is left out.
// Errors: ErrRateLimited, ErrUnavailable.
func (c *Client) Instances(ctx context.Context) (instances []Instance, err error) {
	defer func() { err = errors.Wrap(err, "platform: instances") }()
	resp, err := c.do(ctx, request{Sling: c.base.New().Get("/instances"), limit: maxListBytes})
	if err != nil {
		return nil, err
	}
	if err = StatusError(resp.Status, false); err != nil {
		return nil, err
	}
	err = jsonparts.Array(resp.Body, func(value []byte) error {
		var instance Instance
		if json.Unmarshal(value, &instance) == nil && instance.Name != "" {
			instances = append(instances, instance)
		}
		return nil
	})
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode response"), ErrUnavailable)
	}
	return instances, nil
}

// objectPath returns the path of an object. It escapes slashes, so that a name is always one path segment.
func objectPath(kind, name string) (string, error) {
	for _, s := range []string{kind, name} {
		if s == "" || s == "." || s == ".." {
			return "", errors.Newf("object name %q/%q is not valid", kind, name)
		}
	}
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name), nil
}

// request is a request to the platform.
type request struct {
	*sling.Sling
	// write means that the request may change an object.
	write bool
	// limit is the maximum size of the response body in bytes; 0 means the default of package call.
	limit int64
	// wait is the time that the platform may delay the response, in addition to the timeout.
	wait time.Duration
}

// do sends a request once.
func (c *Client) do(ctx context.Context, r request) (resp call.Answer, err error) {
	req, err := r.Request()
	if err != nil {
		return call.Answer{}, errors.Mark(err, ErrUnavailable)
	}
	resp, err = c.calls.Do(ctx, req, call.Bounds{Timeout: c.Timeout, Wait: r.wait, Limit: r.limit})
	if err != nil {
		return call.Answer{}, CallError(err, r.write)
	}
	return resp, nil
}

// doJSON sends a request and returns the error for the status of the response. It decodes the body into v if the status is
// 200, or 410, with which a watch returns the current revision.
func (c *Client) doJSON(ctx context.Context, r request, v any) error {
	resp, err := c.do(ctx, r)
	if err != nil {
		return err
	}
	if resp.Status == http.StatusOK || resp.Status == http.StatusGone {
		if err := json.Unmarshal(resp.Body, v); err != nil {
			return errors.Mark(errors.Wrap(err, "decode response"), ErrUnavailable)
		}
	}
	return StatusError(resp.Status, false)
}

func version(resp call.Answer) (uint64, error) {
	v, err := strconv.ParseUint(resp.Header.Get("Version"), 10, 64)
	return v, errors.Wrap(err, "header Version")
}
