package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"
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

	base *sling.Sling
	http *http.Client
}

// New returns a client of the platform at addr.
func New(addr netip.AddrPort) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost:    16,
		MaxConnsPerHost:        64,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: 64 << 10,
		DisableCompression:     true,
	}
	return &Client{
		Timeout: defaultTimeout,
		base:    sling.New().Base("http://" + addr.String() + "/"),
		http: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads an object. Errors: ErrNotFound, ErrRateLimited, ErrUnavailable.
func (c *Client) Get(ctx context.Context, kind, name string) (obj Object, err error) {
	defer func() { err = errors.Wrapf(err, "platform: get %s/%s", kind, name) }()
	path, err := objectPath(kind, name)
	if err != nil {
		return Object{}, err
	}
	resp, err := c.do(ctx, call{request: c.base.New().Get(path), limit: MaxValueBytes})
	if err != nil {
		return Object{}, err
	}
	if err = resp.check(false); err != nil {
		return Object{}, err
	}
	version, err := resp.version()
	if err != nil {
		return Object{}, errors.Mark(err, ErrUnavailable)
	}
	return Object{Kind: kind, Name: name, Version: version, Value: resp.body}, nil
}

// Put writes obj.Value if the object still has version obj.Version, 0 for an object that does not exist, and returns
// the new version. Errors: ErrConflict, ErrTooLarge, ErrRateLimited and ErrUnavailable, all without effect, and
// ErrUncertain.
func (c *Client) Put(ctx context.Context, obj Object) (version uint64, err error) {
	defer func() { err = errors.Wrapf(err, "platform: put %s/%s", obj.Kind, obj.Name) }()
	if len(obj.Value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	path, err := objectPath(obj.Kind, obj.Name)
	if err != nil {
		return 0, err
	}
	request := c.base.New().Put(path).Set("If-Version", strconv.FormatUint(obj.Version, 10)).
		Set("Content-Type", "application/octet-stream").Body(bytes.NewReader(obj.Value))
	resp, err := c.do(ctx, call{request: request, write: true})
	if err != nil {
		return 0, err
	}
	if err = resp.check(true); err != nil {
		return 0, err
	}
	if version, err = resp.version(); err != nil {
		return 0, errors.Mark(err, ErrUncertain)
	}
	return version, nil
}

// Delete removes the object if it still has the version. Errors: as Put, and ErrNotFound.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) (err error) {
	defer func() { err = errors.Wrapf(err, "platform: delete %s/%s", kind, name) }()
	path, err := objectPath(kind, name)
	if err != nil {
		return err
	}
	request := c.base.New().Delete(path).Set("If-Version", strconv.FormatUint(version, 10))
	resp, err := c.do(ctx, call{request: request, write: true})
	if err != nil {
		return err
	}
	return resp.check(true)
}

// List returns the objects of a kind whose names begin with prefix, sorted by name and without values. Errors:
// ErrRateLimited, ErrUnavailable.
func (c *Client) List(ctx context.Context, kind, prefix string) (objects []Object, err error) {
	defer func() { err = errors.Wrapf(err, "platform: list %s", kind) }()
	request := c.base.New().Get("/objects/" + url.PathEscape(kind) + "?" + url.Values{"Prefix": {prefix}}.Encode())
	err = c.doJSON(ctx, call{request: request, limit: maxListBytes}, &objects)
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
	request := c.base.New().Get("/watch/" + url.PathEscape(kind) + "?" + query.Encode())
	var reply WatchReply
	err = c.doJSON(ctx, call{request: request, limit: maxListBytes, wait: wait}, &reply)
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
	err = c.doJSON(ctx, call{request: c.base.New().Get("/instances"), limit: maxListBytes}, &instances)
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

type call struct {
	request *sling.Sling
	write   bool
	limit   int64
	wait    time.Duration
}

type response struct {
	status int
	header http.Header
	body   []byte
}

// do runs a call once. A failed write is ErrUnavailable only if it never had a connection.
func (c *Client) do(ctx context.Context, call call) (resp response, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+call.wait)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := call.request.Request()
	if err != nil {
		return response{}, errors.Mark(err, ErrUnavailable)
	}
	reply, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		if call.write && connected.Load() {
			return response{}, errors.Mark(err, ErrUncertain)
		}
		return response{}, errors.Mark(err, ErrUnavailable)
	}
	defer reply.Body.Close()
	resp = response{status: reply.StatusCode, header: reply.Header}
	if call.write {
		// The status decides; the body is read only so that the connection can be used again.
		_, _ = io.CopyN(io.Discard, reply.Body, 4<<10)
		return resp, nil
	}
	resp.body, err = io.ReadAll(io.LimitReader(reply.Body, call.limit+1))
	if err != nil {
		return response{}, errors.Mark(err, ErrUnavailable)
	}
	if int64(len(resp.body)) > call.limit {
		return response{}, errors.Mark(errors.Newf("response exceeds %d bytes", call.limit), ErrUnavailable)
	}
	return resp, nil
}

// doJSON reads JSON from a response of 200 or 410 and returns the error of any other status than 200.
func (c *Client) doJSON(ctx context.Context, call call, v any) error {
	resp, err := c.do(ctx, call)
	if err != nil {
		return err
	}
	if resp.status == http.StatusOK || resp.status == http.StatusGone {
		if err := json.Unmarshal(resp.body, v); err != nil {
			return errors.Mark(errors.Wrap(err, "decode response"), ErrUnavailable)
		}
	}
	return resp.check(false)
}

// check turns the status into an error. A status that the interface does not name leaves the outcome of a write open.
func (r response) check(write bool) error {
	switch r.status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrWatchGap
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	}
	err := errors.Newf("unexpected status %d", r.status)
	if write {
		return errors.Mark(err, ErrUncertain)
	}
	return errors.Mark(err, ErrUnavailable)
}

func (r response) version() (uint64, error) {
	version, err := strconv.ParseUint(r.header.Get("Version"), 10, 64)
	return version, errors.Wrap(err, "header Version")
}
