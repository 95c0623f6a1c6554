package http1

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Transport is an http.RoundTripper for URLs of the scheme http that refuses responses with ErrInvalidField and closes their connections. It
// does not make a call again because of one.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport that uses base, whose DialContext it replaces by one that opens connections in the same way. base must not
// be used or changed afterwards. In an httptrace.GotConnInfo the connection is a *Conn.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c}, nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Scheme != "http" {
		if request.Body != nil {
			_ = request.Body.Close()
		}
		return nil, errors.Newf("scheme %q is not supported", request.URL.Scheme)
	}
	var conn atomic.Pointer[Conn]
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c := info.Conn.(*Conn)
		c.awaited.Store(true)
		conn.Store(c)
	}})
	response, err := t.base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		if c := conn.Load(); c != nil && c.invalid.Load() {
			// A parser may describe the part of the line that it got.
			err = errors.Mark(err, ErrInvalidField)
		}
		return nil, err
	}
	CheckTrailer(response, conn.Load())
	return response, nil
}

// CloseIdleConnections closes the connections that are idle, as http.Client.CloseIdleConnections does.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
