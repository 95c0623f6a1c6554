package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/connection/endpoint"
	"primrosecourse/internal/connection/http1"
	"primrosecourse/pkg/wire"
)

// The errors of a call.
var (
	// ErrNotSent means that no byte of the call was sent to the service.
	ErrNotSent = errors.New("service: call was not sent")
	// ErrReplyLost means that the service may have run the call, but no complete response arrived.
	ErrReplyLost = errors.New("service: call may have run, its reply was lost")
	// ErrTooLarge means that the service ran the call and that the body of its response exceeds MaxReplyBytes. The wire.Reply has
	// the status and no body.
	ErrTooLarge = errors.New("service: response exceeds the size limit")
)

// MaxReplyBytes limits the body of a response, so that the wire.Reply fits into a frame of package wire.
const MaxReplyBytes = 3 << 20

const (
	// defaultDialTimeout is the default of Client.DialTimeout. The service runs on the same machine, so connecting normally
	// takes far less.
	defaultDialTimeout = 2 * time.Second
	maxHeaderBytes     = 64 << 10
)

// Client calls one plain service. It is safe for concurrent use.
type Client struct {
	// DialTimeout limits the time to connect. Default 2 s. It must be set before the first call.
	DialTimeout time.Duration

	addr netip.AddrPort
	// http opens a new connection for each call. The close of an idle connection by the service cannot be distinguished from a lost
	// response, and a response has nothing that ties it to its call: a second one on a connection would be taken for that to the next call.
	http *http.Client
}

// New returns a client of the service at addr.
func New(addr netip.AddrPort) *Client {
	c := &Client{addr: addr}
	c.http = &http.Client{
		Transport: http1.NewTransport(&http.Transport{DisableKeepAlives: true, DialContext: c.dial, MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression: true}),
		// Following a redirect would make a second call.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends call to the service and returns the response, whatever its status. It gives up when ctx is done. A call with an
// idempotency key reaches the service at most once for each Do. The error is ErrNotSent, ErrReplyLost or ErrTooLarge.
func (c *Client) Do(ctx context.Context, call wire.Call) (reply wire.Reply, err error) {
	defer func() { err = errors.Wrapf(err, "%s %s", call.Method, call.Path) }()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*http1.Conn); ok {
			conn.Conn.(*trackedConn).sent.Store(&sent)
		} else {
			sent.Store(true)
		}
	}}
	req, err := c.request(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return wire.Reply{}, errors.Mark(err, ErrNotSent)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if sent.Load() {
			return wire.Reply{}, errors.Mark(err, ErrReplyLost)
		}
		return wire.Reply{}, errors.Mark(err, ErrNotSent)
	}
	defer resp.Body.Close()
	if !endpoint.ValidStatus(resp.StatusCode) {
		return wire.Reply{}, errors.Mark(errors.Newf("status line %q", resp.Status), ErrReplyLost)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxReplyBytes+1))
	if err != nil {
		return wire.Reply{}, errors.Mark(err, ErrReplyLost)
	}
	reply = wire.Reply{Stream: call.Stream, Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}
	if len(body) > MaxReplyBytes {
		reply.Body = nil
		return reply, ErrTooLarge
	}
	return reply, nil
}

// request builds the HTTP request of a call. If call has an idempotency key, the request has a body, which may be empty, and no
// GetBody, so that the transport does not consider it replayable, whatever its method and headers are.
func (c *Client) request(ctx context.Context, call wire.Call) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, errors.Newf("path %q does not start with a slash", call.Path)
	}
	target, err := url.Parse("http://" + c.addr.String() + call.Path)
	if err != nil {
		return nil, err
	}
	var body io.Reader
	if call.IdempotencyKey != "" {
		body = opaqueBody{bytes.NewReader(call.Body)}
	} else if len(call.Body) > 0 {
		body = bytes.NewReader(call.Body)
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, target.String(), body)
	if err != nil {
		return nil, err
	}
	if len(call.Body) > 0 {
		req.ContentLength = int64(len(call.Body))
	}
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	if call.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	if call.RequestID != "" {
		req.Header.Set("X-Request-Id", call.RequestID)
	}
	return req, nil
}

// opaqueBody hides the type of the reader. Package net/http would add a GetBody for a *bytes.Reader, which would make the
// request replayable.
type opaqueBody struct{ io.Reader }

func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	timeout := c.DialTimeout
	if timeout == 0 {
		timeout = defaultDialTimeout
	}
	netConn, err := (&net.Dialer{Timeout: timeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: netConn}, nil
}

// errWriteFailed is returned in place of io.EOF once a write to the connection has failed.
var errWriteFailed = errors.New("connection broke while the call was being written")

// trackedConn is a connection that sets the flag sent when a call writes to it, since bytes may then have reached the service. A reset is
// reported once, to a write or a read: after a write that failed the connection reads as closed, as at the end of a body without a length.
type trackedConn struct {
	net.Conn
	sent atomic.Pointer[atomic.Bool]

	// mu is held during a write. failed is set once one has failed.
	mu     sync.Mutex
	failed bool
}

// Read implements net.Conn. At the end it waits for a write that is in progress; that ends when the connection is closed, as at the end of
// the call's context.
func (c *trackedConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.failed {
			err = errWriteFailed
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (n int, err error) {
	if sent := c.sent.Load(); sent != nil {
		sent.Store(true)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err = c.Conn.Write(p)
	c.failed = c.failed || err != nil
	return n, err
}
