package forward_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnframedRefusal guards against a request that waits for the rest of a refusal which nobody reads.
func TestUnframedRefusal(t *testing.T) {
	for name, framing := range map[string]string{
		"without length, kept open": "", "with a length, never sent": "Content-Length: 100\r\n",
		"chunked, never ended": "Transfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, func(n int, id string, _ *http.Request, c net.Conn) bool {
				if n > 0 {
					return writeOK(c, id, "good")
				}
				_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nId: "+id+"\r\nNot-Run: 1\r\n"+framing+"\r\n")
				_, _ = io.Copy(io.Discard, c) // until the gateway closes the connection
				return false
			})
			started := time.Now()
			status, body, err := f.send(t, http.MethodPost, "/never/", "Deadline: 2000")
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(body, "good")
			is.True(time.Since(started) < time.Second)
		})
	}
}
