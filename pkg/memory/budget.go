package memory

import "sync/atomic"

// Budget is an amount of memory that its holders share. It is safe for concurrent use. A nil Budget has no limit.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// New returns a budget of limit bytes; 0 stands for no limit.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Held returns the number of bytes that are held beyond the allowances.
func (b *Budget) Held() int64 { return b.held.Load() }

// Hold returns a holder that may hold up to free bytes without drawing on the budget.
func (b *Budget) Hold(free int) *Holder { return &Holder{budget: b, free: int64(free)} }

// Holder is one user of a budget. It is not safe for concurrent use. A nil Holder has no limit.
type Holder struct {
	budget *Budget
	// free is the allowance, drawn what was taken from the budget beyond it.
	free, drawn int64
}

// Grow makes the holder hold n bytes in all, unless it holds more already. It returns false, and changes nothing, if the budget does not
// have that much left.
func (h *Holder) Grow(n int) bool {
	if h == nil || h.budget == nil {
		return true
	}
	more := int64(n) - h.free - h.drawn
	if more <= 0 {
		return true
	}
	if held := h.budget.held.Add(more); h.budget.limit > 0 && held > h.budget.limit {
		h.budget.held.Add(-more)
		return false
	}
	h.drawn += more
	return true
}

// Release returns what the holder has drawn.
func (h *Holder) Release() {
	if h == nil || h.budget == nil {
		return
	}
	h.budget.held.Add(-h.drawn)
	h.drawn = 0
}
