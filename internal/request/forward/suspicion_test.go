package forward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCallerLeavesLongAnswer guards against an endpoint that is avoided because callers leave.
func TestCallerLeavesLongAnswer(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("0123456789abcdef", 1_000_000)
	f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool { return writeOK(c, id, long) })
	for range 30 {
		c, err := net.Dial("tcp", f.addr)
		is.NoErr(err)
		_, err = io.WriteString(c, "POST /never/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 0\r\n\r\n")
		is.NoErr(err)
		is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		_, err = io.CopyN(io.Discard, response.Body, 300<<10)
		is.NoErr(err)
		is.NoErr(c.(*net.TCPConn).SetLinger(0))
		is.NoErr(c.Close())
	}
}
