package retention

// maxWrongShare is the largest share of wrong blocks with which an index is still used. A block that is in the index but not
// in the engine must be prefilled; a block that is in the engine but not in the index is fetched needlessly. Up to a quarter,
// these errors cost less than emptying the index and fetching all blocks again.
const maxWrongShare = 0.25

// LostEvents counts the cache events that were lost since Exceeds last returned true, that is, since the index of an engine's
// blocks was last emptied because of lost events. Each lost event makes at most one block of the index wrong. The zero value has no
// lost events. It is not safe for concurrent use.
type LostEvents struct {
	lost uint64
}

// Missed records that n events were lost.
func (l *LostEvents) Missed(n uint64) { l.lost += n }

// Exceeds reports whether so many events were lost that an index of the given number of blocks should be emptied. If so, it
// resets the count.
func (l *LostEvents) Exceeds(blocks int) bool {
	if float64(l.lost) <= maxWrongShare*float64(blocks) {
		return false
	}
	l.lost = 0
	return true
}
