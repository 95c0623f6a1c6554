// Package call makes single HTTP calls to the external systems that a process depends on: stores, and the interfaces through
// which endpoints are queried and controlled. A call is limited in time. Its response is limited in size and read whole.
//
// The package does not retry calls. net/http itself may retry a GET or HEAD if the server has closed the idle connection, but
// never a request that can change state after a byte of it was sent. Redirects are not followed but returned like other
// responses.
//
// HTTP/1.1 ties a response to its call by the order on the connection alone, so that a second copy of a response, if it arrives late, looks
// like the response to the next call. With Settings.IDHeader each call carries an ID of its own, which servers echo. A response with another ID
// is ErrOtherCall, and its connection is closed. A response without an ID is taken for that to the call, since not every server echoes.
//
// A response with an invalid field name is http1.ErrInvalidField, and its connection is closed.
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
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/connection/http1"
)

// Errors of Do. After any error but ErrNotSent it is unknown whether the call took effect.
var (
	// ErrNotSent means that no connection was available; the call had no effect.
	ErrNotSent = errors.New("call was not sent")
	// ErrTooLong means that the body of the response exceeds its limit.
	ErrTooLong = errors.New("response exceeds its size limit")
	// ErrOtherCall means that a response carries the ID of another call; the one to this call is lost.
	ErrOtherCall = errors.New("response to another call")
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
	// IDHeader is the name of the header for the ID of a call, which a server echoes. If it is empty, calls have no IDs.
	IDHeader string
	// ProbeTime is the idle time before the first TCP keep-alive probe and the interval between probes; 0 disables them. A
	// connection without other traffic is closed after three intervals if neither of the two probes sent in them gets a
	// response.
	ProbeTime time.Duration
}

// Client makes HTTP calls. It is safe for concurrent use.
type Client struct {
	timeout  time.Duration
	idHeader string
	http     *http.Client
}

// New returns a client with the given settings.
func New(s Settings) *Client {
	timeout := cmp.Or(s.Timeout, defaultTimeout)
	dialer := &net.Dialer{Timeout: cmp.Or(s.DialTimeout, timeout), KeepAlive: -1}
	if s.ProbeTime > 0 {
		dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: s.ProbeTime, Interval: s.ProbeTime, Count: 2}
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c, left: make(chan struct{})}, nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      s.IdleConnections == 0,
		MaxIdleConnsPerHost:    s.IdleConnections,
		MaxConnsPerHost:        s.MaxConnections,
		IdleConnTimeout:        cmp.Or(s.IdleTime, time.Minute),
		MaxResponseHeaderBytes: maxResponseHeader,
	}
	return &Client{timeout: timeout, idHeader: s.IDHeader, http: &http.Client{
		Transport:     http1.NewTransport(transport),
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
	var connection atomic.Pointer[httptrace.GotConnInfo]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { connection.Store(&info) },
	})
	request = request.Clone(ctx)
	id := ""
	if c.idHeader != "" {
		id = fmt.Sprintf("%016x", rand.Uint64())
		request.Header.Set(c.idHeader, id)
	}
	response, err := c.http.Do(request)
	if err != nil {
		if connection.Load() == nil {
			err = errors.Mark(err, ErrNotSent)
		}
		return Answer{}, err
	}
	defer response.Body.Close()
	if other := c.otherID(response.Header, id); other != "" {
		if used, ok := connection.Load().Conn.(*http1.Conn); ok {
			used.Conn.(*conn).abandon(ctx, response)
		}
		return Answer{}, errors.Wrapf(ErrOtherCall, "ID %.32q, not %s", other, id)
	}
	limit := cmp.Or(b.Limit, defaultResponseLimit)
	a = Answer{Status: response.StatusCode, Header: response.Header}
	a.Body, err = io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(a.Body)) > limit {
		err = errors.Wrapf(ErrTooLong, "%d bytes", limit)
	}
	return a, err
}

// otherID returns an ID in the header of a response that is not that of the call, "" if there is none.
func (c *Client) otherID(header http.Header, id string) string {
	if c.idHeader == "" {
		return ""
	}
	for _, echoed := range header.Values(c.idHeader) {
		if echoed != id && echoed != "" {
			return echoed
		}
	}
	return ""
}

// conn is a connection of a Client.
type conn struct {
	net.Conn
	// left is closed once net/http uses the connection no more.
	left     chan struct{}
	leftOnce sync.Once
}

// Close implements net.Conn for net/http, which gives a connection to no further call before it closes it.
func (c *conn) Close() error {
	c.leftOnce.Do(func() { close(c.left) })
	return c.Conn.Close()
}

// abandon ends the connection on which a response has arrived, whose body is not read. It returns once no later call can get the connection,
// or ctx is done. net/http has made the connection available to others already if the response has no body, and may have read more from it.
func (c *conn) abandon(ctx context.Context, response *http.Response) {
	_ = c.Conn.Close()
	_ = response.Body.Close()
	select {
	case <-c.left:
	case <-ctx.Done():
	}
}
