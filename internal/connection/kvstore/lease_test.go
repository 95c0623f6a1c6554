package kvstore_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/internal/connection/kvstore"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/tiering"
)

// silentPath is a path to a store on which nothing comes back while it is cut.
type silentPath struct {
	*store
	cut atomic.Bool
}

// delivered waits until ctx is done if the path is cut. It returns the error of ctx.
func (p *silentPath) delivered(ctx context.Context) error {
	if p.cut.Load() {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (p *silentPath) List(ctx context.Context, address string) (kvstore.Listing, error) {
	listing, err := p.store.List(ctx, address)
	return listing, errors.CombineErrors(p.delivered(ctx), err)
}

func (p *silentPath) Watch(ctx context.Context, address string, since uint64, wait time.Duration) (kvstore.Changes, error) {
	changes, err := p.store.Watch(ctx, address, since, wait)
	return changes, errors.CombineErrors(p.delivered(ctx), err)
}

// runAnother runs a second catalog until end is called.
func runAnother(v kvstore.View, stores kvstore.Stores) (c *kvstore.Catalog, end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	started := time.Now()
	c = &kvstore.Catalog{View: v, Stores: stores, Log: logr.Discard(), Floors: &tiering.Floors{}, Now: func() time.Duration { return time.Since(started) }}
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	return c, func() {
		cancel()
		<-ended
	}
}

// TestNoSaveWhileFetchesOfEarlierEpochMayRun guards against a fetch of a part that is being saved again after a restart of its store, by a
// gateway that the news of the restart has not reached.
func TestNoSaveWhileFetchesOfEarlierEpochMayRun(t *testing.T) {
	for _, statesTime := range []bool{true, false} {
		s := &store{epoch: 1, held: []kvstore.Held{held("a", 100)}, withoutClock: !statesTime}
		path := &silentPath{store: s}
		runCatalog(t, s, &view{}, func(informed *kvstore.Catalog) {
			is := is.New(t)
			uninformed, end := runAnother(informed.View, path)
			defer end()
			time.Sleep(holdTime)
			is.True(uninformed.Scope(scopeV1).Holds("K", part("a", 100)))
			path.cut.Store(true)
			s.set(func() { s.epoch, s.held = 2, nil })
			var lastFetch, firstSave time.Duration
			for range 600 {
				time.Sleep(10 * time.Millisecond)
				if scope := uninformed.Scope(scopeV1); scope.Holds("K", part("a", 100)) {
					lastFetch = max(lastFetch, scope.FetchBy("K"))
				}
				if scope := informed.Scope(scopeV1); firstSave == 0 && !scope.Holds("K", part("a", 100)) && scope.Room("K") > 0 {
					firstSave = serverTime()
				}
			}
			is.True(lastFetch > 0)
			is.True(firstSave > lastFetch) // requests a save although a fetch under the earlier epoch may not have ended
			is.True(!uninformed.Scope(scopeV1).Holds("K", part("a", 100)))
		})
	}
}

// TestRelayedContentsExpireWithTheStore guards against a gateway that has parts fetched long after a restart of their store, since it
// reads the contents from another gateway that has not heard from the store for a while.
func TestRelayedContentsExpireWithTheStore(t *testing.T) {
	is := is.New(t)
	s := &store{epoch: 1, held: []kvstore.Held{held("a", 100)}}
	path := &silentPath{store: s}
	service := site.Service{Name: "K", Store: &site.CacheStore{Address: "a", Tokens: 1000}}
	snapshot := &site.Snapshot{Configuration: site.NewConfiguration(1, nil, []site.Service{service}, nil, site.Limits{})}
	leader := &kvstore.Catalog{View: &view{snapshot: snapshot}, Stores: path, Log: logr.Discard(), Floors: &tiering.Floors{}}
	follower := newFollower(t, leader, snapshot)
	runUntilEnd(t, leader)
	for deadline := time.Now().Add(10 * time.Second); !leader.Scope(scopeV1).Holds("K", part("a", 100)); time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline)) // the leader did not receive the listing
	}
	path.cut.Store(true)
	cutAt := serverTime()
	time.Sleep(time.Second)
	runUntilEnd(t, follower)
	var lastFetch time.Duration
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if scope := follower.Scope(scopeV1); scope.Holds("K", part("a", 100)) {
			lastFetch = max(lastFetch, scope.FetchBy("K"))
		}
	}
	is.True(lastFetch > 0)
	is.True(lastFetch < cutAt+holdTime)
}

