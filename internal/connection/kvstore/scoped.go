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

// Holds implements tiering.Catalog. A part does not count as held while an engine may still begin a save of it, since the store may have
// restarted a moment ago, nor when it has just appeared.
func (s *Scoped) Holds(store string, p tiering.Part) bool {
	s.catalog.mu.Lock()
	defer s.catalog.mu.Unlock()
	state := s.catalog.stores[store]
	return state != nil && s.catalog.mayFetch(state) && state.held[s.key(p)] >= p.Tokens && p.Tokens > 0 &&
		state.appeared.settled(s.key(p), s.catalog.now()) && !s.catalog.Saves.Pending(time.Now(), s.saveKey(store, p))
}

func (s *Scoped) saveKey(store string, p tiering.Part) uint64 {
	return tiering.SaveKey(store, s.scope, p.ID)
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

// Saving implements tiering.Catalog. A part that has just appeared counts as being saved.
func (s *Scoped) Saving(store string, p tiering.Part) bool {
	s.catalog.mu.Lock()
	defer s.catalog.mu.Unlock()
	state := s.catalog.stores[store]
	if state == nil {
		return false
	}
	_, saving := state.saving[s.key(p)]
	_, held := state.held[s.key(p)]
	return saving || held && !state.appeared.settled(s.key(p), s.catalog.now()) || s.catalog.Saves.Active(time.Now(), s.saveKey(store, p))
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

// RequestSave records that an engine is instructed to save a part and does not begin to after until. It returns nil if the save must not be
// requested. The room for the part counts as taken until the store reports it or tiering.SaveTimeout has passed. The part counts as held only
// once the store has reported it.
func (s *Scoped) RequestSave(store string, p tiering.Part, now, until time.Time) *tiering.Save {
	s.catalog.mu.Lock()
	defer s.catalog.mu.Unlock()
	state := s.catalog.stores[store]
	if state == nil {
		return nil
	}
	save := s.catalog.Saves.Request(now, s.saveKey(store, p), until)
	if save != nil {
		state.saving[s.key(p)] = pendingSave{tokens: p.Tokens, startedAt: now}
	}
	return save
}

// SaveBegun records that the engine has begun a save.
func (s *Scoped) SaveBegun(save *tiering.Save, now time.Time) { s.catalog.Saves.Begun(now, save) }

// CancelSave records that the engine will not begin a save.
func (s *Scoped) CancelSave(save *tiering.Save) { s.catalog.Saves.Cancel(save) }
