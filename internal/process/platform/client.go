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
)

const (
	// defaultTimeout is far above the milliseconds of a healthy platform, and short enough for a caller to try again.
	defaultTimeout = 5 * time.Second
	// maxListBytes bounds lists and watches. 10,000 endpoints take about 1 MB.
	maxListBytes = 16 << 20
)

// Client calls the platform. It is safe for concurrent use. Its calls are never repeated by the client itself.
type Client struct {
	// Timeout bounds each call; Watch may wait longer by its wait. Default 5 s. Set before the first call.
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

// Get reads an object. Errors: ErrNotFound, ErrRateLimited, ErrUnavailable.
func (c *Client) Get(ctx context.Context, kind, name string) (obj Object, err error) {
	defer func() { err = errors.Wrapf(err, "platform: get %s/%s", kind, name) }()
	path, err := objectPath(kind, name)
	if err != nil {
		return Object{}, err
	}
	answer, err := c.do(ctx, request{Sling: c.base.New().Get(path), limit: MaxValueBytes})
	if err != nil {
		return Object{}, err
	}
	if err = StatusError(answer.Status, false); err != nil {
		return Object{}, err
	}
	v, err := version(answer)
	if err != nil {
		return Object{}, errors.Mark(err, ErrUnavailable)
	}
	return Object{Kind: kind, Name: name, Version: v, Value: answer.Body}, nil
}

// Put writes obj.Value if the object still has version obj.Version, 0 for an object that does not exist, and returns
// the new version. Errors: ErrConflict, ErrTooLarge, ErrRateLimited and ErrUnavailable, all without effect, and
// ErrUncertain.
func (c *Client) Put(ctx context.Context, obj Object) (next uint64, err error) {
	defer func() { err = errors.Wrapf(err, "platform: put %s/%s", obj.Kind, obj.Name) }()
	if len(obj.Value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	path, err := objectPath(obj.Kind, obj.Name)
	if err != nil {
		return 0, err
	}
	out := c.base.New().Put(path).Set("If-Version", strconv.FormatUint(obj.Version, 10)).
		Set("Content-Type", "application/octet-stream").Body(bytes.NewReader(obj.Value))
	answer, err := c.do(ctx, request{Sling: out, write: true})
	if err != nil {
		return 0, err
	}
	if err = StatusError(answer.Status, true); err != nil {
		return 0, err
	}
	v, err := version(answer)
	if err != nil {
		return 0, errors.Mark(err, ErrUncertain)
	}
	return v, nil
}

// Delete removes the object if it still has the version. Errors: as Put, and ErrNotFound.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) (err error) {
	defer func() { err = errors.Wrapf(err, "platform: delete %s/%s", kind, name) }()
	path, err := objectPath(kind, name)
	if err != nil {
		return err
	}
	out := c.base.New().Delete(path).Set("If-Version", strconv.FormatUint(version, 10))
	answer, err := c.do(ctx, request{Sling: out, write: true})
	if err != nil {
		return err
	}
	return StatusError(answer.Status, true)
}

// List returns the objects of a kind whose names begin with prefix, sorted by name and without values. Errors:
// ErrRateLimited, ErrUnavailable.
func (c *Client) List(ctx context.Context, kind, prefix string) (objects []Object, err error) {
	defer func() { err = errors.Wrapf(err, "platform: list %s", kind) }()
	out := c.base.New().Get("/objects/" + url.PathEscape(kind) + "?" + url.Values{"Prefix": {prefix}}.Encode())
	err = c.doJSON(ctx, request{Sling: out, limit: maxListBytes}, &objects)
	return objects, err
}

// Watch returns the changes of a kind after a revision, and the revision to go on from. It waits at most wait for the
// first change and returns none after it. With ErrWatchGap the revision is the current one: the caller reads the
// objects and watches on from it. Errors: ErrWatchGap, ErrRateLimited, ErrUnavailable.
func (c *Client) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (
	events []Event, revision uint64, err error,
) {
	defer func() { err = errors.Wrapf(err, "platform: watch %s", kind) }()
	query := url.Values{"After": {strconv.FormatUint(after, 10)}, "Wait": {wait.String()}}
	out := c.base.New().Get("/watch/" + url.PathEscape(kind) + "?" + query.Encode())
	var reply WatchReply
	err = c.doJSON(ctx, request{Sling: out, limit: maxListBytes, wait: wait}, &reply)
	return reply.Events, reply.Revision, err
}

// WatchReply is the body of a watch's response.
type WatchReply struct {
	Events   []Event
	Revision uint64
}

// Instances returns the platform's lagging list of instances. Errors: ErrRateLimited, ErrUnavailable.
func (c *Client) Instances(ctx context.Context) (instances []Instance, err error) {
	defer func() { err = errors.Wrap(err, "platform: instances") }()
	err = c.doJSON(ctx, request{Sling: c.base.New().Get("/instances"), limit: maxListBytes}, &instances)
	return instances, err
}

// objectPath escapes slashes in names, so that a name is always one path segment.
func objectPath(kind, name string) (string, error) {
	for _, s := range []string{kind, name} {
		if s == "" || s == "." || s == ".." {
			return "", errors.Newf("object name %q/%q is not valid", kind, name)
		}
	}
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name), nil
}

// request is a call of the platform.
type request struct {
	*sling.Sling
	write bool
	limit int64
	wait  time.Duration
}

// do runs a call once.
func (c *Client) do(ctx context.Context, r request) (answer call.Answer, err error) {
	out, err := r.Request()
	if err != nil {
		return call.Answer{}, errors.Mark(err, ErrUnavailable)
	}
	answer, err = c.calls.Do(ctx, out, call.Bounds{Timeout: c.Timeout, Wait: r.wait, Limit: r.limit})
	if err != nil {
		return call.Answer{}, Unanswered(err, r.write)
	}
	return answer, nil
}

// doJSON reads JSON from an answer of 200 or 410 and returns the error of any other status than 200.
func (c *Client) doJSON(ctx context.Context, r request, v any) error {
	answer, err := c.do(ctx, r)
	if err != nil {
		return err
	}
	if answer.Status == http.StatusOK || answer.Status == http.StatusGone {
		if err := json.Unmarshal(answer.Body, v); err != nil {
			return errors.Mark(errors.Wrap(err, "decode answer"), ErrUnavailable)
		}
	}
	return StatusError(answer.Status, false)
}

func version(answer call.Answer) (uint64, error) {
	v, err := strconv.ParseUint(answer.Header.Get("Version"), 10, 64)
	return v, errors.Wrap(err, "header Version")
}