// TestListingWithoutRestartAllowsSaves guards against a pause of all saves after each listing that follows lost events, on gateways that
// hear of the store from another one.
func TestListingWithoutRestartAllowsSaves(t *testing.T) {
	s := &store{epoch: 1, held: []kvstore.Held{held("a", 100)}}
	service := site.Service{Name: "K", Store: &site.CacheStore{Address: "a", Tokens: 1000}}
	snapshot := &site.Snapshot{Configuration: site.NewConfiguration(1, nil, []site.Service{service}, nil, site.Limits{})}
	leader := &kvstore.Catalog{View: &view{snapshot: snapshot}, Stores: s, Log: logr.Discard(), Floors: &tiering.Floors{}}
	follower := newFollower(t, leader, snapshot)
	runUntilEnd(t, leader)
	runUntilEnd(t, follower)
	scope := follower.Scope(scopeV1)
	waitForRoom := func(room int, limit time.Duration) {
		t.Helper()
		for deadline := time.Now().Add(limit); scope.Room("K") != room; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("room %d after %v, want %d", scope.Room("K"), limit, room)
			}
		}
	}
	waitForRoom(900, 10*time.Second)
	s.set(func() { s.lost, s.held = true, nil })
	waitForRoom(1000, 2*time.Second)
}

// TestFetchesNeedServersClock guards against fetches without a time limit that the engine could enforce.
func TestFetchesNeedServersClock(t *testing.T) {
	s := &store{epoch: 1, held: []kvstore.Held{held("a", 100)}, neverStatesTime: true}
	runCatalog(t, s, &view{}, func(c *kvstore.Catalog) {
		is := is.New(t)
		synctest.Wait()
		is.True(!c.Scope(scopeV1).Holds("K", part("a", 100)))
		is.Equal(c.Scope(scopeV1).FetchBy("K"), time.Duration(0))
	})
}

// TestNoFetchWhileLateSaveMayBegin guards against a fetch of a part that a save, which was requested before a restart of its store, writes after it:
// by a gateway that the news of the restart has not reached, and that knows the part from another save.
func TestNoFetchWhileLateSaveMayBegin(t *testing.T) {
	s := &store{epoch: 1}
	path := &silentPath{store: s}
	runCatalog(t, s, &view{}, func(informed *kvstore.Catalog) {
		is := is.New(t)
		uninformed, end := runAnother(informed.View, path)
		defer end()
		time.Sleep(holdTime)
		now := time.Now()
		first := uninformed.Scope(scopeV1).RequestSave("K", part("a", 100), now, now.Add(8*time.Second))
		late := informed.Scope(scopeV1).RequestSave("K", part("a", 100), now, now.Add(8*time.Second)) // before the reports of the other one
		report := func() {
			now := time.Now()
			uninformed.Saves.SetPeer(now, "Informed", 1, informed.Saves.Reports(now, nil, 10))
			informed.Saves.SetPeer(now, "Uninformed", 1, uninformed.Saves.Reports(now, nil, 10))
		}
		report()
		uninformed.Scope(scopeV1).SaveBegun(first, time.Now())
		s.set(func() { s.down = true })
		time.Sleep(500 * time.Millisecond)
		s.set(func() { s.down, s.held = false, []kvstore.Held{held("a", 100)} }) // both list it again
		time.Sleep(1500 * time.Millisecond)
		path.cut.Store(true)
		s.set(func() { s.epoch, s.held = 2, nil })
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			is.True(!uninformed.Scope(scopeV1).Holds("K", part("a", 100))) // fetched while the late save may be in progress
		}
		informed.Scope(scopeV1).CancelSave(late) // its engine is gone
		report()
		is.True(uninformed.Scope(scopeV1).Holds("K", part("a", 100)))
	})
}
