package retry

import (
	"sync"
	"time"
)

// windowSlots is the number of time slots into which a Window divides Span for counting. With more slots, old counts
// expire in smaller steps.
const windowSlots = 20

// Window limits the retries sent to one service within a sliding window, where several processes share the limit.
// Each process may send Ratio times its own requests, which needs no coordination, and an equal part of Extra.
//
// Retries are counted over Span and at most one more slot, requests over at most half of Span. Take any span that begins with a
// retry: the requests counted for the last retry in it lie either in this span or in the one that begins half a Span earlier.
// For each process, the limit therefore holds against the larger number of requests in these two spans.
//
// It is safe for concurrent use. Intervals are computed from the monotonic clock readings of the given times, so that
// a step of the wall clock has no effect.
type Window struct {
	// Ratio is the number of retries allowed for each request, Extra the additional number for all processes together.
	Ratio float64
	Extra float64
	// Span is the length of the window.
	Span time.Duration

	mu       sync.Mutex
	requests [windowSlots + 1]int // ring buffer: slot number n is at n % (windowSlots + 1)
	retries  [windowSlots + 1]int // ring buffer as above
	slot     int64                // number of the current slot
	start    time.Time            // beginning of slot 0
}

// Request records a request.
func (w *Window) Request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[w.slot%(windowSlots+1)]++
}

// Repeat records a retry if the limit, which the given number of processes share, allows it, and reports whether it does.
func (w *Window) Repeat(now time.Time, processes int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	requests, retries := 0, 0
	for age := range int64(windowSlots + 1) {
		i := (w.slot + windowSlots + 1 - age) % (windowSlots + 1)
		retries += w.retries[i]
		if age < windowSlots/2 {
			requests += w.requests[i]
		}
	}
	if float64(retries+1) > w.Ratio*float64(requests)+w.Extra/float64(max(1, processes)) {
		return false
	}
	w.retries[w.slot%(windowSlots+1)]++
	return true
}

// advance moves the window to the slot of now and clears the slots that it reuses.
func (w *Window) advance(now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	slot := int64(now.Sub(w.start) / (w.Span / windowSlots))
	for w.slot < slot {
		w.slot++
		if slot-w.slot > windowSlots {
			w.slot = slot - windowSlots
		}
		w.requests[w.slot%(windowSlots+1)], w.retries[w.slot%(windowSlots+1)] = 0, 0
	}
}
