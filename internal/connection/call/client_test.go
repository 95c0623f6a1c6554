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

func request(t *testing.T, method, url, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestWhatAnErrorSays guards against taking a call that may have taken effect for one that has not, or the reverse.
func TestWhatAnErrorSays(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := "http://" + closed.Addr().String()
	closed.Close()
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc // nil for an address at which nobody listens
		notSent bool
		tooLong bool
	}{
		{name: "nobody listens", notSent: true},
		{name: "closed without an answer", handler: func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) }},
		{name: "silent", handler: func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}},
		{name: "cut in the body", handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "part")
		}},
		{name: "too long", handler: func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", 11))
		}, tooLong: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			url := nobody
			if c.handler != nil {
				server := httptest.NewServer(c.handler)
				defer server.Close()
				url = server.URL
			}
			client := call.New(call.Settings{Timeout: 200 * time.Millisecond, IdleConnections: 1})
			defer client.Close()
			_, err := client.Do(context.Background(), request(t, http.MethodPut, url, "x"), call.Bounds{Limit: 10})
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

// TestNoWriteIsRepeated guards against a write that the client sends a second time after its connection was closed.
func TestNoWriteIsRepeated(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if arrived.Add(1) > 1 { // on the kept connection
			closeConnection(w)
		}
	}))
	defer server.Close()
	client := call.New(call.Settings{IdleConnections: 1})
	defer client.Close()
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete} {
		arrived.Store(0)
		_, err := client.Do(context.Background(), request(t, method, server.URL, "x"), call.Bounds{})
		is.NoErr(err)
		_, err = client.Do(context.Background(), request(t, method, server.URL, "x"), call.Bounds{})
		is.True(err != nil)
		is.Equal(arrived.Load(), int32(2))
	}
}

// TestWait guards against a call that ends before the time for which the other side was asked to hold it.
func TestWait(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(150 * time.Millisecond) }))
	defer server.Close()
	client := call.New(call.Settings{Timeout: 50 * time.Millisecond})
	defer client.Close()
	_, err := client.Do(context.Background(), request(t, http.MethodGet, server.URL, ""), call.Bounds{Wait: time.Second})
	is.NoErr(err)
	_, err = client.Do(context.Background(), request(t, http.MethodGet, server.URL, ""), call.Bounds{})
	is.True(errors.Is(err, context.DeadlineExceeded))
}
