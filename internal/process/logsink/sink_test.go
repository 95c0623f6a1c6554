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

// pipe is a writer whose Write blocks until blocked is closed. If blocked is nil, Write does not block.
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

// lines returns the number of log lines, the sum of the counts of dropped lines, and the number of lines with such a
// count.
func (p *pipe) lines(t *testing.T) (kept, dropped, reports int) {
	for line := range strings.Lines(p.text()) {
		var n int
		switch {
		case strings.HasPrefix(line, "line "):
			kept++
		default:
			if _, err := fmt.Sscanf(line, "dropped %d\n", &n); err != nil {
				t.Errorf("line %q is neither a log line nor a count of dropped lines", line)
			}
			dropped += n
			reports++
		}
	}
	return kept, dropped, reports
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

// TestBlockedOutput guards against a Write that blocks when the reader of the log does not read, and against lines that are
// dropped without being counted.
func TestBlockedOutput(t *testing.T) {
	for _, c := range []struct {
		name    string
		period  time.Duration
		reports int // number of lines that report dropped lines
	}{
		{"the reader stops before a line is dropped", 50500 * time.Microsecond, 1},
		{"a line is dropped before the reader stops", 150500 * time.Microsecond, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := &pipe{blocked: make(chan struct{})}
				s := logsink.New(p)
				s.Limit = 1000
				s.Period = c.period
				s.DroppedNotice = func(n int) string { return fmt.Sprintf("dropped %d", n) }
				stop := start(t, s)
				began := time.Now()
				for n := range 1000 {
					_, err := fmt.Fprintf(s, "line %4d\n", n)
					is.NoErr(err)
					time.Sleep(time.Millisecond)
				}
				is.Equal(time.Since(began), time.Second) // no call of Write blocked
				close(p.blocked)
				time.Sleep(time.Second)
				stop()
				kept, dropped, reports := p.lines(t)
				is.True(kept >= 100 && kept < 1000)
				is.Equal(s.DroppedLines(), 1000-kept)
				is.Equal(dropped, 1000-kept)
				is.Equal(reports, c.reports)
			})
		})
	}
}

// TestLowPriorityDroppedFirst guards against dropping lines about failures when lines of low priority fill the buffer.
func TestLowPriorityDroppedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &pipe{blocked: make(chan struct{})}
		s := logsink.New(p)
		s.Limit = 10000
		s.LowPriority = func(line []byte) bool { return bytes.Contains(line, []byte("ordinary")) }
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

// TestStopWithBlockedOutput guards against a stop that blocks when the reader of the log does not read.
func TestStopWithBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &pipe{blocked: make(chan struct{})}
		s := logsink.New(p)
		stop := start(t, s)
		_, _ = fmt.Fprintln(s, "a line")
		time.Sleep(time.Second) // the write of the batch is blocked
		began := time.Now()
		unblock := time.AfterFunc(time.Minute, func() { close(p.blocked) })
		stop()
		is.True(time.Since(began) <= 2*time.Second)
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

// BenchmarkWrite measures Write. Nothing empties the buffer, so all but the first few thousand lines are dropped.
func BenchmarkWrite(b *testing.B) {
	s := logsink.New(&pipe{})
	line := []byte(strings.Repeat("x", 300) + "\n")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = s.Write(line)
	}
}
