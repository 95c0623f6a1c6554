package platform

import (
	"context"
	"math/rand/v2"
	"time"
)

// firstBackoff is much shorter than the time that it takes to notice an outage, and much longer than a call.
const firstBackoff = 100 * time.Millisecond

// Backoff delays the repetition of failed calls, so that the call rate does not rise during an outage. The zero value is
// ready to use. It is not safe for concurrent use.
type Backoff struct {
	// Limit is the maximum of the wait between two calls. Default 10 s.
	Limit time.Duration

	next time.Duration
}

// Reset returns to the first step. It is called after a successful call.
func (b *Backoff) Reset() { b.next = 0 }

// Wait waits for a random time between half of the current step and the whole step, or until ctx is done or stop is
// closed. Each call of Wait doubles the step, from 100 ms up to Limit. stop may be nil.
func (b *Backoff) Wait(ctx context.Context, stop <-chan struct{}) {
	limit := b.Limit
	if limit <= 0 {
		limit = 10 * time.Second
	}
	b.next = min(max(2*b.next, firstBackoff), limit)
	timer := time.NewTimer(b.next/2 + rand.N(b.next/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-stop:
	case <-timer.C:
	}
}
