package hedge

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave buckets cover a doubling of the latency, so that a percentile is exact to about a tenth.
	bucketsPerOctave = 4
	// firstBucket is the upper end of the lowest bucket. The highest one ends at about 74 s, beyond the longest usual deadline.
	firstBucket = 500 * time.Microsecond
	bucketCount = 17*bucketsPerOctave + 2 // the last one holds latencies of unknown length
	// decayStep is the shortest time between two decays of a histogram.
	decayStep = 100 * time.Millisecond
)

// histogram counts latencies in buckets of logarithmic width. The counts decay with a half-life.
type histogram struct {
	halfLife  time.Duration
	weights   [bucketCount]float32
	total     float64
	decayedAt time.Time
}

// decay reduces the counts for the time since the last decay.
func (h *histogram) decay(now time.Time) {
	if h.decayedAt.IsZero() {
		h.decayedAt = now
	}
	d := now.Sub(h.decayedAt)
	if d < decayStep {
		return
	}
	factor := halving(d, h.halfLife)
	h.total, h.decayedAt = 0, now
	for i := range h.weights {
		h.weights[i] *= float32(factor)
		h.total += float64(h.weights[i])
	}
}

// halving returns the factor by which a count with a half-life decays in a time.
func halving(d, halfLife time.Duration) float64 { return math.Exp2(-float64(d) / float64(halfLife)) }

// add counts a latency.
func (h *histogram) add(now time.Time, latency time.Duration) { h.count(now, bucketOf(latency)) }

// addLonger counts a latency that is known to be longer than usual, but not its length.
func (h *histogram) addLonger(now time.Time) { h.count(now, bucketCount-1) }

func (h *histogram) count(now time.Time, bucket int) {
	h.decay(now)
	h.weights[bucket]++
	h.total++
}

func bucketOf(latency time.Duration) int {
	if latency <= firstBucket {
		return 0
	}
	return min(bucketCount-2, int(math.Ceil(bucketsPerOctave*math.Log2(float64(latency)/float64(firstBucket)))))
}

// bucketEnd returns the upper end of a bucket.
func bucketEnd(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Exp2(float64(bucket)/bucketsPerOctave))
}

// noLatency is the percentile if it is a latency of unknown length.
const noLatency = time.Duration(math.MaxInt64)

// percentile returns the latency that a share of the latencies do not exceed, counting overdue more that are longer than any. It returns
// noLatency if that is not known.
func (h *histogram) percentile(share, overdue float64) time.Duration {
	rank := share * (h.total + overdue)
	for i, w := range h.weights[:bucketCount-1] {
		if rank -= float64(w); rank <= 0 && w > 0 {
			// Latencies are assumed to be spread evenly over a bucket.
			begin, inside := bucketEnd(i-1), 1+rank/float64(w)
			if i == 0 {
				begin = 0
			}
			return begin + time.Duration(inside*float64(bucketEnd(i)-begin))
		}
	}
	return noLatency
}
