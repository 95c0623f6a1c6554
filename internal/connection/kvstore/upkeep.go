package kvstore

import (
	"context"
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/bootclock"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/tiering"
)

const (
	// maxFreed bounds the parts of one call.
	maxFreed = 500
	// freeTime is how long a call to free may be on its way.
	freeTime = time.Second
	// stuckTime is how long a save must have made no progress to count as broken off.
	stuckTime = 6 * time.Second
)

// progress is how far a save had come when it was last seen to move.
type progress struct {
	done  int
	since time.Time
}

// freeing is a call to free parts of one store.
type freeing struct {
	contents *contents
	epoch    uint64
	parts    []Key
	reason   string
}

// upkeep frees what is of no use in the stores for which this gateway is the first.
func (c *Catalog) upkeep(ctx context.Context) {
	for _, f := range c.toFree(c.View.Current(), time.Now()) {
		clock, ok := c.Clock()
		if !ok {
			continue
		}
		call, cancel := context.WithTimeout(ctx, callTime)
		err := c.Stores.Free(call, f.contents.store.Address, f.parts, f.epoch, clock+freeTime)
		cancel()
		outcome := "freed"
		if err != nil {
			outcome = err.Error()
		}
		event.Info(c.Log, event.CacheFreed, "store", f.contents.store.Name, "epoch", f.epoch, "parts", len(f.parts),
			"reason", f.reason, "outcome", outcome)
		if err == nil {
			c.freed(f)
		}
	}
}

func (c *Catalog) freed(f freeing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range f.parts {
		f.contents.used -= f.contents.held[key]
		delete(f.contents.held, key)
		delete(f.contents.stuck, key)
	}
}

// toFree lists what is to be freed.
func (c *Catalog) toFree(view *site.Snapshot, now time.Time) (list []freeing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, n := range c.stores {
		if !n.known || !c.View.First(name) {
			continue
		}
		f := freeing{contents: n, epoch: n.epoch, reason: "weight version is not served"}
		for key := range n.held {
			if len(f.parts) < maxFreed && retired(view, key) {
				f.parts = append(f.parts, key)
			}
		}
		if len(f.parts) > 0 {
			list = append(list, f)
			continue
		}
		stuck := freeing{contents: n, epoch: n.epoch, reason: "save broke off"}
		for key, p := range n.stuck {
			if now.Sub(p.since) > stuckTime && n.confirmed {
				stuck.parts = append(stuck.parts, key)
			}
		}
		if len(stuck.parts) > 0 {
			list = append(list, stuck)
		}
	}
	return list
}

// retired reports whether a part may be freed since no gateway may use it.
func retired(view *site.Snapshot, key Key) bool {
	scope, ok := tiering.ParseScope(key.Scope)
	if !ok {
		return false
	}
	named, known := view.Versions[scope.Model]
	return known && tiering.Retired(scope.Version, named, bootclock.Now()-view.NamedAt[scope.Model])
}

// observeUnfinished records how far unfinished saves have come. The caller holds mu.
func (n *contents) observeUnfinished(list []Unfinished, now time.Time) {
	before := n.stuck
	n.stuck, n.confirmed = map[Key]progress{}, true
	for _, u := range list {
		p, ok := before[u.Key]
		if !ok || p.done != u.Done {
			p = progress{done: u.Done, since: now}
		}
		n.stuck[u.Key] = p
	}
}

// wantsListing reports whether saves may have broken off that only a listing shows. The caller holds mu.
func (n *contents) wantsListing(now time.Time) bool {
	if n.missing >= missingLimit {
		return true
	}
	if now.Sub(n.listedAt) < stuckTime+time.Second {
		return false
	}
	return n.missing > 0 || len(n.stuck) > 0
}
