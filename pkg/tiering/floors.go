package tiering

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Floors are the floors of this gateway and of its peers. The floor of a gateway for a model is the lowest weight version of
// which the gateway still uses parts; a gateway's own floor only rises. Gateways send each other their floors, so that parts
// below all floors can be freed long before Retired would allow it.
//
// Times are durations since the start of the machine. Floors is safe for concurrent use.
type Floors struct {
	mu    sync.Mutex
	own   map[string]floorHistory
	peers map[string]*peerFloors
}

// floor is a weight version and the time since which the floor of a gateway is at least that version.
type floor struct {
	version uint64
	since   time.Duration
}

// floorHistory lists the last floors of one model in ascending order.
type floorHistory []floor

// maxFloorHistory is the maximum length of a floorHistory. Parts of a version below the oldest floor in it may be freed
// later than necessary.
const maxFloorHistory = 8

// version returns the current floor, or 0 if there is none.
func (h floorHistory) version() uint64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].version
}

// add returns the history with version appended as the new floor. version must be above the current floor.
func (h floorHistory) add(version uint64, now time.Duration) floorHistory {
	h = append(h, floor{version: version, since: now})
	return h[max(0, len(h)-maxFloorHistory):]
}

// drained reports whether a version has been below the floor for so long that all fetches started before have ended.
func (h floorHistory) drained(version uint64, now time.Duration) bool {
	for _, f := range h {
		if f.version > version {
			return now-f.since >= TransferTimeout+retireMargin
		}
	}
	return false
}

// peerFloors are the floors that one incarnation of another gateway sent.
type peerFloors struct {
	incarnation uint64
	floors      map[string]floorHistory
	// former are the last incarnations before this one, whose reports may still be on their way through other gateways.
	former []uint64
}

// maxFormerIncarnations limits peerFloors.former. A gateway does not start that often within the time for which messages are passed on.
const maxFormerIncarnations = 8

// Raise raises this gateway's own floor of a model to version. It reports whether the floor was below version.
func (f *Floors) Raise(model string, version uint64, now time.Duration) (raised bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.raiseLocked(model, version, now)
}

// raiseLocked is Raise for callers that hold f.mu.
func (f *Floors) raiseLocked(model string, version uint64, now time.Duration) (raised bool) {
	if f.own == nil {
		f.own = map[string]floorHistory{}
	}
	if f.own[model].version() >= version {
		return false
	}
	f.own[model] = f.own[model].add(version, now)
	return true
}

// Adopt raises this gateway's own floors to the highest floors of its peers and reports whether any was raised. Without it,
// a gateway that does not learn of new versions itself, and therefore uses no parts, would prevent all gateways from freeing
// parts.
func (f *Floors) Adopt(now time.Duration) (raised bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		for model, history := range p.floors {
			raised = f.raiseLocked(model, history.version(), now) || raised
		}
	}
	return raised
}

// Own returns this gateway's own floors by model, to be sent to the other gateways.
func (f *Floors) Own() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := make(map[string]uint64, len(f.own))
	for model, history := range f.own {
		own[model] = history.version()
	}
	return own
}

// Uses reports whether this gateway may use parts of a version, that is whether the version is not below its own floor.
func (f *Floors) Uses(model string, version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return version >= f.own[model].version()
}

// SetPeer records the floors that another gateway sent. If its incarnation has changed, the floors recorded before are discarded. Those
// of a former incarnation, which may have been passed on late, are ignored: they may be higher than what the new one still uses.
func (f *Floors) SetPeer(peer string, incarnation uint64, floors map[string]uint64, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peers == nil {
		f.peers = map[string]*peerFloors{}
	}
	p := f.peers[peer]
	if p != nil && slices.Contains(p.former, incarnation) {
		return
	}
	if p == nil || p.incarnation != incarnation {
		next := &peerFloors{incarnation: incarnation, floors: map[string]floorHistory{}}
		if p != nil {
			next.former = append(p.former, p.incarnation)
			next.former = next.former[max(0, len(next.former)-maxFormerIncarnations):]
		}
		p = next
		f.peers[peer] = p
	}
	for model, version := range floors {
		if p.floors[model].version() < version {
			p.floors[model] = p.floors[model].add(version, now)
		}
	}
}

// Peer returns the incarnation and the floors by model that were last recorded for another gateway, 0 and nil if there are none.
func (f *Floors) Peer(peer string) (incarnation uint64, floors map[string]uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[peer]
	if p == nil {
		return 0, nil
	}
	floors = make(map[string]uint64, len(p.floors))
	for model, history := range p.floors {
		floors[model] = history.version()
	}
	return p.incarnation, floors
}

// RetainPeers discards the floors of the peers for which keep returns false.
func (f *Floors) RetainPeers(keep func(peer string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.peers, func(peer string, _ *peerFloors) bool { return !keep(peer) })
}

// Unused reports whether neither this gateway nor any of the others still uses parts of a version, and whether all fetches
// that they started before have ended.
func (f *Floors) Unused(model string, version uint64, others []string, now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.own[model].drained(version, now) {
		return false
	}
	for _, other := range others {
		p := f.peers[other]
		if p == nil || !p.floors[model].drained(version, now) {
			return false
		}
	}
	return true
}
