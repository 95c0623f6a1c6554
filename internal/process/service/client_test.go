package service_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"primrosecourse/internal/process/service"
	"primrosecourse/pkg/wire"
)

// TestNeverReplayed guards against the transport sending an order a second time: the service reads each request and
// closes the connection without an answer, which package net/http answers with a retry for replayable requests on
// reused connections.
func TestNeverReplayed(t *testing.T) {
	for _, c := range []struct {
		name   string
		method string
		body   string
	}{
		{"with body", "POST", "one"}, {"without body", "POST", ""}, {"idempotent method", "PUT", "one"}, {"safe method", "GET", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int32
			var peers sync.Map
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, reused := peers.LoadOrStore(r.RemoteAddr, true)
				is.True(!reused)     // an idle close by the service would look like a lost reply
				if runs.Add(1) > 1 { // the first request would leave a connection to reuse
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			client := service.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
			defer client.Close()
			call := wire.Call{Method: c.method, Path: "/orders", Body: []byte(c.body), IdempotencyKey: "k", ContentType: "text/plain"}
			reply, err := client.Do(context.Background(), call)
			is.NoErr(err)
			is.Equal(reply.Status, 200)
			_, err = client.Do(context.Background(), call)
			is.True(errors.Is(err, service.ErrReplyLost))
			is.Equal(runs.Load(), int32(2)) // one for each Do
		})
	}
}

// TestOutcomes guards against telling "not sent" of a call that may have run.
func TestOutcomes(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range []struct {
		name   string
		ctx    context.Context
		answer string
		closed bool
		path   string
		want   error
		status int
	}{
		{"answered", context.Background(), "HTTP/1.1 201 Created\r\nContent-Length: 1\r\n\r\n7", false, "/orders", nil, 201},
		{"error status", context.Background(), "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n", false, "/orders", nil, 503},
		{"redirect", context.Background(), "HTTP/1.1 303 See Other\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n", false, "/orders", nil, 303},
		{"closed without answer", context.Background(), "", false, "/orders", service.ErrReplyLost, 0},
		{"half an answer", context.Background(), "HTTP/1.1 201 Created\r\nContent-Length: 9\r\n\r\n7", false, "/orders", service.ErrReplyLost, 0},
		{"not HTTP", context.Background(), "hello\r\n\r\n", false, "/orders", service.ErrReplyLost, 0},
		{"connection refused", context.Background(), "", true, "/orders", service.ErrNotSent, 0},
		{"cancelled before", cancelled, "", false, "/orders", service.ErrNotSent, 0},
		{"bad path", context.Background(), "", false, "orders", service.ErrNotSent, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			if c.closed {
				l.Close()
			} else {
				go answerOnce(l, c.answer)
			}
			client := service.New(netip.MustParseAddrPort(l.Addr().String()))
			reply, err := client.Do(c.ctx, wire.Call{Method: "POST", Path: c.path, Body: []byte("x"), IdempotencyKey: "k"})
			is.Equal(errors.Is(err, service.ErrNotSent), c.want == service.ErrNotSent)
			is.Equal(errors.Is(err, service.ErrReplyLost), c.want == service.ErrReplyLost)
			is.Equal(reply.Status, c.status)
		})
	}
}

func answerOnce(l net.Listener, answer string) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	l.Close() // a second call is refused instead of waiting
	defer conn.Close()
	if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, answer)
	}
}

// TestLargeResponse guards against a reply that does not fit into a frame, which would break the caller's connection.
func TestLargeResponse(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, service.MaxReplyBytes+1))
	}))
	defer server.Close()
	client := service.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
	reply, err := client.Do(context.Background(), wire.Call{Method: "GET", Path: "/status"})
	client.Close()
	is.True(errors.Is(err, service.ErrTooLarge))
	is.Equal(reply.Status, 200)
	is.Equal(len(reply.Body), 0)
}
