// Package call makes single calls over HTTP to the outside systems that a process depends on: stores, and the interfaces by
// which endpoints are asked and given orders. A call has a bounded time and a bounded answer, which is read whole.
//
// The package repeats no call. The library below it repeats a read on a kept connection that the other side had closed, and
// never a request that may change something once a byte of it was sent. Redirects are answers like others.
//
// It knows no addresses, formats or meanings of statuses. Calls of callers to endpoints do not come this way; they need to know
// each byte that was read.
//
// # Usage
//
//	c := call.New(call.Settings{Timeout: time.Second, IdleConnections: 8, IdleTime: time.Minute})
//	answer, err := c.Do(ctx, request, call.Bounds{})
//	if errors.Is(err, call.ErrNotSent) { ... } // without effect
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

// The ways in which a call without an answer differs from one whose effect is unknown.
var (
	// ErrNotSent means that no connection could be had, so that the call had no effect.
	ErrNotSent = errors.New("call was not sent")
	// ErrTooLong means that the answer exceeds its limit.
	ErrTooLong = errors.New("answer exceeds its limit")
)

const (
	// defaultTimeout is far above the milliseconds of a healthy system.
	defaultTimeout = 5 * time.Second
	// defaultLimit bounds an answer in bytes.
	defaultLimit = 8 << 20
	// maxAnswerHeader bounds the header of an answer in bytes.
	maxAnswerHeader = 64 << 10
)

// Settings are the properties of a client. The zero value means one connection for each call.
type Settings struct {
	// Timeout bounds a call from its start to the end of its answer. Default 5 s.
	Timeout time.Duration
	// DialTimeout bounds the wait for a connection. Default Timeout.
	DialTimeout time.Duration
	// IdleConnections is the number of connections to an address that are kept for IdleTime; 0 keeps none. Default of IdleTime
	// 1 min.
	IdleConnections int
	IdleTime        time.Duration
	// MaxConnections bounds the connections to an address; 0 sets no bound.
	MaxConnections int
	// ProbeTime is the time between keep-alive probes, three of which without a reply end a connection; 0 sends none.
	ProbeTime time.Duration
}

// Client makes calls. It is safe for concurrent use.
type Client struct {
	timeout time.Duration
	http    *http.Client
}

// New returns a client.
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
		MaxResponseHeaderBytes: maxAnswerHeader,
	}
	return &Client{timeout: timeout, http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Bounds are the bounds of one call.
type Bounds struct {
	// Wait is the time that the other side is asked to hold the call, in addition to the client's timeout.
	Wait time.Duration
	// Timeout replaces that of the client.
	Timeout time.Duration
	// Limit is the greatest length of the answer in bytes. Default 8 MiB.
	Limit int64
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do makes a call once. Errors: ErrNotSent, ErrTooLong; after any other one the call may have taken effect, now or later.
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
	limit := cmp.Or(b.Limit, defaultLimit)
	a = Answer{Status: response.StatusCode, Header: response.Header}
	a.Body, err = io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(a.Body)) > limit {
		err = errors.Wrapf(ErrTooLong, "%d bytes", limit)
	}
	return a, err
}
