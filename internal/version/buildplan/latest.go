package buildplan

import (
	"context"
	"sync"
	"time"
)

// confirmation is one read of the plan's number for all that ask before it begins.
type confirmation struct {
	done   chan struct{}
	number uint64
	err    error
}

// confirmations reads the number of the plan, one read at a time.
type confirmations struct {
	mu      sync.Mutex
	running bool
	next    *confirmation
	// readAt is when the last read began; only the goroutine of the reads uses it.
	readAt time.Time
}

// readInterval is the least time between two reads.
const readInterval = 30 * time.Millisecond

// rewriteTime is how long after a restore of the store gateways write again what was lost.
const rewriteTime = 3 * time.Second

// eras tells when the store was restored.
type eras struct {
	mu     sync.Mutex
	known  bool
	latest uint64
	since  time.Time
}

// settled reports whether the store, in the era in which it answers, was restored at least rewriteTime ago or not since the first call.
func (e *eras) settled(era uint64, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known && era > e.latest {
		e.since = now
	}
	if !e.known || era > e.latest {
		e.known, e.latest = true, era
	}
	return e.since.IsZero() || now.Sub(e.since) >= rewriteTime
}

// Latest returns the number of the plan that the store has at some time after the call, 0 if it has none. Calls at the same time share a
// read.
func (p *Planner) Latest(ctx context.Context) (number uint64, err error) {
	c := &p.confirmations
	c.mu.Lock()
	if c.next == nil {
		c.next = &confirmation{done: make(chan struct{})}
	}
	own := c.next
	if !c.running {
		c.running = true
		p.reads.Go(p.confirm)
	}
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-own.done:
		return own.number, own.err
	}
}

// confirm reads until nobody waits. Each call of the store has its own time limit.
func (p *Planner) confirm() {
	c := &p.confirmations
	for {
		c.mu.Lock()
		current := c.next
		c.next = nil
		if current == nil {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		time.Sleep(time.Until(c.readAt.Add(readInterval)))
		c.readAt = time.Now()
		current.number, current.err = p.latest(context.Background())
		close(current.done)
	}
}
