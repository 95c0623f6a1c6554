package platform

import (
	"context"
	"math/rand/v2"
	"time"
)

// minBackoff is the first step of a Backoff. It is much longer than a call and much shorter than the time within which an
// outage must be detected.
const minBackoff = 100 * time.Millisecond

// Backoff delays the retries of failed calls, so that an outage does not increase the call rate. The zero value is
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
	b.next = min(max(2*b.next, minBackoff), limit)
	timer := time.NewTimer(b.next/2 + rand.N(b.next/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-stop:
	case <-timer.C:
	}
}
