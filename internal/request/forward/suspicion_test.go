package forward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/internal/request/forward"
	"primrosecourse/pkg/site"
)

// suspicions counts the broken connections that a handler reports.
type suspicions struct {
	mu    sync.Mutex
	count int
}

func (s *suspicions) ConnectionBroke(forward.Break) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
}

// TestSuspicions guards against an endpoint that is suspected of a crash because its answer ends with the connection, and against one
// that is not, though it broke off an answer.
func TestSuspicions(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 40_000)
	services := map[string]*site.Engine{"engine, ": {}, "plain, ": nil}
	for name, test := range map[string]struct {
		path, framing, sent string
		reset               bool
		want                int
	}{
		"stream, closed":                      {path: "/stream/", sent: event1 + event2},
		"stream, closed inside an event":      {path: "/stream/", sent: event1 + "id", want: 1},
		"stream, closed before any event":     {path: "/stream/", want: 1},
		"stream, reset after a whole event":   {path: "/stream/", sent: event1, reset: true, want: 1},
		"answer, closed":                      {path: "/never/", sent: "answer"},
		"answer, reset":                       {path: "/never/", sent: "answer", reset: true, want: 1},
		"long answer, closed":                 {path: "/never/", sent: long},
		"long answer, reset":                  {path: "/never/", sent: long, reset: true, want: 1},
		"long answer with a length, cut":      {path: "/never/", framing: "Content-Length: 1000000\r\n", sent: long, want: 1},
		"long answer in chunks, cut":          {path: "/never/", framing: "Transfer-Encoding: chunked\r\n", sent: "9c400\r\n" + long + "\r\n", want: 1},
		"short answer with a length, reset":   {path: "/never/", framing: "Content-Length: 10\r\n", sent: "answer", reset: true, want: 1},
		"stream in chunks without their end":  {path: "/stream/", framing: "Transfer-Encoding: chunked\r\n", sent: "f\r\n" + event1 + "\r\n", want: 1},
		"stream in chunks, closed after them": {path: "/stream/", framing: "Transfer-Encoding: chunked\r\n", sent: "f\r\n" + event1 + "\r\n0\r\n\r\n"},
	} {
		for service, engine := range services {
			t.Run(service+name, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool {
					_, _ = io.WriteString(c, strings.TrimSuffix(unframedHead(id), "\r\n")+test.framing+"\r\n"+test.sent)
					return end(c, test.reset)
				})
				f.snapshot.Configuration.Services["S"].Engine = engine
				s := &suspicions{}
				f.handler.Crashes = s
				_, _, err := f.send(t, http.MethodPost, test.path)
				t.Log(err)
				time.Sleep(20 * time.Millisecond) // the caller may see the end before it is recorded
				s.mu.Lock()
				defer s.mu.Unlock()
				is.Equal(s.count, test.want)
			})
		}
	}
}

// TestCallerLeavesLongAnswer guards against an endpoint that is suspected of a crash, or avoided, because callers leave.
func TestCallerLeavesLongAnswer(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("0123456789abcdef", 1_000_000)
	f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool { return writeOK(c, id, long) })
	f.snapshot.Configuration.Services["S"].Engine = &site.Engine{}
	s := &suspicions{}
	f.handler.Crashes = s
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
	time.Sleep(100 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(s.count, 0)
}
