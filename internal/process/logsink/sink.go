// Package logsink writes log lines without ever holding up the code that logs.
//
// Lines gather in a bounded buffer that one goroutine writes out in batches. When the buffer is full, because the reader of
// the pipe is slow or the load is high, further lines are left out and counted; the count is written in a line of its own.
// Ordinary lines are left out first, so that those on failures and changes are kept.
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

// Sink is a writer that does not block.
type Sink struct {
	// Limit is the number of bytes that wait to be written. Default 1 MiB.
	Limit int
	// Period is the time between two batches. Default 100 ms.
	Period time.Duration
	// Ordinary tells lines that are left out first, when half of Limit waits. It may be nil.
	Ordinary func(line []byte) bool
	// Dropped writes the line that counts lines left out. It may be nil.
	Dropped func(lines int) string

	out     io.Writer
	mu      sync.Mutex
	buffer  []byte
	dropped int
	total   int
	done    chan struct{}
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink { return &Sink{out: out, done: make(chan struct{})} }

// Done is closed when Run has ended.
func (s *Sink) Done() <-chan struct{} { return s.done }

// Lines returns the number of lines left out so far.
func (s *Sink) Lines() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Write implements io.Writer for one line at a time. It never fails.
func (s *Sink) Write(p []byte) (n int, err error) {
	limit := cmp.Or(s.Limit, 1<<20)
	if s.Ordinary != nil && s.Ordinary(p) {
		limit /= 2
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer)+len(p) > limit {
		s.dropped++
		s.total++
		return len(p), nil
	}
	s.buffer = append(s.buffer, p...)
	return len(p), nil
}

// stopLimit is the time that a stop leaves the reader to take the last lines: short against any time for a stop.
const stopLimit = time.Second

// Run writes batches until ctx is done, and what is left then. It does not wait for a reader that does not read.
func (s *Sink) Run(ctx context.Context) error {
	defer close(s.done)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.write(ctx)
	}()
	<-ctx.Done()
	limit := time.NewTimer(stopLimit)
	defer limit.Stop()
	select {
	case <-ended:
	case <-limit.C:
	}
	return nil
}

// write writes a batch each Period until ctx is done, and the last one then.
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

// flush writes the buffer and returns it for use as the next one.
func (s *Sink) flush(spare []byte) []byte {
	s.mu.Lock()
	batch, dropped := s.buffer, s.dropped
	s.buffer, s.dropped = spare[:0], 0
	s.mu.Unlock()
	if dropped > 0 && s.Dropped != nil {
		batch = fmt.Appendln(batch, s.Dropped(dropped))
	}
	if len(batch) > 0 {
		// There is nowhere to report that a log cannot be written.
		_, _ = s.out.Write(batch)
	}
	return batch
}
