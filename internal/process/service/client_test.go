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

// TestNeverReplayed guards against a second send of an order by the transport: the service reads the second request and closes
// the connection without a response, in which case package net/http retries replayable requests on reused connections.
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
			var remoteAddrs sync.Map
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, reused := remoteAddrs.LoadOrStore(r.RemoteAddr, true)
				is.True(!reused)     // on a reused connection, an idle close would look like a lost response
				if runs.Add(1) > 1 { // the first call succeeds and could leave a connection to reuse
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
			is.Equal(runs.Load(), int32(2)) // one run for each Do
		})
	}
}

// TestErrorClassification guards against ErrNotSent for a call that may have run, and against ErrReplyLost for a call that was
// not sent.
func TestErrorClassification(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range []struct {
		name     string
		ctx      context.Context
		response string
		refused  bool
		path     string
		want     error
		status   int
	}{
		{"success", context.Background(), "HTTP/1.1 201 Created\r\nContent-Length: 1\r\n\r\n7", false, "/orders", nil, 201},
		{"error status", context.Background(), "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n", false, "/orders", nil, 503},
		{"redirect", context.Background(), "HTTP/1.1 303 See Other\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n", false, "/orders", nil, 303},
		{"closed without response", context.Background(), "", false, "/orders", service.ErrReplyLost, 0},
		{"truncated response", context.Background(), "HTTP/1.1 201 Created\r\nContent-Length: 9\r\n\r\n7", false, "/orders", service.ErrReplyLost, 0},
		{"response is not HTTP", context.Background(), "hello\r\n\r\n", false, "/orders", service.ErrReplyLost, 0},
		{"connection refused", context.Background(), "", true, "/orders", service.ErrNotSent, 0},
		{"cancelled before the call", cancelled, "", false, "/orders", service.ErrNotSent, 0},
		{"path without slash", context.Background(), "", false, "orders", service.ErrNotSent, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			if c.refused {
				l.Close()
			} else {
				go respondOnce(l, c.response)
			}
			client := service.New(netip.MustParseAddrPort(l.Addr().String()))
			reply, err := client.Do(c.ctx, wire.Call{Method: "POST", Path: c.path, Body: []byte("x"), IdempotencyKey: "k"})
			is.Equal(errors.Is(err, service.ErrNotSent), c.want == service.ErrNotSent)
			is.Equal(errors.Is(err, service.ErrReplyLost), c.want == service.ErrReplyLost)
			is.Equal(reply.Status, c.status)
		})
	}
}

func respondOnce(l net.Listener, response string) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	l.Close() // refuses a second connection, which would otherwise wait
	defer conn.Close()
	if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, response)
	}
}

// TestLargeResponse guards against a response that does not fit into a wire frame, which would break the caller's connection.
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
