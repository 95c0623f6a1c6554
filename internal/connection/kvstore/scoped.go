package kvstore

import (
	"time"

	"primrosecourse/pkg/tiering"
)

// Scope returns a view of the catalog that is limited to the parts of one scope.
func (c *Catalog) Scope(scope string) *Scoped { return &Scoped{catalog: c, scope: scope} }

// Scoped is a view of a Catalog that is limited to the parts of one scope. It implements tiering.Catalog.
type Scoped struct {
	catalog *Catalog
	scope   string
}

func (s *Scoped) key(p tiering.Part) Key { return Key{Scope: s.scope, ID: p.ID} }

// Holds implements tiering.Catalog.
func (s *Scoped) Holds(store string, p tiering.Part) bool {
	s.catalog.mu.Lock()
	defer s.catalog.mu.Unlock()
	state := s.catalog.stores[store]
	return state != nil && s.catalog.mayFetch(state) && state.held[s.key(p)] >= p.Tokens && p.Tokens > 0
}

// mayFetch reports whether parts may be fetched from a store and there is time left for that. The caller must hold mu.
func (c *Catalog) mayFetch(state *storeState) bool {
	return state.known && c.clock.known && c.clock.serverTime(c.now())+minFetchTime <= state.lease.fetchBy()
}

// FetchBy returns the time by the servers' clock by which a fetch from a store must have ended, 0 if none may be requested.
func (s *Scoped) FetchBy(store string) time.Duration {
	s.catalog.mu.Lock()
	defer s.catalog.mu.Unlock()
	state := s.catalog.stores[store]
	if state == nil || !state.known {
		return 0
	}
	return state.lease.fetchBy()
}

// Saving implements tiering.Catalog.
func (s *Scoped) Saving(store string, p tiering.Part) bool {
	s.catalog.mu.Lock()
	defer s.catalog.mu.Unlock()
	state := s.catalog.stores[store]
	if state == nil {
		return false
	}
	_, saving := state.saving[s.key(p)]
	return saving
}

// Room implements tiering.Catalog. It is 0 for a store whose contents are not known or that may have restarted a moment ago.
func (s *Scoped) Room(store string) int {
	s.catalog.mu.Lock()
	defer s.catalog.mu.Unlock()
	state := s.catalog.stores[store]
	if state == nil || !s.catalog.mayFetch(state) || state.lease.savesIn(s.catalog.now()) > 0 {
		return 0
	}
	room := state.store.Tokens - state.used
	for _, save := range state.saving {
		room -= save.tokens
	}
	return room
}

// MarkSaving records that an engine was instructed to save a part. The room for the part counts as taken until the store reports it or
// saveTimeout has passed. The part counts as held only once the store has reported it.
func (s *Scoped) MarkSaving(store string, p tiering.Part, now time.Time) {
	s.catalog.mu.Lock()
	defer s.catalog.mu.Unlock()
	if state := s.catalog.stores[store]; state != nil {
		state.saving[s.key(p)] = pendingSave{tokens: p.Tokens, startedAt: now}
	}
}
