package forward_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/internal/connection/front"
)

// TestCallersThatLeftBeforeTheirRequestsWereRead guards against requests that are sent to endpoints although their callers' closes have
// arrived, since the process was late: they wait unread, with the close behind them, until the server accepts connections.
func TestCallersThatLeftBeforeTheirRequestsWereRead(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool { return writeOK(c, id, "") })
	for range 20 { // opens connections to all endpoints, so that no later request waits for one
		_, _, err := f.send(t, http.MethodGet, "/always/")
		is.NoErr(err)
	}
	before := f.arrivalCount()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	for range 50 {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(c, "GET /always/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nDeadline: 1000\r\n\r\n")
		is.NoErr(err)
		is.NoErr(c.Close())
	}
	server := front.New(f.handler)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Run(ctx, l) })
	time.Sleep(500 * time.Millisecond)
	is.Equal(f.arrivalCount()-before, 0)
	is.NoErr(l.Close())
	server.CloseAll()
	cancel()
	running.Wait()
}
