package endpoint

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestInvalidFieldNames guards against a head with a blank in a field name that is taken for a valid one, whichever head of a connection it is and
// however its bytes arrive, and against a connection that is used again after it.
func TestInvalidFieldNames(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody"
	const chunked = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	for name, raw := range map[string]string{
		"final":                    "HTTP/1.1 200 OK\r\nX-A b: 1\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
		"final, last line":         "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\nX-Ab : 1\r\n\r\nbody",
		"final, first line folded": "HTTP/1.1 200 OK\r\n Id: 1\r\nContent-Length: 4\r\n\r\nbody",
		"final, folded line":       "HTTP/1.1 200 OK\r\nId: 1\r\n Content-Length: 4\r\n\r\nbody",
		"interim":                  "HTTP/1.1 103 Early Hints\r\nX-A b: 1\r\n\r\n" + own,
		"behind an interim":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length : 4\r\n\r\nbody",
		"stray":                    "HTTP/1.1 200 OK\r\nId: 9\r\nX-A b: 1\r\nContent-Length: 4\r\n\r\nlate" + own,
		"behind a stray one":       "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 4\r\n\r\nlateHTTP/1.1 200 OK\r\nId: 1\r\nX-A b: 1\r\nContent-Length: 4\r\n\r\nbody",
		"trailer":                  "HTTP/1.1 200 OK\r\nId: 1\r\n" + chunked + "X-A b: 1\r\n\r\n",
		"trailer of a stray":       "HTTP/1.1 200 OK\r\nId: 9\r\n" + chunked + "X-A b: 1\r\n\r\n" + own,
	} {
		for how, pieces := range map[string][]string{
			"": {raw}, ", status line first": strings.SplitAfterN(raw, "\n", 2), ", one byte at a time": strings.Split(raw, ""),
		} {
			t.Run(name+how, func(t *testing.T) {
				is := is.New(t)
				closed := make(chan bool, 1)
				s := startEndpoint(t, func(s *fakeEndpoint, _ int, c net.Conn, br *bufio.Reader) {
					if _, ok := s.readRequest(br); !ok {
						return
					}
					for _, piece := range pieces {
						_, _ = io.WriteString(c, piece)
						time.Sleep(200 * time.Microsecond)
					}
					_ = c.SetReadDeadline(time.Now().Add(time.Second))
					_, err := br.ReadByte()
					var timeout net.Error
					closed <- err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
				})
				_, err := send(t, newPool(t), s, "1")
				is.True(errors.Is(err, ErrBroken))
				is.True(!errors.Is(err, ErrNotSent)) // the request may have run
				is.True(<-closed)
			})
		}
	}
}
