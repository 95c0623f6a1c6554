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
	// maxFreeParts limits the parts that one call frees.
	maxFreeParts = 500
	// maxLoggedParts limits the parts that are logged of one call.
	maxLoggedParts = 32
	// freeTimeout is the time within which the store must receive a call that frees parts; the store refuses it after that.
	freeTimeout = time.Second
	// stalledFreeTimeout is the time after the listing within which the store must receive a call that frees stalled saves. It is shorter than
	// settleTime: if the part was saved again since the listing, no gateway has engines fetch it yet.
	stalledFreeTimeout = 50 * time.Millisecond
	// gatewaysListInterval is the time after which the gateways are listed again while parts can't be freed by the last list.
	gatewaysListInterval = 4 * time.Second
	// stallTimeout is the time without progress after which a save counts as stalled.
	stallTimeout = 6 * time.Second
)

// saveProgress is the progress of an unfinished save. The save is stalled if, at the last listing, done had been the same for more than
// stallTimeout.
type saveProgress struct {
	done int // number of tokens that have arrived
	// since is the time of the first listing that showed done.
	since   time.Time
	stalled bool
}

// freeRequest is a call that frees parts of one store.
type freeRequest struct {
	state  *storeState
	epoch  uint64
	parts  []Key
	reason string
	// until is the time by the servers' clock after which the store refuses the call, 0 for freeTimeout after it.
	until time.Duration
}

// freeRetired frees the parts of retired weight versions in the stores whose leader this gateway is. It also discards the version
// floors of gateways that are not in the list of other gateways, if that list is known.
func (c *Catalog) freeRetired(ctx context.Context) {
	if others, known := c.View.OtherGateways(); known {
		c.Floors.RetainPeers(func(peer string) bool { return slices.Contains(others, peer) })
	}
	snapshot, now := c.View.Current(), bootclock.Now()
	others, listedAt, known := c.View.GatewaysAt()
	wanted := false
	unused := func(model string, version uint64) bool {
		replacedFor := snapshot.Namings[model].MinReplacedFor(version, now)
		if !tiering.MayList(replacedFor) || c.Floors.Uses(model, version) {
			return false
		}
		if known && tiering.MayFree(replacedFor, now-listedAt) && c.Floors.Unused(model, version, others, now) {
			return true
		}
		wanted = true
		return false
	}
	for _, f := range c.retiredParts(snapshot, unused) {
		c.free(ctx, f)
	}
	if wanted && (!known || now-listedAt >= gatewaysListInterval) {
		c.View.ListGateways()
	}
}

// freeStalledSaves frees the saves that the listing just made shows to have stalled, at most maxFreeParts, if this gateway is the leader of
// the store and reads the store's events itself.
func (c *Catalog) freeStalledSaves(ctx context.Context, state *storeState) {
	if !c.View.IsLeader(c.storeOf(state).Name) {
		return
	}
	f := freeRequest{state: state, reason: "save stalled"}
	c.mu.Lock()
	// The listing was the last to confirm the epoch.
	f.epoch, f.until = state.epoch, state.lease.confirmedAt+stalledFreeTimeout
	if !state.direct || state.lease.confirmedAt == 0 {
		c.mu.Unlock()
		return
	}
	for key, p := range state.unfinished {
		if p.stalled && len(f.parts) < maxFreeParts {
			f.parts = append(f.parts, key)
		}
	}
	c.mu.Unlock()
	if len(f.parts) > 0 {
		c.free(ctx, f)
	}
}

