package service_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"primrosecourse/internal/process/service"
	"primrosecourse/pkg/wire"
)

// TestUnframedReplies guards against a reply without length and chunks that was broken off and is delivered, and against a connection that
// is used again after one.
func TestUnframedReplies(t *testing.T) {
	for name, test := range map[string]struct {
		sent  string
		reset bool
		body  string
		err   error
	}{
		"closed":                 {sent: "HTTP/1.1 200 OK\r\n\r\nreply", body: "reply"},
		"closed, HTTP/1.0":       {sent: "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\nreply", body: "reply"},
		"reset":                  {sent: "HTTP/1.1 200 OK\r\n\r\nreply", reset: true, err: service.ErrReplyLost},
		"reset before the body":  {sent: "HTTP/1.1 200 OK\r\n\r\n", reset: true, err: service.ErrReplyLost},
		"closed in the header":   {sent: "HTTP/1.1 200 OK\r\nA: b\r\n", err: service.ErrReplyLost},
		"closed before the head": {err: service.ErrReplyLost},
	} {
		for _, key := range []string{"", "k"} {
			t.Run(name+key, func(t *testing.T) {
				is := is.New(t)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				defer l.Close()
				connections := make(chan int, 9)
				go func() {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						connections <- 1
						go func() {
							defer c.Close()
							r, err := http.ReadRequest(bufio.NewReader(c))
							if err != nil {
								return
							}
							_, _ = io.Copy(io.Discard, r.Body)
							_, _ = io.WriteString(c, test.sent)
							time.Sleep(20 * time.Millisecond) // a reset would overtake the bytes
							if test.reset {
								_ = c.(*net.TCPConn).SetLinger(0)
							}
						}()
					}
				}()
				client := service.New(netip.MustParseAddrPort(l.Addr().String()))
				defer client.Close()
				for n := range 2 {
					reply, err := client.Do(t.Context(), wire.Call{Method: http.MethodPost, Path: "/x", IdempotencyKey: key})
					is.True(errors.Is(err, test.err))
					is.Equal(err == nil, test.err == nil)
					is.Equal(string(reply.Body), test.body)
					is.Equal(len(connections), n+1)
				}
			})
		}
	}
}
