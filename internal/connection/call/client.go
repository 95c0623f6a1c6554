// Package call makes single HTTP calls to the external systems that a process depends on: stores, and the interfaces through
// which endpoints are queried and controlled. A call is limited in time. Its response is limited in size and read whole.
//
// The package does not retry calls. net/http itself may retry a GET or HEAD if the server has closed the idle connection, but
// never a request that can change state after a byte of it was sent. Redirects are not followed but returned like other
// responses.
//
// The package contains no addresses or formats and does not interpret statuses. Requests of callers are sent to endpoints with
// package endpoint instead, because their handling depends on each byte that was read.
//
// # Usage
//
//	c := call.New(call.Settings{Timeout: time.Second, IdleConnections: 8, IdleTime: time.Minute})
//	response, err := c.Do(ctx, request, call.Bounds{})
//	if errors.Is(err, call.ErrNotSent) { ... } // the call had no effect
package call

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Do. After any error but ErrNotSent it is unknown whether the call took effect.
var (
	// ErrNotSent means that no connection was available; the call had no effect.
	ErrNotSent = errors.New("call was not sent")
	// ErrTooLong means that the body of the response exceeds its limit.
	ErrTooLong = errors.New("response exceeds its size limit")
)

const (
	// defaultTimeout is far above the few milliseconds in which a healthy system responds.
	defaultTimeout = 5 * time.Second
	// defaultResponseLimit is the default limit for the body of a response in bytes.
	defaultResponseLimit = 8 << 20
	// maxResponseHeader is the limit for the header of a response in bytes.
	maxResponseHeader = 64 << 10
)

// Settings are the settings of a Client. With the zero value each call opens its own connection.
type Settings struct {
	// Timeout limits a call from its start to the end of its response. Default 5 s.
	Timeout time.Duration
	// DialTimeout limits the time to open a connection. Default Timeout.
	DialTimeout time.Duration
	// IdleConnections is the number of idle connections to an address that stay open, each for up to IdleTime. With 0, each
	// connection is closed after its call. The default of IdleTime is 1 min.
	IdleConnections int
	IdleTime        time.Duration
	// MaxConnections limits the connections to an address; 0 means no limit.
	MaxConnections int
	// ProbeTime is the idle time before the first TCP keep-alive probe and the interval between probes; 0 disables them. A
	// connection without other traffic is closed after three intervals if neither of the two probes sent in them gets a
	// response.
	ProbeTime time.Duration
}

// Client makes HTTP calls. It is safe for concurrent use.
type Client struct {
	timeout time.Duration
	http    *http.Client
}

// New returns a client with the given settings.
func New(s Settings) *Client {
	timeout := cmp.Or(s.Timeout, defaultTimeout)
	dialer := &net.Dialer{Timeout: cmp.Or(s.DialTimeout, timeout), KeepAlive: -1}
	if s.ProbeTime > 0 {
		dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: s.ProbeTime, Interval: s.ProbeTime, Count: 2}
	}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      s.IdleConnections == 0,
		MaxIdleConnsPerHost:    s.IdleConnections,
		MaxConnsPerHost:        s.MaxConnections,
		IdleConnTimeout:        cmp.Or(s.IdleTime, time.Minute),
		MaxResponseHeaderBytes: maxResponseHeader,
	}
	return &Client{timeout: timeout, http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes the idle connections of the client.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Bounds are the limits of one call. Defaults replace zero fields.
type Bounds struct {
	// Wait is the time for which the request permits the server to delay its response (long polling). It is added to the
	// timeout.
	Wait time.Duration
	// Timeout replaces the Timeout of the client.
	Timeout time.Duration
	// Limit is the maximum size of the response body in bytes. Default 8 MiB.
	Limit int64
}

// Answer is a response with its whole body.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do makes a call and does not retry it. After ErrNotSent the call has had no effect. After any other error it may have taken
// effect, or may still do so.
func (c *Client) Do(ctx context.Context, request *http.Request, b Bounds) (a Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(b.Timeout, c.timeout)+b.Wait)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		if !connected.Load() {
			err = errors.Mark(err, ErrNotSent)
		}
		return Answer{}, err
	}
	defer response.Body.Close()
	limit := cmp.Or(b.Limit, defaultResponseLimit)
	a = Answer{Status: response.StatusCode, Header: response.Header}
	a.Body, err = io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(a.Body)) > limit {
		err = errors.Wrapf(ErrTooLong, "%d bytes", limit)
	}
	return a, err
}
