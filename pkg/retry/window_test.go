package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"primrosecourse/pkg/retry"
)

// TestWindowBound guards against more retries within any span than the processes may send together, whatever the times of
// requests and retries.
func TestWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span = 10 * time.Second
		processes := rapid.IntRange(1, 5).Draw(t, "processes")
		windows := make([]*retry.Window, processes)
		for i := range windows {
			windows[i] = &retry.Window{Ratio: 0.2, Extra: 20, Span: span}
		}
		start := time.Now()
		now := start
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			w := windows[rapid.IntRange(0, processes-1).Draw(t, "process")]
			if rapid.Bool().Draw(t, "isRequest") {
				w.Request(now)
				requests = append(requests, now)
			} else if w.Repeat(now, processes) {
				retries = append(retries, now)
			}
		}
		for i, first := range retries {
			n := 0
			for _, r := range retries[i:] {
				if r.Sub(first) < span {
					n++
				}
			}
			// The requests may be counted over the same span, over the span before it or over the span half a span earlier; the
			// limit must hold for the count with the most requests.
			requested := max(countWithin(requests, first, span), countWithin(requests, first.Add(-span), span), countWithin(requests, first.Add(-span/2), span))
			if float64(n) > 0.2*float64(requested)+20 {
				t.Fatalf("%d retries within the span from %v on, with %d requests", n, first.Sub(start), requested)
			}
		}
	})
}

func countWithin(times []time.Time, from time.Time, span time.Duration) (n int) {
	for _, t := range times {
		if !t.Before(from) && t.Sub(from) < span {
			n++
		}
	}
	return n
}

// TestWindowRecovers guards against a window that allows no retries once its limit was reached, even after Span.
func TestWindowRecovers(t *testing.T) {
	is := is.New(t)
	w := &retry.Window{Ratio: 0, Extra: 2, Span: 10 * time.Second}
	now := time.Now()
	is.True(w.Repeat(now, 1))
	is.True(w.Repeat(now, 1))
	is.True(!w.Repeat(now.Add(9*time.Second), 1))
	is.True(w.Repeat(now.Add(11*time.Second), 1))
}
