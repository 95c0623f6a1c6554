package kvstore

import (
	"context"
	"slices"
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
	// stuckFreeTime is the same for a save that broke off. It is shorter than the time until an event is told, so that nobody
	// knows of a part that was saved again meanwhile.
	stuckFreeTime = 50 * time.Millisecond
	// stuckTime is how long a save must have made no progress to count as broken off.
	stuckTime = 6 * time.Second
)

// progress is how far a save had come when it was last seen to move. It broke off if a later listing, after stuckTime, shows
// it where it was.
type progress struct {
	done   int
	since  time.Time
	broken bool
}

// freeing is a call to free parts of one store.
type freeing struct {
	contents *contents
	epoch    uint64
	parts    []Key
	reason   string
	within   time.Duration
}

// upkeep frees what is of no use in the stores for which this gateway is the first.
func (c *Catalog) upkeep(ctx context.Context) {
	others, known := c.View.Others()
	if known {
		c.Floors.Keep(func(peer string) bool { return slices.Contains(others, peer) })
	}
	unused := func(model string, version uint64) bool {
		return known && c.Floors.Unused(model, version, others, bootclock.Now())
	}
	for _, f := range c.retiredParts(c.View.Current(), unused) {
		c.free(ctx, f)
	}
}

// freeStuck frees the saves that the listing just read shows to have broken off.
func (c *Catalog) freeStuck(ctx context.Context, n *contents) {
	if !c.View.First(n.store.Name) {
		return
	}
	f := freeing{contents: n, reason: "save broke off", within: stuckFreeTime}
	c.mu.Lock()
	f.epoch = n.epoch
	if !n.direct {
		c.mu.Unlock()
		return
	}
	for key, p := range n.stuck {
		if p.broken && len(f.parts) < maxFreed {
			f.parts = append(f.parts, key)
		}
	}
	c.mu.Unlock()
	if len(f.parts) > 0 {
		c.free(ctx, f)
	}
}

func (c *Catalog) free(ctx context.Context, f freeing) {
	clock, ok := c.Clock()
	if !ok {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	err := c.Stores.Free(call, f.contents.store.Address, f.parts, f.epoch, clock+f.within)
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

func (c *Catalog) freed(f freeing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range f.parts {
		c.forget(f.contents, key)
		delete(f.contents.stuck, key)
	}
}

// retiredParts lists the parts of weight versions that no gateway may use any more.
func (c *Catalog) retiredParts(view *site.Snapshot, unused func(model string, version uint64) bool) (list []freeing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, n := range c.stores {
		if !n.known || !n.direct || !c.View.First(name) {
			continue
		}
		f := freeing{contents: n, epoch: n.epoch, reason: "weight version is not served", within: freeTime}
		for key := range n.held {
			if len(f.parts) < maxFreed && retired(view, key, unused) {
				f.parts = append(f.parts, key)
			}
		}
		if len(f.parts) > 0 {
			list = append(list, f)
		}
	}
	return list
}

// retired reports whether a part may be freed since no gateway may use it, by their word or by the time since it was replaced.
func retired(view *site.Snapshot, key Key, unused func(model string, version uint64) bool) bool {
	scope, ok := tiering.ParseScope(key.Scope)
	if !ok {
		return false
	}
	named, known := view.Versions[scope.Model]
	return known && (tiering.Retired(scope.Version, named, bootclock.Now()-view.NamedAt[scope.Model]) ||
		unused(scope.Model, scope.Version))
}

// observeUnfinished records how far unfinished saves have come. The caller holds mu.
func (n *contents) observeUnfinished(list []Unfinished, now time.Time) {
	before := n.stuck
	n.stuck = map[Key]progress{}
	for _, u := range list {
		p, ok := before[u.Key]
		if !ok || p.done != u.Done {
			p = progress{done: u.Done, since: now}
		}
		p.broken = now.Sub(p.since) > stuckTime
		n.stuck[u.Key] = p
	}
}

// wantsListing reports whether saves may have broken off that only a listing shows. The caller holds mu.
func (n *contents) wantsListing(now time.Time) bool {
	if n.missing >= missingLimit && now.Sub(n.listedAt) > time.Second {
		return true
	}
	if now.Sub(n.listedAt) < stuckTime+time.Second {
		return false
	}
	return n.missing > 0 || len(n.stuck) > 0
}
