package enginecache

import (
	"slices"

	"primrosecourse/internal/connection/kvstore"
	"primrosecourse/pkg/placement"
)

// memory is what an engine keeps of long parts, the latest change last. Events that were never told would let it grow; what does
// not fit into the engine's memory is forgotten, the oldest first.
type memory struct {
	tokens int
	used   int
	list   []placement.Part
}

func newMemory(tokens int) *memory { return &memory{tokens: tokens} }

func (m *memory) apply(changes []kvstore.Change) {
	for _, c := range changes {
		key := placement.PartKey(c.Scope, c.ID)
		if i := slices.IndexFunc(m.list, func(p placement.Part) bool { return p.Key == key }); i >= 0 {
			m.used -= m.list[i].Tokens
			m.list = slices.Delete(m.list, i, i+1)
		}
		if !c.Gone && c.Tokens >= placement.LongPart {
			m.list = append(m.list, placement.Part{Key: key, Tokens: c.Tokens})
			m.used += c.Tokens
		}
		for m.used > m.tokens {
			m.used -= m.list[0].Tokens
			m.list = slices.Delete(m.list, 0, 1)
		}
	}
}

func (m *memory) parts() []placement.Part { return slices.Clone(m.list) }
