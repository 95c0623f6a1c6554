package progress

import (
	"cmp"
	"slices"
	"time"
)

// ReleaseOrder returns the indices of the attempts at a silent endpoint in the order in which they are released. The retry budget may
// not suffice for all of them, so those whose callers lose most without a retry go first: repeatable requests before others, which are
// only told that their outcome is unknown; streams that have begun, since their callers hold a part of the answer, before others; and
// then the one whose deadline is nearest. Requests whose deadline has passed go last.
func ReleaseOrder(now time.Time, attempts []Attempt) []int {
	order := make([]int, len(attempts))
	for i := range order {
		order[i] = i
	}
	class := func(a Attempt) int {
		switch {
		case !a.Repeatable:
			return 2
		case !a.Deadline.IsZero() && !now.Before(a.Deadline):
			return 3
		case !a.ProgressAt.IsZero():
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
