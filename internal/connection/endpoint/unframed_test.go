package endpoint

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestUnframedAnswers guards against a body without length and chunks that a reset broke off and that looks complete, and against the
// reuse of its connection.
func TestUnframedAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		head, body string
		closeWrite bool // the endpoint goes on reading
		reset      bool
	}{
		"closed":                       {head: "HTTP/1.1 200 OK\r\n", body: "answer"},
		"half closed":                  {head: "HTTP/1.1 200 OK\r\n", body: "answer", closeWrite: true},
		"half closed, keep-alive":      {head: "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nKeep-Alive: timeout=9\r\n", body: "answer", closeWrite: true},
		"empty, half closed":           {head: "HTTP/1.1 200 OK\r\n", closeWrite: true},
		"HTTP/1.0":                     {head: "HTTP/1.0 200 OK\r\n", body: "answer", closeWrite: true},
		"HTTP/1.0, keep-alive":         {head: "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n", body: "answer", closeWrite: true},
		"body like another answer":     {head: "HTTP/1.1 200 OK\r\n", body: formatResponse("1", "x"), closeWrite: true},
		"reset":                        {head: "HTTP/1.1 200 OK\r\n", body: "answer", reset: true},
		"reset before the body":        {head: "HTTP/1.1 200 OK\r\n", reset: true},
		"reset, Connection: close":     {head: "HTTP/1.1 200 OK\r\nConnection: close\r\n", body: "answer", reset: true},
		"reset, HTTP/1.0":              {head: "HTTP/1.0 200 OK\r\n", body: "answer", reset: true},
		"reset, body longer than read": {head: "HTTP/1.1 200 OK\r\n", body: string(make([]byte, 100_000)), reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			connections := make(chan int, 10)
			s := startEndpoint(t, func(s *fakeEndpoint, n int, c net.Conn, br *bufio.Reader) {
				connections <- n
				if _, ok := s.readRequest(br); !ok {
					return
				}
				_, _ = io.WriteString(c, test.head+"Id: 1\r\n\r\n"+test.body)
				time.Sleep(20 * time.Millisecond) // a reset would overtake the bytes
				switch {
				case test.closeWrite:
					_ = c.(*net.TCPConn).CloseWrite()
					_, _ = s.readRequest(br)
				case test.reset:
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			p := newPool(t)
			for n := range 2 {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				a, err := p.Send(ctx, Target{ID: "e1", Address: s.addr}, newCall("1"))
				is.NoErr(err)
				is.True(a.Unframed())
				body, err := io.ReadAll(a.Body)
				a.Close()
				is.Equal(string(body), test.body)
				is.Equal(errors.Is(err, ErrBroken), test.reset)
				is.Equal(err != nil, test.reset)
				is.Equal(s.requestCount(), n+1)
			}
			is.Equal(len(connections), 2)
		})
	}
}
