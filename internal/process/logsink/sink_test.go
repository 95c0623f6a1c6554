package logsink_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"primrosecourse/internal/process/logsink"
)

// pipe is a writer whose reader may stop reading.
type pipe struct {
	mu      sync.Mutex
	written bytes.Buffer
	blocked chan struct{}
}

func (p *pipe) Write(b []byte) (int, error) {
	if p.blocked != nil {
		<-p.blocked
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.written.Write(b)
}

func (p *pipe) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.written.String()
}

// lines returns the number of ordinary lines, the sum of the counts of lines left out and the number of these counts.
func (p *pipe) lines(t *testing.T) (kept, counted, counts int) {
	for line := range strings.Lines(p.text()) {
		var n int
		switch {
		case strings.HasPrefix(line, "line "):
			kept++
		default:
			if _, err := fmt.Sscanf(line, "dropped %d\n", &n); err != nil {
				t.Errorf("line %q is neither logged nor a count", line)
			}
			counted += n
			counts++
		}
	}
	return kept, counted, counts
}

func start(t *testing.T, s *logsink.Sink) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	return func() {
		cancel()
		<-ended
	}
}

// TestBlockedOutput guards against code that waits for the reader of its log, and against lines that vanish uncounted.
func TestBlockedOutput(t *testing.T) {
	for _, c := range []struct {
		name   string
		period time.Duration
		counts int // lines that count what was left out
	}{
		{"the reader stops before a line is left out", 50500 * time.Microsecond, 1},
		{"a line is left out before the reader stops", 150500 * time.Microsecond, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := &pipe{blocked: make(chan struct{})}
				s := logsink.New(p)
				s.Limit = 1000
				s.Period = c.period
				s.Dropped = func(n int) string { return fmt.Sprintf("dropped %d", n) }
				stop := start(t, s)
				begun := time.Now()
				for n := range 1000 {
					_, err := fmt.Fprintf(s, "line %4d\n", n)
					is.NoErr(err)
					time.Sleep(time.Millisecond)
				}
				is.Equal(time.Since(begun), time.Second) // nothing waited
				close(p.blocked)
				time.Sleep(time.Second)
				stop()
				kept, counted, counts := p.lines(t)
				is.True(kept >= 100 && kept < 1000)
				is.Equal(s.Lines(), 1000-kept)
				is.Equal(counted, 1000-kept)
				is.Equal(counts, c.counts)
			})
		})
	}
}

// TestOrdinaryLinesGoFirst guards against losing the lines on failures when lines on what went well fill the buffer.
func TestOrdinaryLinesGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &pipe{blocked: make(chan struct{})}
		s := logsink.New(p)
		s.Limit = 10000
		s.Ordinary = func(line []byte) bool { return bytes.Contains(line, []byte("ordinary")) }
		stop := start(t, s)
		time.Sleep(time.Second)
		for n := range 2000 {
			_, _ = fmt.Fprintln(s, "ordinary line")
			if n%20 == 0 {
				_, _ = fmt.Fprintln(s, "a failure")
			}
		}
		close(p.blocked)
		time.Sleep(time.Second)
		stop()
		is.Equal(strings.Count(p.text(), "a failure"), 100)
	})
}

// TestStopWithBlockedOutput guards against a stop that waits for a reader that does not read.
func TestStopWithBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &pipe{blocked: make(chan struct{})}
		s := logsink.New(p)
		stop := start(t, s)
		_, _ = fmt.Fprintln(s, "a line")
		time.Sleep(time.Second) // the batch waits for the reader
		begun := time.Now()
		unblock := time.AfterFunc(time.Minute, func() { close(p.blocked) })
		stop()
		is.True(time.Since(begun) <= 2*time.Second)
		if unblock.Stop() {
			close(p.blocked)
		}
	})
}

// TestLastLines guards against a stop that loses the last lines.
func TestLastLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &pipe{}
		s := logsink.New(p)
		stop := start(t, s)
		_, _ = fmt.Fprintln(s, "last")
		stop()
		is.Equal(p.text(), "last\n")
	})
}

func BenchmarkWrite(b *testing.B) {
	s := logsink.New(&pipe{})
	line := []byte(strings.Repeat("x", 300) + "\n")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = s.Write(line)
	}
}
