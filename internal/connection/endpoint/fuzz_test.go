package endpoint

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// FuzzResponse guards against bytes from an endpoint that stop the gateway, never end, or are taken for the answer to another request, and against
// invalid field names.
func FuzzResponse(f *testing.F) {
	for _, raw := range []string{
		formatResponse("1", "body"), formatResponse("9", "foreign") + formatResponse("1", "own"),
		"HTTP/1.1 103 X\r\n\r\n" + formatResponse("1", "x"), "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.0 200 OK\r\nId: 1\r\n\r\nabc", "HTTP/1.1 204 X\r\nId: 1\r\nContent-Length: 9\r\n\r\n", "\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 3\r\n\r\nabc",
	} {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		if len(raw) > 1<<20 {
			return
		}
		client, server := net.Pipe()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		go func() {
			_, _ = io.CopyN(io.Discard, server, 10)
			go func() { _, _ = io.Copy(io.Discard, server) }()
			_, _ = io.Copy(server, strings.NewReader(raw))
			_ = server.Close()
		}()
		c := newConn(client, nil)
		defer client.Close()
		call := &Call{Method: http.MethodGet, Target: "/x", Host: "h", Matches: func(_ int, h http.Header, _ bool) bool { return h.Get("Id") == "1" }}
		x, err := c.send(ctx, call)
		if err != nil {
			return
		}
		response, err := x.readResponse(call)
		if err != nil {
			x.detach()
			return
		}
		if response.Header.Get("Id") != "1" {
			t.Fatalf("answer of %q", response.Header.Get("Id"))
		}
		for name := range response.Header {
			if strings.ContainsAny(name, " \t") {
				t.Fatalf("field %q", name)
			}
		}
		_, err = io.Copy(io.Discard, response.Body)
		if x.finish(response, err == nil) && err != nil {
			t.Fatal("a connection with an incomplete answer is used again")
		}
		if ctx.Err() != nil {
			t.Fatal("reading did not end")
		}
	})
}
