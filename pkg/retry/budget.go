package retry

import (
	"cmp"
	"sync"
	"time"
)

// Budget is a retry budget, a token bucket that requests and time refill. Its exported fields must be set before the first
// call; fields that are 0 get the defaults.
type Budget struct {
	// Ratio is the number of retries added for each request. Default 0.1.
	Ratio float64
	// PerSecond is the number of retries added per second, whatever the number of requests. Default 0.5.
	PerSecond float64
	// Burst is the maximum number of retries that the budget accumulates. Default 10. A new budget is full.
	Burst float64

	mu        sync.Mutex
	available float64   // retries left
	updatedAt time.Time // when PerSecond was last added
	started   bool      // whether available and updatedAt are initialised
}

// SetRatio changes Ratio from the next request on. A ratio of 0 or less is ignored.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio > 0 {
		b.Ratio = ratio
	}
}

// Request records a request. It must not be called for retries.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.add(cmp.Or(b.Ratio, 0.1))
}

// Retry takes a retry from the budget. It reports whether at least one was left; if not, it takes nothing.
func (b *Budget) Retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	// The tolerance covers rounding: ten additions of 0.1 give slightly less than 1.
	if b.available < 1-1e-9 {
		return false
	}
	b.available--
	return true
}

// advance adds PerSecond for the time since updatedAt, and fills a new budget.
func (b *Budget) advance(now time.Time) {
	if !b.started {
		b.started, b.available, b.updatedAt = true, cmp.Or(b.Burst, 10), now
	}
	// A clock that was set back adds nothing until it has caught up.
	if d := now.Sub(b.updatedAt); d > 0 {
		b.add(d.Seconds() * cmp.Or(b.PerSecond, 0.5))
		b.updatedAt = now
	}
}

func (b *Budget) add(n float64) { b.available = min(b.available+n, cmp.Or(b.Burst, 10)) }
