package retry

import (
	"sync"
	"time"
)

// windowSlots is the number of time slots into which a Window divides Span for counting. With more slots, old counts
// expire in smaller steps.
const windowSlots = 20

// Window limits the repeats (retries) sent to one service within a sliding window, where several processes share the limit.
// Each process may send Ratio times its own requests, which needs no coordination, and an equal part of Extra.
//
// Repeats are counted over Span and one more slot, requests over at most half of Span. All requests counted for a repeat then
// lie in the span that begins with the earliest repeat counted with it, or in the span that begins half a Span before that
// one. The limit therefore holds whichever of the two spans a supervisor compares the repeats with.
//
// It is safe for concurrent use. Intervals are computed from the monotonic clock readings of the given times, so that
// a step of the wall clock has no effect.
type Window struct {
	// Ratio is the number of repeats allowed for each request, Extra the additional number for all processes together.
	Ratio float64
	Extra float64
	// Span is the length of the window.
	Span time.Duration

	mu       sync.Mutex
	requests [windowSlots + 1]int // ring buffer: slot number n is at n % (windowSlots + 1)
	repeats  [windowSlots + 1]int // ring buffer as above
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

// Repeat records a repeat if the limit, which the given number of processes share, allows it, and returns whether it does.
func (w *Window) Repeat(now time.Time, processes int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	requests, repeats := 0, 0
	for age := range int64(windowSlots + 1) {
		i := (w.slot + windowSlots + 1 - age) % (windowSlots + 1)
		repeats += w.repeats[i]
		if age < windowSlots/2 {
			requests += w.requests[i]
		}
	}
	if float64(repeats+1) > w.Ratio*float64(requests)+w.Extra/float64(max(1, processes)) {
		return false
	}
	w.repeats[w.slot%(windowSlots+1)]++
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
		w.requests[w.slot%(windowSlots+1)], w.repeats[w.slot%(windowSlots+1)] = 0, 0
	}
}
