package retry

import (
	"cmp"
	"sync"
	"time"
)

// Budget counts requests and grants retries. Its fields are set before the first call.
type Budget struct {
	// Ratio is the number of retries granted for each request. Default 0.1.
	Ratio float64
	// Floor is the number of retries granted for each second in addition. Default 0.5.
	Floor float64
	// Burst bounds the retries that are kept. Default 10. A new budget is full.
	Burst float64

	mu    sync.Mutex
	left  float64
	since time.Time
	begun bool
}

// SetRatio changes Ratio from the next request on. A ratio of 0 or less is ignored.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio > 0 {
		b.Ratio = ratio
	}
}

// Request records a request; retries are not recorded as requests.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.add(cmp.Or(b.Ratio, 0.1))
}

// Retry takes a retry from the budget and returns false if none is left.
func (b *Budget) Retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	// The tolerance keeps ten additions of 0.1 from falling short of 1.
	if b.left < 1-1e-9 {
		return false
	}
	b.left--
	return true
}

func (b *Budget) advance(now time.Time) {
	if !b.begun {
		b.begun, b.left, b.since = true, cmp.Or(b.Burst, 10), now
	}
	// A time before the last one adds nothing.
	if d := now.Sub(b.since); d > 0 {
		b.add(d.Seconds() * cmp.Or(b.Floor, 0.5))
		b.since = now
	}
}

func (b *Budget) add(n float64) { b.left = min(b.left+n, cmp.Or(b.Burst, 10)) }
