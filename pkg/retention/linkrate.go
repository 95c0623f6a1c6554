package retention

import (
	"math"
	"time"
)

// linkHalfLife is the time in which the difference between the measured and the configured rate decays to half. A slow link
// is tried again after about a minute.
const linkHalfLife = 30 * time.Second

// LinkRate estimates the rate of a store link from completed transfers. While the estimate is low, blocks are prefilled
// instead of fetched, so that no transfer could show that the link has recovered. The estimate therefore returns to the
// configured rate over time. It is not safe for concurrent use.
type LinkRate struct {
	// Configured is the planned rate from the configuration, in bytes per second.
	Configured float64

	measured   float64   // rate after the last transfer, in bytes per second
	measuredAt time.Time // end of the last transfer, zero if there was none
}

// Observe records that a transfer of n bytes took d and ended at now. Transfers shorter than 1 ms are ignored, since they
// say nothing about the rate of the link. A transfer faster than the estimate raises it by half of the difference, at most
// to the configured rate; a slower one replaces it.
func (l *LinkRate) Observe(n int, d time.Duration, now time.Time) {
	if d < time.Millisecond {
		return
	}
	sample := float64(n) / d.Seconds()
	if estimate := l.Estimate(now); sample > estimate {
		sample = min(estimate+(sample-estimate)/2, l.Configured)
	}
	l.measured, l.measuredAt = sample, now
}

// Estimate returns the estimated rate at now in bytes per second.
func (l *LinkRate) Estimate(now time.Time) float64 {
	if l.measuredAt.IsZero() {
		return l.Configured
	}
	remainingShare := math.Exp2(-max(0, now.Sub(l.measuredAt).Seconds()) / linkHalfLife.Seconds())
	return l.Configured + (l.measured-l.Configured)*remainingShare
}
