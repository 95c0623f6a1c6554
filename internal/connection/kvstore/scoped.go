package kvstore

import (
	"time"

	"primrosecourse/pkg/tiering"
)

// Scope returns the catalog of one scope.
func (c *Catalog) Scope(scope string) *Scoped { return &Scoped{catalog: c, scope: scope} }

// Scoped is the catalog of the parts of one scope. It implements tiering.Catalog.
type Scoped struct {
	catalog *Catalog
	scope   string
}

func (s *Scoped) key(p tiering.Part) Key { return Key{Scope: s.scope, ID: p.ID} }

// Holds implements tiering.Catalog.
func (s *Scoped) Holds(store string, p tiering.Part) bool {
	s.catalog.mu.Lock()
	defer s.catalog.mu.Unlock()
	n := s.catalog.stores[store]
	return n != nil && n.known && n.held[s.key(p)] >= p.Tokens && p.Tokens > 0
}

// Saving implements tiering.Catalog.
func (s *Scoped) Saving(store string, p tiering.Part) bool {
	s.catalog.mu.Lock()
	defer s.catalog.mu.Unlock()
	n := s.catalog.stores[store]
	if n == nil {
		return false
	}
	_, saving := n.saving[s.key(p)]
	return saving
}

// Room implements tiering.Catalog. A store that does not answer has none.
func (s *Scoped) Room(store string) int {
	s.catalog.mu.Lock()
	defer s.catalog.mu.Unlock()
	n := s.catalog.stores[store]
	if n == nil || !n.known {
		return 0
	}
	room := n.store.Tokens - n.used
	for _, save := range n.saving {
		room -= save.tokens
	}
	return room
}

// Saved records that an engine was told to save a part.
func (s *Scoped) Saved(store string, p tiering.Part, now time.Time) {
	s.catalog.mu.Lock()
	defer s.catalog.mu.Unlock()
	if n := s.catalog.stores[store]; n != nil {
		n.saving[s.key(p)] = save{tokens: p.Tokens, at: now}
	}
}
