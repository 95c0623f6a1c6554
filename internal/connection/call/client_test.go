package call_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"primrosecourse/internal/connection/call"
)

func newRequest(t *testing.T, method, url, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestErrorClassification guards against ErrNotSent for a call that may have taken effect, and against its absence for a call that
// was not sent.
func TestErrorClassification(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable := "http://" + closed.Addr().String()
	closed.Close()
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc // nil for an address without a listener
		notSent bool
		tooLong bool
	}{
		{name: "no listener", notSent: true},
		{name: "connection closed without a response", handler: func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) }},
		{name: "no response", handler: func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}},
		{name: "truncated body", handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "part")
		}},
		{name: "response too long", handler: func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", 11))
		}, tooLong: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			url := unreachable
			if c.handler != nil {
				server := httptest.NewServer(c.handler)
				defer server.Close()
				url = server.URL
			}
			client := call.New(call.Settings{Timeout: 200 * time.Millisecond, IdleConnections: 1})
			defer client.Close()
			_, err := client.Do(context.Background(), newRequest(t, http.MethodPut, url, "x"), call.Bounds{Limit: 10})
			is.True(err != nil)
			is.Equal(errors.Is(err, call.ErrNotSent), c.notSent)
			is.Equal(errors.Is(err, call.ErrTooLong), c.tooLong)
		})
	}
}

func closeConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

// TestWritesAreNotRetried guards against a write that the client sends again after its connection was closed.
func TestWritesAreNotRetried(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) > 1 { // the second request, on the reused connection
			closeConnection(w)
		}
	}))
	defer server.Close()
	client := call.New(call.Settings{IdleConnections: 1})
	defer client.Close()
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete} {
		requests.Store(0)
		_, err := client.Do(context.Background(), newRequest(t, method, server.URL, "x"), call.Bounds{})
		is.NoErr(err)
		_, err = client.Do(context.Background(), newRequest(t, method, server.URL, "x"), call.Bounds{})
		is.True(err != nil)
		is.Equal(requests.Load(), int32(2))
	}
}

// TestWaitExtendsTimeout guards against a call that times out while the server delays its response by up to Wait.
func TestWaitExtendsTimeout(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(150 * time.Millisecond) }))
	defer server.Close()
	client := call.New(call.Settings{Timeout: 50 * time.Millisecond})
	defer client.Close()
	_, err := client.Do(context.Background(), newRequest(t, http.MethodGet, server.URL, ""), call.Bounds{Wait: time.Second})
	is.NoErr(err)
	_, err = client.Do(context.Background(), newRequest(t, http.MethodGet, server.URL, ""), call.Bounds{})
	is.True(errors.Is(err, context.DeadlineExceeded))
}
