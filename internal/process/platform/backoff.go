package platform

import (
	"context"
	"math/rand/v2"
	"time"
)

// firstBackoff is far below the time in which an outage is noticed, and far above that of a call.
const firstBackoff = 100 * time.Millisecond

// Backoff spaces calls that fail, so that an outage does not multiply them. The zero value is ready. It belongs to one
// goroutine.
type Backoff struct {
	// Limit bounds the time between two calls. Default 10 s.
	Limit time.Duration

	next time.Duration
}

// Reset starts over after a call that worked.
func (b *Backoff) Reset() { b.next = 0 }

// Wait returns after a random time between half and all of the current step, or when ctx or stop is done. Each call
// doubles the step, from 100 ms to Limit. stop may be nil.
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