func (c *Catalog) free(ctx context.Context, f freeRequest) {
	clock, ok := c.Clock()
	if !ok {
		return
	}
	if f.until == 0 {
		f.until = clock + freeTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	store := c.storeOf(f.state)
	err := c.Stores.Free(callCtx, store.Address, f.parts, f.epoch, f.until)
	outcome := "freed"
	if err != nil {
		outcome = err.Error()
	}
	versions, replacedFor := c.freedVersions(f.parts)
	event.Info(c.Log, event.CacheFreed, "store", store.Name, "epoch", f.epoch, "parts", len(f.parts),
		"reason", f.reason, "outcome", outcome, "versions", versions, "replacedMs", replacedFor.Milliseconds(),
		"clockMs", clock.Milliseconds(), "untilMs", f.until.Milliseconds(), "first", f.firstIDs())
	if err == nil {
		c.removeFreed(f)
	}
}

// freedVersions returns the weight versions of parts in ascending order, and a lower limit of the time for which the lowest one has been replaced.
func (c *Catalog) freedVersions(parts []Key) (versions []uint64, replacedFor time.Duration) {
	lowest := tiering.Scope{}
	for _, key := range parts {
		scope, ok := tiering.ParseScope(key.Scope)
		if !ok {
			continue
		}
		if len(versions) == 0 || scope.Version < lowest.Version {
			lowest = scope
		}
		if i, found := slices.BinarySearch(versions, scope.Version); !found {
			versions = slices.Insert(versions, i, scope.Version)
		}
	}
	return versions, c.View.Current().Namings[lowest.Model].MinReplacedFor(lowest.Version, bootclock.Now())
}

// firstIDs returns the IDs of the first parts, at most maxLoggedParts.
func (f *freeRequest) firstIDs() (ids []string) {
	for _, key := range f.parts[:min(len(f.parts), maxLoggedParts)] {
		ids = append(ids, key.ID)
	}
	return ids
}

func (c *Catalog) removeFreed(f freeRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range f.parts {
		c.removePart(f.state, key)
		delete(f.state.unfinished, key)
	}
}

// retiredParts returns requests to free the parts of weight versions that no gateway uses any more, at most maxFreeParts of a store, in
// the stores whose leader this gateway is and whose events it reads itself. unused reports whether the version floors of all gateways
// exclude a version.
func (c *Catalog) retiredParts(snapshot *site.Snapshot, unused func(model string, version uint64) bool) (list []freeRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, state := range c.stores {
		if !state.known || !state.direct || !c.View.IsLeader(name) {
			continue
		}
		f := freeRequest{state: state, epoch: state.epoch, reason: "weight version is retired"}
		for key := range state.held {
			if len(f.parts) < maxFreeParts && c.retired(snapshot, key, unused) {
				f.parts = append(f.parts, key)
			}
		}
		if len(f.parts) > 0 {
			list = append(list, f)
		}
	}
	return list
}

// retired reports whether a part may be freed because no gateway uses it any more, either by the gateways' version floors or by the time
// since this gateway first saw a later version than the part's named.
func (c *Catalog) retired(snapshot *site.Snapshot, key Key, unused func(model string, version uint64) bool) bool {
	scope, ok := tiering.ParseScope(key.Scope)
	if !ok {
		return false
	}
	named, known := snapshot.Versions[scope.Model]
	replacedFor := snapshot.Namings[scope.Model].MinReplacedFor(scope.Version, bootclock.Now())
	return known && (c.Lifetimes.Retired(scope.Version, named, key.ID, replacedFor) ||
		unused(scope.Model, scope.Version))
}

// updateProgress records the progress of unfinished saves from a listing. The caller must hold the catalog's mu.
func (s *storeState) updateProgress(list []Unfinished, now time.Time) {
	previous := s.unfinished
	s.unfinished = map[Key]saveProgress{}
	for _, u := range list {
		p, ok := previous[u.Key]
		if !ok || p.done != u.Done {
			p = saveProgress{done: u.Done, since: now}
		}
		p.stalled = now.Sub(p.since) > stallTimeout
		s.unfinished[u.Key] = p
	}
}

// needsListing reports whether the store must be listed again because the record may deviate from its contents or saves may have stalled,
// which only a listing shows. The caller must hold the catalog's mu.
func (s *storeState) needsListing(now time.Time) bool {
	if s.discrepancies >= maxDiscrepancies && now.Sub(s.listedAt) > time.Second {
		return true
	}
	if now.Sub(s.listedAt) < stallTimeout+time.Second {
		return false
	}
	return s.discrepancies > 0 || len(s.unfinished) > 0
}
