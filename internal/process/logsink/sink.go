// Package logsink writes log lines without blocking the code that logs.
//
// Lines are buffered in memory, and one goroutine writes them in batches. When the buffer is full, because the reader of the
// output pipe is slow or the load is high, further lines are dropped and counted; the count is written as a line of its own.
// Lines of low priority are dropped first, so that lines about failures and changes are kept.
//
// # Usage
//
//	sink := logsink.New(os.Stdout)
//	go func() { ended <- sink.Run(ctx) }()
//	log := logr.FromSlogHandler(slog.NewJSONHandler(sink, nil))
package logsink

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Sink is an io.Writer of log lines that does not block.
type Sink struct {
	// Limit is the maximum number of buffered bytes, without the batch that is being written. Default 1 MiB.
	Limit int
	// Period is the time between two batches. Default 100 ms.
	Period time.Duration
	// LowPriority reports whether a line may be dropped as soon as half of Limit is buffered. It may be nil.
	LowPriority func(line []byte) bool
	// DroppedNotice returns the log line, without its end of line, that reports the number of lines dropped since the last
	// notice. It may be nil; then dropped lines are only counted.
	DroppedNotice func(lines int) string

	out    io.Writer
	mu     sync.Mutex
	buffer []byte
	// dropped counts the dropped lines that are not reported yet, droppedTotal all dropped lines.
	dropped      int
	droppedTotal int
	done         chan struct{}
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink { return &Sink{out: out, done: make(chan struct{})} }

// Done returns a channel that is closed when Run returns.
func (s *Sink) Done() <-chan struct{} { return s.done }

// DroppedLines returns the total number of dropped lines.
func (s *Sink) DroppedLines() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.droppedTotal
}

// Write implements io.Writer. Each call writes one line. It never returns an error.
func (s *Sink) Write(p []byte) (n int, err error) {
	limit := cmp.Or(s.Limit, 1<<20)
	if s.LowPriority != nil && s.LowPriority(p) {
		limit /= 2
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer)+len(p) > limit {
		s.dropped++
		s.droppedTotal++
		return len(p), nil
	}
	s.buffer = append(s.buffer, p...)
	return len(p), nil
}

// flushTimeout is how long Run waits, after ctx is done, until the last lines are written. It is much shorter than the time
// that any process has for its shutdown.
const flushTimeout = time.Second

// Run writes batches until ctx is done and then writes the remaining lines. If the output is blocked, it returns flushTimeout
// after ctx is done.
func (s *Sink) Run(ctx context.Context) error {
	defer close(s.done)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.write(ctx)
	}()
	<-ctx.Done()
	timeout := time.NewTimer(flushTimeout)
	defer timeout.Stop()
	select {
	case <-ended:
	case <-timeout.C:
	}
	return nil
}

// write writes a batch at the end of each Period and a last one when ctx is done.
func (s *Sink) write(ctx context.Context) {
	ticker := time.NewTicker(cmp.Or(s.Period, 100*time.Millisecond))
	defer ticker.Stop()
	var spare []byte
	for {
		select {
		case <-ctx.Done():
			s.flush(nil)
			return
		case <-ticker.C:
			spare = s.flush(spare)
		}
	}
}

// flush writes the buffer, replaces it by spare and returns the old buffer for reuse.
func (s *Sink) flush(spare []byte) []byte {
	s.mu.Lock()
	batch, dropped := s.buffer, s.dropped
	s.buffer, s.dropped = spare[:0], 0
	s.mu.Unlock()
	if dropped > 0 && s.DroppedNotice != nil {
		batch = fmt.Appendln(batch, s.DroppedNotice(dropped))
	}
	if len(batch) > 0 {
		// The error is ignored, since there is no other place to report that the log cannot be written.
		_, _ = s.out.Write(batch)
	}
	return batch
}
