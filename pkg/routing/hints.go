package routing

import (
	"sync"
	"time"

	"primrosecourse/pkg/prefix"
)

// DefaultHints is the default capacity of a hint table. At about 110 bytes per hint, the table takes 7 MB.
const DefaultHints = 1 << 16

// Hints is a bounded table that maps block identities to the endpoint that last ran a prompt with the block. When it is full, the
// least recently used hint is evicted.
type Hints struct {
	mu    sync.Mutex
	byID  map[prefix.ID]int32
	slots []hint
	// limit is the capacity; slots grows up to it.
	limit int
}

type hint struct {
	id         prefix.ID
	endpoint   string
	ranAt      time.Time
	prev, next int32
}

// Match is the longest prefix of a prompt for which there is a hint.
type Match struct {
	Endpoint string
	// Blocks is the number of leading blocks that the endpoint ran, 0 if no prefix is known.
	Blocks int
	// At is when it ran them.
	At time.Time
}

// NewHints returns an empty table with room for limit hints, DefaultHints if limit is 0 or less.
func NewHints(limit int) *Hints {
	if limit <= 0 {
		limit = DefaultHints
	}
	// Slot 0 is the head of the LRU list: its next is the most recently used hint, its prev the least recently used one.
	return &Hints{byID: make(map[prefix.ID]int32), slots: make([]hint, 1, 64), limit: limit}
}

// Len returns the number of hints.
func (h *Hints) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.byID)
}

// Add records that the endpoint ran a prompt with the chain. Of the blocks after the shared part, it records the last one, those
// at distances 1, 2, 4, 8 and so on before it, and the first one. With this logarithmic number of hints, a prompt that differs only in
// its last n blocks still finds a hint for all blocks but fewer than the last 2n, or at least for the first block after the shared part.
// If there are no blocks after the shared part, Add records the last block of the chain.
func (h *Hints) Add(chain []prefix.ID, sharedBlocks int, endpoint string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := min(max(0, sharedBlocks), len(chain)-1)
	for i, distance := len(chain)-1, 1; i >= 0 && i > first; i, distance = len(chain)-1-distance, distance*2 {
		h.put(chain[i], endpoint, now)
	}
	if first >= 0 {
		h.put(chain[first], endpoint, now)
	}
}

// Longest returns the match for the longest known prefix of chain.
func (h *Hints) Longest(chain []prefix.ID) Match {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(chain) - 1; i >= 0; i-- {
		if s, ok := h.byID[chain[i]]; ok {
			h.unlink(s)
			h.pushFront(s)
			return Match{Endpoint: h.slots[s].endpoint, Blocks: i + 1, At: h.slots[s].ranAt}
		}
	}
	return Match{}
}

// Forget drops the hints that name the endpoint for a block of chain after the given number of leading blocks. It is meant for an
// endpoint that turned out to have only these leading blocks cached.
func (h *Hints) Forget(chain []prefix.ID, endpoint string, blocks int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range chain[min(max(0, blocks), len(chain)):] {
		if s, ok := h.byID[id]; ok && h.slots[s].endpoint == endpoint {
			h.remove(s)
		}
	}
}

func (h *Hints) put(id prefix.ID, endpoint string, now time.Time) {
	s, ok := h.byID[id]
	switch {
	case ok:
		h.unlink(s)
	case len(h.slots) <= h.limit:
		s = int32(len(h.slots))
		h.slots = append(h.slots, hint{})
	default:
		s = h.slots[0].prev
		h.unlink(s)
		delete(h.byID, h.slots[s].id)
	}
	h.slots[s] = hint{id: id, endpoint: endpoint, ranAt: now}
	h.byID[id] = s
	h.pushFront(s)
}

// remove deletes slot s and moves the last slot into its place, so that the slots stay dense.
func (h *Hints) remove(s int32) {
	h.unlink(s)
	delete(h.byID, h.slots[s].id)
	last := int32(len(h.slots) - 1)
	if s != last {
		moved := h.slots[last]
		h.slots[s] = moved
		h.slots[moved.prev].next = s
		h.slots[moved.next].prev = s
		h.byID[moved.id] = s
	}
	h.slots = h.slots[:last]
}

// unlink removes slot s from the LRU list.
func (h *Hints) unlink(s int32) {
	prev, next := h.slots[s].prev, h.slots[s].next
	h.slots[prev].next, h.slots[next].prev = next, prev
}

// pushFront inserts slot s at the front of the LRU list, as the most recently used hint.
func (h *Hints) pushFront(s int32) {
	next := h.slots[0].next
	h.slots[s].prev, h.slots[s].next = 0, next
	h.slots[next].prev, h.slots[0].next = s, s
}
