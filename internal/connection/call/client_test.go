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
	"primrosecourse/internal/standin/stutter"
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

const idHeader = "Call-Id"

// TestLateSecondResponse guards against a late second copy of a response that is taken for the response to the next call, against a
// connection that is used again after it, and against a call that is repeated for it.
func TestLateSecondResponse(t *testing.T) {
	for name, rest := range map[string]string{
		"body":       "200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"chunks":     "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"empty body": "200 OK\r\nContent-Length: 0\r\n\r\n",
		"no body":    "204 No Content\r\n\r\n",
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(method+" "+name, func(t *testing.T) {
				is := is.New(t)
				ids := make(chan string, 10)
				server, err := stutter.New(func(r *http.Request) string {
					id := r.Header.Get(idHeader)
					ids <- id
					status, fields, _ := strings.Cut(rest, "\r\n")
					return "HTTP/1.1 " + status + "\r\n" + idHeader + ": " + id + "\r\n" + fields
				})
				is.NoErr(err)
				defer server.Close()
				client := call.New(call.Settings{IdleConnections: 1, IDHeader: idHeader})
				defer client.Close()
				url := "http://" + server.Address().String()
				for i, otherCall := range []bool{false, true, false} {
					a, err := client.Do(context.Background(), newRequest(t, method, url, ""), call.Bounds{})
					is.Equal(errors.Is(err, call.ErrOtherCall), otherCall)
					is.True(!errors.Is(err, call.ErrNotSent))
					is.Equal(err != nil, otherCall)
					is.Equal(a.Status != 0, !otherCall)
					is.Equal(len(ids), i+1) // no call was repeated
				}
				is.Equal(server.Accepted(), 2)
				first, second, third := <-ids, <-ids, <-ids
				is.True(first != second && second != third && first != third)
			})
		}
	}
}

// TestEchoedID guards against a response that counts as lost although its server does not echo, and against one with several IDs that counts
// as that to the call.
func TestEchoedID(t *testing.T) {
	for _, c := range []struct {
		name      string
		echo      func(id string) []string
		otherCall bool
	}{
		{name: "none", echo: func(string) []string { return nil }},
		{name: "empty", echo: func(string) []string { return []string{""} }},
		{name: "own", echo: func(id string) []string { return []string{id} }},
		{name: "other", echo: func(string) []string { return []string{"1"} }, otherCall: true},
		{name: "own and other", echo: func(id string) []string { return []string{id, "", "1"} }, otherCall: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header()[idHeader] = c.echo(r.Header.Get(idHeader))
			}))
			defer server.Close()
			client := call.New(call.Settings{IdleConnections: 1, IDHeader: idHeader})
			defer client.Close()
			for range 2 {
				_, err := client.Do(context.Background(), newRequest(t, http.MethodPost, server.URL, "x"), call.Bounds{})
				is.Equal(errors.Is(err, call.ErrOtherCall), c.otherCall)
				is.Equal(err != nil, c.otherCall)
			}
		})
	}
}
