package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/site"
)

// holding is a Handler that answers requests to /hold only once release is closed.
type holding struct {
	held    chan struct{}
	release chan struct{}
}

func newHolding() *holding {
	return &holding{held: make(chan struct{}, 100), release: make(chan struct{})}
}

func (h *holding) Handle(_ context.Context, r *Request, w *Writer) {
	if r.Path == "/hold" {
		h.held <- struct{}{}
		<-h.release
	}
	_ = w.Answer(http.StatusOK, http.Header{}, []byte("ok"))
}

// impatient are limits with which connections are stalled after 20 ms, without a header after 2.5 ms.
func impatient() site.Limits {
	return site.Limits{HeaderTimeout: 160 * time.Millisecond, IdleTimeout: 30 * time.Second}
}

func post(path string, body int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, body, strings.Repeat("b", body))
}

// status sends a request on a new connection and returns the status of the response, 0 if there is none.
func status(t *testing.T, addr, request string) int {
	t.Helper()
	c := dial(t, addr)
	_, _ = io.WriteString(c, request)
	got, _, err := readStatus(c)
	if err != nil {
		return 0
	}
	return got
}

// TestPlaceOfStalledConnection guards against callers that are turned away since others hold all places without progress.
func TestPlaceOfStalledConnection(t *testing.T) {
	for name, sent := range map[string]string{
		"nothing sent":   "",
		"part of header": "GET / HTTP/1.1\r\nA: b",
		"part of body":   "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nb",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := startServer(t, newHolding(), func(s *Server) { s.MaxConnections, s.Limits = 1, impatient })
			stalled := dial(t, addr)
			_, err := io.WriteString(stalled, sent)
			is.NoErr(err)
			time.Sleep(60 * time.Millisecond)
			is.Equal(status(t, addr, post("/", 10)), http.StatusOK)
			got, _, err := readStatus(stalled)
			is.True(err != nil || got == http.StatusServiceUnavailable)
		})
	}
}

// TestPlaceAtPortForChecks guards against readiness checks that are turned away since other connections hold all places, whatever these have
// sent so far.
func TestPlaceAtPortForChecks(t *testing.T) {
	const places = 4
	for name, sent := range map[string]string{
		"nothing sent":   "",
		"part of header": "GET / HTTP/1.1\r\nA: b",
		"part of body":   "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nb",
		"large body":     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000000\r\n\r\nb",
		"whole request":  "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := startServer(t, newHolding(), func(s *Server) { s.MaxConnections, s.HeadersOnly = places, true })
			for range 5 {
				for range places {
					_, err := io.WriteString(dial(t, addr), sent)
					is.NoErr(err)
				}
				is.Equal(status(t, addr, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"), http.StatusOK)
			}
		})
	}
}

// TestPlaceOfHandledRequest guards against the eviction of a request that is being handled, and of an idle connection that its caller may
// still use.
func TestPlaceOfHandledRequest(t *testing.T) {
	is := is.New(t)
	h := newHolding()
	addr := startServer(t, h, func(s *Server) { s.MaxConnections, s.Limits = 2, impatient })
	handled, used := dial(t, addr), dial(t, addr)
	_, err := io.WriteString(handled, post("/hold", 10))
	is.NoErr(err)
	<-h.held
	for range 2 {
		_, err = io.WriteString(used, post("/", 10))
		is.NoErr(err)
		got, _, err := readStatus(used)
		is.NoErr(err)
		is.Equal(got, http.StatusOK)
		time.Sleep(60 * time.Millisecond)
		is.Equal(status(t, addr, post("/", 10)), 0)
	}
	close(h.release)
	got, _, err := readStatus(handled)
	is.NoErr(err)
	is.Equal(got, http.StatusOK)
}

// TestMemoryOfStalledBody guards against requests that are refused since others have announced bodies, or stop before their end, and against the
// eviction of a stalled body while there is room.
func TestMemoryOfStalledBody(t *testing.T) {
	for name, c := range map[string]struct {
		sent, second, first int
	}{
		"announced":      {0, 60_000, http.StatusOK},
		"small":          {9_000, 50_000, http.StatusOK},
		"before its end": {89_999, 60_000, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var server *Server
			addr := startServer(t, newHolding(), func(s *Server) { s.MaxHeldBytes, s.Limits, server = 100_000, impatient, s })
			stalled := dial(t, addr)
			request := post("/", 90_000)
			head := len(request) - 90_000
			_, err := io.WriteString(stalled, request[:head+c.sent])
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond)
			is.Equal(status(t, addr, post("/", c.second)), http.StatusOK)
			// The memory of a request is released after its answer has been written.
			for end := time.Now().Add(2 * time.Second); server.heldBytes.Load() >= int64(c.second) && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			_, _ = io.WriteString(stalled, request[head+c.sent:])
			got, _, err := readStatus(stalled)
			is.True(got == c.first || got == 0 && err != nil && c.first != http.StatusOK)
		})
	}
}

// TestMemoryOfHeaderFields guards against headers of legal size whose many fields exhaust the memory, and against the refusal of one with few.
func TestMemoryOfHeaderFields(t *testing.T) {
	is := is.New(t)
	addr := startServer(t, newHolding(), func(s *Server) { s.MaxHeldBytes = 100_000 })
	is.Equal(status(t, addr, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 3000)+"\r\n"), http.StatusServiceUnavailable)
	is.Equal(status(t, addr, "GET / HTTP/1.1\r\nHost: h\r\na: "+strings.Repeat("a", 12_000)+"\r\n\r\n"), http.StatusOK)
}

// TestTurns guards against callers that send requests without waiting for answers and so occupy the process, and against one of them that waits
// for ever.
func TestTurns(t *testing.T) {
	is := is.New(t)
	h := newHolding()
	addr := startServer(t, h, func(s *Server) { s.Turns, s.Limits = 1, impatient })
	var pipelining []net.Conn
	for range 2 {
		c := dial(t, addr)
		_, err := io.WriteString(c, strings.Repeat(post("/", 10), 2)+post("/hold", 10))
		is.NoErr(err)
		pipelining = append(pipelining, c)
	}
	<-h.held
	is.Equal(status(t, addr, post("/", 10)), http.StatusOK)
	<-h.held // the other one goes on after the header timeout
	close(h.release)
	for _, c := range pipelining {
		br := bufio.NewReader(c)
		for range 3 {
			response, err := http.ReadResponse(br, nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
		}
	}
}
