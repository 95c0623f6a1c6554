package retry

import (
	"sync"
	"time"
)

// windowSlots is the number of parts in which a Window counts. More of them forget more evenly.
const windowSlots = 20

// Window bounds the repeats to one service within a sliding time, where several processes share the bound. Each process
// may use Ratio of its own requests, which needs no agreement, and its part of Extra.
//
// Repeats count for the span and a slot more, requests for half of it: the requests before a repeat then all lie in the span
// that begins with the first of the repeats that it is counted with, or in the one half a span earlier, whichever a
// supervisor compares them with. It is safe for concurrent use. Times are taken from the monotonic clock, so that a step of
// the time of day changes nothing.
type Window struct {
	// Ratio is the number of repeats for each request, Extra the number in addition for all Sharers together.
	Ratio float64
	Extra float64
	// Span is the length of the window.
	Span time.Duration

	mu       sync.Mutex
	requests [windowSlots + 1]int
	repeats  [windowSlots + 1]int
	slot     int64
	start    time.Time
}

// Request records a request.
func (w *Window) Request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.requests[w.slot%(windowSlots+1)]++
}

// Repeat takes a repeat from the window, which the given number of processes share, and returns false if none is left.
func (w *Window) Repeat(now time.Time, sharers int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	requests, repeats := 0, 0
	for i := range int64(windowSlots + 1) {
		at := (w.slot + windowSlots + 1 - i) % (windowSlots + 1)
		repeats += w.repeats[at]
		if i < windowSlots/2 {
			requests += w.requests[at]
		}
	}
	if float64(repeats+1) > w.Ratio*float64(requests)+w.Extra/float64(max(1, sharers)) {
		return false
	}
	w.repeats[w.slot%(windowSlots+1)]++
	return true
}

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
