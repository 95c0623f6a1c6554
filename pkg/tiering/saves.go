package tiering

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPendingSaves limits the pending saves of this gateway, so that their report fits into a message.
	maxPendingSaves = 48
	// maxSaveTime limits the time for which a save that is reported by another gateway counts.
	maxSaveTime = 2 * time.Minute
	// SaveTimeout is how long a save may take before its part counts as missing and may be saved again. Most parts appear within a few
	// hundred milliseconds.
	SaveTimeout = 1500 * time.Millisecond
)

// Saves records the saves that were requested of engines, those of this gateway and those that the others report. A save is pending until the
// engine begins it, which has no time limit: it begins once the engine has read the part, however long the request waits there, and even if the
// store has restarted meanwhile. It then writes the part into the empty store, while a gateway that has not learned of the restart may still
// take the part to be there from an earlier save. So a save of a part is requested only while no other one is pending or in progress, and a part
// is not fetched while a save of it is pending.
//
// A gateway that misses the reports of another one does not know of its pending saves.
//
// The zero value is ready for use. Saves is safe for concurrent use.
type Saves struct {
	mu    sync.Mutex
	own   map[*Save]bool
	peers map[savesPeer][]saveState
}

// Save is a save that this gateway requested.
type Save struct{ saveState }

// saveState is the state of a save, which counts until a time: until the engine does not begin it any more, or, if begun is set, until it is over.
type saveState struct {
	key   uint64
	begun bool
	until time.Time
}

// SaveReport describes a save. Left is how much longer the engine may begin it, or, if Begun is set, how much longer it may be in progress.
type SaveReport struct {
	Key   uint64
	Begun bool
	Left  time.Duration
}

// savesPeer is an incarnation of a gateway, or a group of gateways with incarnation 0. The saves of a former incarnation may still begin.
type savesPeer struct {
	name        string
	incarnation uint64
}

// SaveKey returns the key of a part of a scope in a store. Two parts with the same key would be taken for one.
func SaveKey(store, scope, id string) uint64 {
	return xxhash.Sum64String(strings.Join([]string{store, scope, id}, "\n"))
}

// Request records that a save is requested of an engine that does not begin it after until. It returns nil, and the save must not be requested,
// if another one of the part is pending or in progress, or if too many of this gateway are pending.
func (s *Saves) Request(now time.Time, key uint64, until time.Time) *Save {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.own, func(save *Save, _ bool) bool { return !now.Before(save.until) })
	if s.any(now, key, func(saveState) bool { return true }) || s.ownPending() >= maxPendingSaves {
		return nil
	}
	if s.own == nil {
		s.own = map[*Save]bool{}
	}
	save := &Save{saveState{key: key, until: until}}
	s.own[save] = true
	return save
}

// ownPending returns the number of pending saves of this gateway. The caller must hold s.mu.
func (s *Saves) ownPending() (n int) {
	for save := range s.own {
		if !save.begun {
			n++
		}
	}
	return n
}

// Begun records that the engine has begun a save.
func (s *Saves) Begun(now time.Time, save *Save) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.own[save] && !save.begun {
		save.begun, save.until = true, now.Add(SaveTimeout)
	}
}

// Cancel records that the engine will not begin a save.
func (s *Saves) Cancel(save *Save) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.own, save)
}

// Pending reports whether an engine may still begin a save of a part.
func (s *Saves) Pending(now time.Time, key uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.any(now, key, func(save saveState) bool { return !save.begun })
}

// Active reports whether a save of a part is pending or in progress.
func (s *Saves) Active(now time.Time, key uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.any(now, key, func(saveState) bool { return true })
}

// any reports whether there is a save of a part that counts and meets a condition. The caller must hold s.mu.
func (s *Saves) any(now time.Time, key uint64, condition func(saveState) bool) bool {
	matches := func(save saveState) bool { return save.key == key && now.Before(save.until) && condition(save) }
	for save := range s.own {
		if matches(save.saveState) {
			return true
		}
	}
	for _, saves := range s.peers {
		if slices.ContainsFunc(saves, matches) {
			return true
		}
	}
	return false
}

// SetPeer replaces the saves of an incarnation of another gateway, or of a group of gateways, which has incarnation 0.
func (s *Saves) SetPeer(now time.Time, peer string, incarnation uint64, reports []SaveReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.peers, func(p savesPeer, saves []saveState) bool {
		replaced := p == savesPeer{peer, incarnation}
		return replaced || !slices.ContainsFunc(saves, func(save saveState) bool { return now.Before(save.until) })
	})
	if len(reports) == 0 {
		return
	}
	saves := make([]saveState, len(reports))
	for i, r := range reports {
		saves[i] = saveState{key: r.Key, begun: r.Begun, until: now.Add(min(r.Left, maxSaveTime))}
	}
	if s.peers == nil {
		s.peers = map[savesPeer][]saveState{}
	}
	s.peers[savesPeer{peer, incarnation}] = saves
}

// Reports returns the saves of this gateway and of the named others that count, at most limit: those that are pending first, and of these those
// that may begin latest.
func (s *Saves) Reports(now time.Time, peers map[string]bool, limit int) (reports []SaveReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add := func(save saveState) {
		if left := save.until.Sub(now); left > 0 {
			reports = append(reports, SaveReport{Key: save.key, Begun: save.begun, Left: left})
		}
	}
	for save := range s.own {
		add(save.saveState)
	}
	for p, saves := range s.peers {
		if peers[p.name] {
			for _, save := range saves {
				add(save)
			}
		}
	}
	slices.SortFunc(reports, func(a, b SaveReport) int {
		if a.Begun != b.Begun {
			if b.Begun {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Left, a.Left), cmp.Compare(a.Key, b.Key))
	})
	return reports[:min(len(reports), limit)]
}
