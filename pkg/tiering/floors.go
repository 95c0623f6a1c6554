package tiering

import (
	"maps"
	"sync"
	"time"
)

// Floors are the weight versions by model below which gateways use no parts any more. A gateway's own floor only rises. It tells
// the others, so that parts below all floors are freed long before the time after which that would be safe without their word.
//
// Times are counted from the start of the machine. Floors is safe for concurrent use.
type Floors struct {
	mu    sync.Mutex
	own   map[string]floor
	peers map[string]*peerFloors
}

// floor is a version and since when it is the floor at least.
type floor struct {
	version uint64
	since   time.Duration
}

// peerFloors is the word of one incarnation of another gateway.
type peerFloors struct {
	incarnation uint64
	floors      map[string]floor
}

// Raise makes version the own floor of a model, unless that is higher.
func (f *Floors) Raise(model string, version uint64, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.own == nil {
		f.own = map[string]floor{}
	}
	if f.own[model].version < version {
		f.own[model] = floor{version: version, since: now}
	}
}

// Own returns the own floors, which are what other gateways are told.
func (f *Floors) Own() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := make(map[string]uint64, len(f.own))
	for model, o := range f.own {
		own[model] = o.version
	}
	return own
}

// Uses reports whether this gateway may use parts of a version.
func (f *Floors) Uses(model string, version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return version >= f.own[model].version
}

// Heard takes the word of another gateway. A gateway that started again has no floors but those that it tells now.
func (f *Floors) Heard(peer string, incarnation uint64, floors map[string]uint64, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peers == nil {
		f.peers = map[string]*peerFloors{}
	}
	p := f.peers[peer]
	if p == nil || p.incarnation != incarnation {
		p = &peerFloors{incarnation: incarnation, floors: map[string]floor{}}
		f.peers[peer] = p
	}
	for model, version := range floors {
		if p.floors[model].version < version {
			p.floors[model] = floor{version: version, since: now}
		}
	}
}

// Keep drops the word of gateways for which keep returns false.
func (f *Floors) Keep(keep func(peer string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.peers, func(peer string, _ *peerFloors) bool { return !keep(peer) })
}

// Unused reports whether neither this gateway nor any of the others uses parts of a version any more, and none of the fetches
// that they began before may go on.
func (f *Floors) Unused(model string, version uint64, others []string, now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	settled := func(o floor) bool { return o.version > version && now-o.since >= TransferTime+retireMargin }
	if !settled(f.own[model]) {
		return false
	}
	for _, other := range others {
		p := f.peers[other]
		if p == nil || !settled(p.floors[model]) {
			return false
		}
	}
	return true
}
