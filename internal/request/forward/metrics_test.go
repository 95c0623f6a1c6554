package forward_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// TestRequestMetrics guards against a request that is counted under a wrong kind, service or ending, and against metrics named by
// the route instead of its kind, since the number of routes in a configuration is not bounded.
func TestRequestMetrics(t *testing.T) {
	refuse := func(_ int, id string, _ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nNot-Run: 1\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	closeConnection := func(int, string, *http.Request, net.Conn) bool { return false }
	for test, c := range map[string]struct {
		answer answerFunc
		path   string
		status int
		names  []string
	}{
		"answered":     {func(_ int, id string, _ *http.Request, c net.Conn) bool { return writeOK(c, id, "x") }, "/never/", 200, []string{"Requests.Once.S.200", "Took.Once.S.Answered", "Wait.Once.S"}},
		"refused":      {refuse, "/never/", 503, []string{"Requests.Once.S.503", "Took.Once.S.Refused", "Attempts.Refused"}},
		"may have run": {closeConnection, "/always/", 502, []string{"Requests.Repeatable.S.502", "Took.Repeatable.S.Failed", "Attempts.Failed"}},
		"no route":     {closeConnection, "/other/", 404, []string{"Requests.None.None.404", "Took.None.None.Refused"}},
	} {
		t.Run(test, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, c.answer)
			f.handler.Metrics = metrics.NewRegistry()
			status, _, err := f.send(t, http.MethodPost, c.path)
			is.NoErr(err)
			is.Equal(status, c.status)
			for _, name := range c.names { // a request may be counted after its caller has received the answer
				for deadline := time.Now().Add(5 * time.Second); f.handler.Metrics.Get(name) == nil; time.Sleep(time.Millisecond) {
					if time.Now().After(deadline) {
						t.Fatalf("metric %q is missing", name)
					}
				}
			}
		})
	}
}

// TestExhaustedRetryBudgetIsLoggedOnce guards against retries that are denied without a log line, and against a line for each
// denied retry.
func TestExhaustedRetryBudgetIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 500 No\r\nSeal: s\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	var lines lockedBuffer
	f.handler.Log = funcr.New(func(_, args string) { lines.write(args + "\n") }, funcr.Options{})
	f.handler.Limits.RepeatRatio, f.handler.Limits.RepeatExtra = 0, 3
	for range 10 {
		_, _, _ = f.send(t, http.MethodPost, "/always/")
	}
	is.Equal(strings.Count(lines.text(), "RepeatsSpent"), 1)
	is.Equal(f.arrivalCount(), 10+2) // ten requests and two retries: RepeatExtra is 3, of which four fifths may be used
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) write(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.b.WriteString(line)
}

func (l *lockedBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
