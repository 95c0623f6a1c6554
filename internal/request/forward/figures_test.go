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

// TestFigures guards against a request that is counted as another kind, for another service, or with another end than its
// caller saw, and against figures for each route, of which a configuration may have any number.
func TestFigures(t *testing.T) {
	refuse := func(_ int, id string, _ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nNot-Run: 1\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	hangUp := func(int, string, *http.Request, net.Conn) bool { return false }
	for name, c := range map[string]struct {
		play    play
		path    string
		status  int
		figures []string
	}{
		"answered":     {func(_ int, id string, _ *http.Request, c net.Conn) bool { return ok(c, id, "x") }, "/never/", 200, []string{"Requests.Once.S.200", "Took.Once.S.Answered", "Wait.Once.S"}},
		"refused":      {refuse, "/never/", 503, []string{"Requests.Once.S.503", "Took.Once.S.Refused", "Attempts.Refused"}},
		"may have run": {hangUp, "/always/", 502, []string{"Requests.Repeatable.S.502", "Took.Repeatable.S.Failed", "Attempts.Failed"}},
		"no route":     {hangUp, "/other/", 404, []string{"Requests.None.None.404", "Took.None.None.Refused"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, c.play)
			f.handler.Metrics = metrics.NewRegistry()
			status, _, err := f.ask(t, http.MethodPost, c.path)
			is.NoErr(err)
			is.Equal(status, c.status)
			for _, figure := range c.figures { // a request is counted once its caller has the answer
				for deadline := time.Now().Add(5 * time.Second); f.handler.Metrics.Get(figure) == nil; time.Sleep(time.Millisecond) {
					if time.Now().After(deadline) {
						t.Fatalf("there is no figure %q", figure)
					}
				}
			}
		})
	}
}

// TestSpentBudgetIsTold guards against repeats that stop without a word, and against a line for each of them.
func TestSpentBudgetIsTold(t *testing.T) {
	is := is.New(t)
	f := start(t, func(_ int, id string, _ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 500 No\r\nSeal: s\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	var lines lockedBuffer
	f.handler.Log = funcr.New(func(_, args string) { lines.write(args + "\n") }, funcr.Options{})
	f.handler.Limits.RepeatRatio, f.handler.Limits.RepeatExtra = 0, 3
	for range 10 {
		_, _, _ = f.ask(t, http.MethodPost, "/always/")
	}
	is.Equal(strings.Count(lines.text(), "RepeatsSpent"), 1)
	is.Equal(f.count(), 10+2) // four fifths of the extra repeats
}

// lockedBuffer takes lines from several goroutines.
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
