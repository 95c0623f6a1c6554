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
	own   map[string]raises
	peers map[string]*peerFloors
}

// floor is a version and since when it is the floor at least.
type floor struct {
	version uint64
	since   time.Duration
}

// raises are the last floors of one model, rising.
type raises []floor

// maxRaises bounds the floors that are remembered. Parts of a version below the oldest one are freed later than they might be.
const maxRaises = 8

func (r raises) version() uint64 {
	if len(r) == 0 {
		return 0
	}
	return r[len(r)-1].version
}

// add returns the floors with a higher one.
func (r raises) add(version uint64, now time.Duration) raises {
	r = append(r, floor{version: version, since: now})
	return r[max(0, len(r)-maxRaises):]
}

// settled reports whether a version has been below the floor for so long that fetches begun before are over.
func (r raises) settled(version uint64, now time.Duration) bool {
	for _, f := range r {
		if f.version > version {
			return now-f.since >= TransferTime+retireMargin
		}
	}
	return false
}

// peerFloors is the word of one incarnation of another gateway.
type peerFloors struct {
	incarnation uint64
	floors      map[string]raises
}

// Raise makes version the own floor of a model and reports whether it was lower.
func (f *Floors) Raise(model string, version uint64, now time.Duration) (raised bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.raise(model, version, now)
}

// raise is Raise for callers that hold mu.
func (f *Floors) raise(model string, version uint64, now time.Duration) (raised bool) {
	if f.own == nil {
		f.own = map[string]raises{}
	}
	if f.own[model].version() >= version {
		return false
	}
	f.own[model] = f.own[model].add(version, now)
	return true
}

// Adopt raises the own floors to the highest ones of the others and reports whether any was lower. A gateway that does not learn of new versions itself, and so uses no
// parts, holds up nobody by it.
func (f *Floors) Adopt(now time.Duration) (raised bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		for model, o := range p.floors {
			raised = f.raise(model, o.version(), now) || raised
		}
	}
	return raised
}

// Own returns the own floors, which are what other gateways are told.
func (f *Floors) Own() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := make(map[string]uint64, len(f.own))
	for model, o := range f.own {
		own[model] = o.version()
	}
	return own
}

// Uses reports whether this gateway may use parts of a version.
func (f *Floors) Uses(model string, version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return version >= f.own[model].version()
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
		p = &peerFloors{incarnation: incarnation, floors: map[string]raises{}}
		f.peers[peer] = p
	}
	for model, version := range floors {
		if p.floors[model].version() < version {
			p.floors[model] = p.floors[model].add(version, now)
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
	if !f.own[model].settled(version, now) {
		return false
	}
	for _, other := range others {
		p := f.peers[other]
		if p == nil || !p.floors[model].settled(version, now) {
			return false
		}
	}
	return true
}
