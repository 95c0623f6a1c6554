package retention

import (
	"container/list"
	"time"
)

// DefaultLimit is the default maximum number of blocks in a Tracker. An entry takes about 150 bytes.
const DefaultLimit = 65536

// sampleWeight is the weight of a new sample in the weighted means. The last ten samples have two thirds of the weight.
const sampleWeight = 0.1

// Tracker records the recent uses of blocks. It drops the least recently used block when there are more than Limit blocks.
// It is not safe for concurrent use.
type Tracker struct {
	// Limit is the maximum number of blocks in the tracker. Values of 0 or less mean DefaultLimit.
	Limit int

	order       *list.List // of *blockUse, the most recently used first
	byID        map[uint64]*list.Element
	returnGap   mean // time between the first and the second use of a block
	evictionAge mean // time between the last use of a block and its eviction
}

// blockUse records the uses of one block.
type blockUse struct {
	id       uint64
	count    int
	last     time.Time // time of the last use
	exported bool      // whether a store has the block or is about to get it
}

// mean is an exponentially weighted mean.
type mean struct {
	value       time.Duration
	initialised bool // whether there was a sample
}

func (m *mean) add(d time.Duration) {
	if !m.initialised {
		m.value, m.initialised = d, true
		return
	}
	m.value += time.Duration(sampleWeight * float64(d-m.value))
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{Limit: DefaultLimit, order: list.New(), byID: map[uint64]*list.Element{}}
}

// Use records that a prompt used block id at now.
func (t *Tracker) Use(id uint64, now time.Time) {
	if el, ok := t.byID[id]; ok {
		u := el.Value.(*blockUse)
		if u.count == 1 {
			// Only the second use counts, since the gap before it decides whether to export a block used once. The later
			// uses of a shared prefix are seconds apart and would outnumber second uses by far.
			t.returnGap.add(now.Sub(u.last))
		}
		u.count++
		u.last = now
		t.order.MoveToFront(el)
		return
	}
	t.byID[id] = t.order.PushFront(&blockUse{id: id, count: 1, last: now})
	if t.order.Len() > t.limit() {
		oldest := t.order.Back()
		delete(t.byID, oldest.Value.(*blockUse).id)
		t.order.Remove(oldest)
	}
}

// Evicted records that the engine evicted block id at now.
func (t *Tracker) Evicted(id uint64, now time.Time) {
	if el, ok := t.byID[id]; ok {
		t.evictionAge.add(now.Sub(el.Value.(*blockUse).last))
	}
}

// Exported records that a store has block id or is about to get it, so that the block is not exported again.
func (t *Tracker) Exported(id uint64) {
	if el, ok := t.byID[id]; ok {
		el.Value.(*blockUse).exported = true
	}
}

// Lost records that no store has block id, since its export failed or the store no longer has it.
func (t *Tracker) Lost(id uint64) {
	if el, ok := t.byID[id]; ok {
		el.Value.(*blockUse).exported = false
	}
}

// ShouldExport reports whether block id should be copied to a store: it is in the tracker, no store has it or is about to get
// it, and it was used at least twice or will probably be evicted before its second use.
func (t *Tracker) ShouldExport(id uint64) bool {
	el, ok := t.byID[id]
	if !ok {
		return false
	}
	u := el.Value.(*blockUse)
	if u.exported {
		return false
	}
	return u.count >= 2 || t.returnGap.initialised && t.evictionAge.initialised && t.returnGap.value > t.evictionAge.value
}

// Len returns the number of blocks in the tracker.
func (t *Tracker) Len() int { return t.order.Len() }

func (t *Tracker) limit() int {
	if t.Limit <= 0 {
		return DefaultLimit
	}
	return t.Limit
}
