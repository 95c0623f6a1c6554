package retention

import (
	"container/list"
	"time"
)

// DefaultLimit is the number of blocks that a Tracker remembers. An entry takes about 150 bytes.
const DefaultLimit = 65536

// meanWeight is the part of a new sample in the weighted means: the last ten samples make up two thirds.
const meanWeight = 0.1

// Tracker remembers the recent uses of blocks. The least recently used ones are forgotten beyond Limit. It is not safe
// for concurrent use.
type Tracker struct {
	// Limit is the number of blocks remembered. Default DefaultLimit.
	Limit int

	order    *list.List
	byID     map[uint64]*list.Element
	gap      mean
	eviction mean
}

type use struct {
	id       uint64
	count    int
	last     time.Time
	exported bool
}

type mean struct {
	value time.Duration
	known bool
}

func (m *mean) add(d time.Duration) {
	if !m.known {
		m.value, m.known = d, true
		return
	}
	m.value += time.Duration(meanWeight * float64(d-m.value))
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{Limit: DefaultLimit, order: list.New(), byID: map[uint64]*list.Element{}}
}

// Use records that a prompt used block id at now.
func (t *Tracker) Use(id uint64, now time.Time) {
	if el, ok := t.byID[id]; ok {
		u := el.Value.(*use)
		if u.count == 1 {
			// Only first returns count: they are what decides on a block used once. The uses of a shared prefix, seconds
			// apart, would outnumber them by far.
			t.gap.add(now.Sub(u.last))
		}
		u.count++
		u.last = now
		t.order.MoveToFront(el)
		return
	}
	t.byID[id] = t.order.PushFront(&use{id: id, count: 1, last: now})
	if t.order.Len() > t.limit() {
		oldest := t.order.Back()
		delete(t.byID, oldest.Value.(*use).id)
		t.order.Remove(oldest)
	}
}

// Evicted records that the engine dropped block id at now.
func (t *Tracker) Evicted(id uint64, now time.Time) {
	if el, ok := t.byID[id]; ok {
		t.eviction.add(now.Sub(el.Value.(*use).last))
	}
}

// Exported records that a store holds block id, so that it is not exported again.
func (t *Tracker) Exported(id uint64) {
	if el, ok := t.byID[id]; ok {
		el.Value.(*use).exported = true
	}
}

// Lost records that no store holds block id any more.
func (t *Tracker) Lost(id uint64) {
	if el, ok := t.byID[id]; ok {
		el.Value.(*use).exported = false
	}
}

// ShouldExport reports whether block id should be copied to a store: it is remembered, no store has it, and it was used
// twice or will be evicted before its expected first return.
func (t *Tracker) ShouldExport(id uint64) bool {
	el, ok := t.byID[id]
	if !ok {
		return false
	}
	u := el.Value.(*use)
	if u.exported {
		return false
	}
	return u.count >= 2 || t.gap.known && t.eviction.known && t.gap.value > t.eviction.value
}

// Len returns the number of blocks remembered.
func (t *Tracker) Len() int { return t.order.Len() }

func (t *Tracker) limit() int {
	if t.Limit <= 0 {
		return DefaultLimit
	}
	return t.Limit
}
