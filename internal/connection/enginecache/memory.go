package enginecache

import (
	"slices"

	"primrosecourse/internal/connection/kvstore"
	"primrosecourse/pkg/placement"
)

// memory is what an engine keeps of long parts, by its events.
type memory struct {
	// epoch is the engine's life, next the number of its next event.
	epoch, next uint64
	// list holds the parts, the latest change last; used is the sum of their tokens. Events that were never told would let it grow: what
	// does not fit into the engine's memory of limit tokens is forgotten, the oldest first.
	list  []placement.Part
	used  int
	limit int
}

func newMemory(limit int) *memory { return &memory{limit: limit} }

// take applies an answer and reports whether what was known before it counts no more: since events were lost, or since the engine
// started again.
func (m *memory) take(c kvstore.Changes) (fresh bool) {
	restarted := m.epoch != 0 && c.Epoch != m.epoch
	fresh = c.Epoch != m.epoch || c.Lost
	if fresh {
		m.list, m.used = nil, 0
	}
	m.epoch, m.next = c.Epoch, c.Next
	if restarted {
		// It answered a question about its last life.
		m.next = 0
		return fresh
	}
	for _, change := range c.Changes {
		m.apply(change)
	}
	return fresh
}

func (m *memory) apply(c kvstore.Change) {
	key := placement.PartKey(c.Scope, c.ID)
	if i := slices.IndexFunc(m.list, func(p placement.Part) bool { return p.Key == key }); i >= 0 {
		m.used -= m.list[i].Tokens
		m.list = slices.Delete(m.list, i, i+1)
	}
	if !c.Gone && c.Tokens >= placement.LongPart {
		m.list = append(m.list, placement.Part{Key: key, Tokens: c.Tokens})
		m.used += c.Tokens
	}
	for m.used > m.limit {
		m.used -= m.list[0].Tokens
		m.list = slices.Delete(m.list, 0, 1)
	}
}

func (m *memory) parts() []placement.Part { return slices.Clone(m.list) }
