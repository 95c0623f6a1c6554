package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"primrosecourse/pkg/retry"
)

// TestWindowBound guards against more repeats in some span than the processes may send together, whatever the times of
// requests and repeats.
func TestWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span = 10 * time.Second
		sharers := rapid.IntRange(1, 5).Draw(t, "sharers")
		windows := make([]*retry.Window, sharers)
		for i := range windows {
			windows[i] = &retry.Window{Ratio: 0.2, Extra: 20, Span: span}
		}
		start := time.Now()
		now := start
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			w := windows[rapid.IntRange(0, sharers-1).Draw(t, "process")]
			if rapid.Bool().Draw(t, "isRequest") {
				w.Request(now)
				requests = append(requests, now)
			} else if w.Repeat(now, sharers) {
				repeats = append(repeats, now)
			}
		}
		for i, first := range repeats {
			n := 0
			for _, r := range repeats[i:] {
				if r.Sub(first) < span {
					n++
				}
			}
			// A bound may count the requests of the span or of the one before it, whichever has more.
			asked := max(within(requests, first, span), within(requests, first.Add(-span), span), within(requests, first.Add(-span/2), span))
			if float64(n) > 0.2*float64(asked)+20 {
				t.Fatalf("%d repeats from %v on, with %d requests", n, first.Sub(start), asked)
			}
		}
	})
}

func within(times []time.Time, from time.Time, span time.Duration) (n int) {
	for _, t := range times {
		if !t.Before(from) && t.Sub(from) < span {
			n++
		}
	}
	return n
}

// TestWindowRecovers guards against a budget that stays spent.
func TestWindowRecovers(t *testing.T) {
	is := is.New(t)
	w := &retry.Window{Ratio: 0, Extra: 2, Span: 10 * time.Second}
	now := time.Now()
	is.True(w.Repeat(now, 1))
	is.True(w.Repeat(now, 1))
	is.True(!w.Repeat(now.Add(9*time.Second), 1))
	is.True(w.Repeat(now.Add(11*time.Second), 1))
}
