package waves

import "time"

const (
	// defaultUpdateTime is assumed until an update has been measured.
	defaultUpdateTime = 1500 * time.Millisecond
	// sampleWeight is the weight of one update in the moving average.
	sampleWeight = 0.25
	// maxSampleRatio limits the influence of a single endpoint that is slow to finish its requests.
	maxSampleRatio = 3
)

// Times estimates how long an update takes. The zero value is ready to use.
type Times struct {
	average time.Duration
}

// Add records the time that an update took.
func (t *Times) Add(took time.Duration) {
	switch {
	case took <= 0:
	case t.average == 0:
		t.average = took
	default:
		took = min(took, maxSampleRatio*t.average)
		t.average += time.Duration(sampleWeight * float64(took-t.average))
	}
}

// Typical returns the estimated time of an update. elapsed are the times since the start of the updates in progress: until one has ended,
// an update is known to take at least as long as the shortest of them.
func (t *Times) Typical(elapsed []time.Duration) time.Duration {
	if t.average > 0 {
		return t.average
	}
	shortest := time.Duration(0)
	for i, d := range elapsed {
		if i == 0 || d < shortest {
			shortest = d
		}
	}
	return max(defaultUpdateTime, shortest)
}
