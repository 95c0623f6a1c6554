package retention

import (
	"math"
	"time"
)

// linkHalfLife is the time after which half of a measured difference from the configured rate is forgotten. A link that
// was found slow is tried again after about a minute.
const linkHalfLife = 30 * time.Second

// LinkRate estimates the rate of a store link from the transfers seen. A slow link loses against computing, so that no
// transfer would ever show that it is well again; therefore the estimate returns to the configured rate with time. It is
// not safe for concurrent use.
type LinkRate struct {
	// Configured is the planned rate in bytes per second.
	Configured float64

	measured float64
	at       time.Time
}

// Observe records that a transfer of n bytes took d and ended at now. Transfers below 1 ms say nothing of the link.
func (l *LinkRate) Observe(n int, d time.Duration, now time.Time) {
	if d < time.Millisecond {
		return
	}
	sample := float64(n) / d.Seconds()
	if estimate := l.Estimate(now); sample > estimate {
		sample = min(estimate+(sample-estimate)/2, l.Configured)
	}
	l.measured, l.at = sample, now
}

// Estimate returns the expected rate at now in bytes per second.
func (l *LinkRate) Estimate(now time.Time) float64 {
	if l.at.IsZero() {
		return l.Configured
	}
	left := math.Exp2(-max(0, now.Sub(l.at).Seconds()) / linkHalfLife.Seconds())
	return l.Configured + (l.measured-l.Configured)*left
}
