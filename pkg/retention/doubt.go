package retention

// maxDoubt is the share of an index that may be wrong. Believing in a block that is gone costs its computation, forgetting
// one that is there costs a needless fetch; below a quarter the few errors cost less than fetching everything again.
const maxDoubt = 0.25

// Doubt counts the cache events that were lost since an index of an engine's blocks was last empty. Each of them makes at
// most one block wrong. The zero value has no doubt. It is not safe for concurrent use.
type Doubt struct {
	missed uint64
}

// Missed records that n events were lost.
func (d *Doubt) Missed(n uint64) { d.missed += n }

// Exceeds reports whether an index of the given number of blocks should be emptied, and begins anew if so.
func (d *Doubt) Exceeds(blocks int) bool {
	if float64(d.missed) <= maxDoubt*float64(blocks) {
		return false
	}
	d.missed = 0
	return true
}
