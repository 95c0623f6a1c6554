package endpoint

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDiscard guards against waiting for the rest of a body that nobody reads, and against a new connection after each short one.
func TestDiscard(t *testing.T) {
	const head = "HTTP/1.1 503 Busy\r\nId: 1\r\n"
	for name, test := range map[string]struct {
		answer      string
		connections int // for two calls
	}{
		"with a length":              {head + "Content-Length: 4\r\n\r\nfull", 1},
		"in chunks":                  {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n", 1},
		"without a body":             {head + "Content-Length: 0\r\n\r\n", 1},
		"with a length, broken off":  {head + "Content-Length: 5\r\n\r\nfull", 2},
		"in chunks, broken off":      {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n", 2},
		"without length and chunks":  {head + "\r\nfull", 2},
		"with a length, too long":    {head + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", 1_000_000), 2},
		"in chunks, without an end":  {head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("4\r\nfull\r\n", 100_000), 2},
		"without length, but longer": {head + "\r\n" + strings.Repeat("x", 1_000_000), 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			connections := make(chan int, 10)
			s := startEndpoint(t, func(s *fakeEndpoint, n int, c net.Conn, br *bufio.Reader) {
				connections <- n
				for {
					if _, ok := s.readRequest(br); !ok {
						return
					}
					_, _ = io.WriteString(c, test.answer)
				}
			})
			p := newPool(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			started := time.Now()
			for range 2 {
				a, err := p.Send(ctx, Target{ID: "e1", Address: s.addr}, newCall("1"))
				is.NoErr(err)
				a.Discard()
				a.Close()
				time.Sleep(2 * discardTimeout) // the deadline of the read is over
			}
			is.True(time.Since(started) < time.Second)
			is.Equal(len(connections), test.connections)
		})
	}
}
