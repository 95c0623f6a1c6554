package progress

import (
	"cmp"
	"slices"
	"time"
)

// Releasable reports whether an attempt may be released from a silent endpoint: its request may go on at another one, in time. Silence is no
// proof that the endpoint has crashed, so an attempt that cannot go on elsewhere stays until there is better evidence, such as a connection
// that breaks, or until its caller leaves or its deadline passes.
func Releasable(now time.Time, a Attempt) bool {
	return a.Repeatable && (a.Deadline.IsZero() || now.Before(a.Deadline))
}

// ReleaseOrder returns the indices of the releasable attempts at a silent endpoint in the order in which they are released. The retry
// budget may not suffice for all of them, so those whose callers lose most without a retry go first: streams that have begun, since their
// callers hold a part of the answer, before others, and then the one whose deadline is nearest.
func ReleaseOrder(now time.Time, attempts []Attempt) []int {
	order := make([]int, 0, len(attempts))
	for i, a := range attempts {
		if Releasable(now, a) {
			order = append(order, i)
		}
	}
	class := func(a Attempt) int {
		if !a.ProgressAt.IsZero() {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(order, func(i, j int) int {
		a, b := attempts[i], attempts[j]
		return cmp.Or(cmp.Compare(class(a), class(b)), a.Deadline.Compare(b.Deadline))
	})
	return order
}
