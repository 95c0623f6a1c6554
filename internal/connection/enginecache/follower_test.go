package enginecache_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/internal/connection/enginecache"
	"primrosecourse/internal/connection/kvstore"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
)

// engine is an enginecache.Events that simulates one engine.
type engine struct {
	mu        sync.Mutex
	epoch     uint64
	oldest    uint64 // number of the oldest event that is still available
	events    []kvstore.Change
	down      bool
	polls     int
	addresses map[string]bool // addresses that were polled, if not nil
}

func (e *engine) Watch(ctx context.Context, address string, since uint64, wait time.Duration) (kvstore.Changes, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait / 10):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.polls++
	if e.addresses != nil {
		e.addresses[address] = true
	}
	if e.down {
		return kvstore.Changes{}, errors.New("down")
	}
	next := e.oldest + uint64(len(e.events))
	c := kvstore.Changes{Epoch: e.epoch, Next: next, Lost: since < e.oldest}
	from := max(since, e.oldest)
	if from < next {
		c.Changes = append(c.Changes, e.events[from-e.oldest:]...)
	}
	return c, nil
}

// applyAndWait calls change while it holds e.mu and waits for 2 s, in which the follower polls the engine if it follows it.
func (e *engine) applyAndWait(change func()) {
	e.mu.Lock()
	change()
	e.mu.Unlock()
	time.Sleep(2 * time.Second)
}

func (e *engine) pollCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.polls
}

func stored(id string, tokens int) kvstore.Change {
	return kvstore.Change{Held: kvstore.Held{Key: kvstore.Key{Scope: "S", ID: id}, Tokens: tokens}}
}

func evicted(id string) kvstore.Change {
	c := stored(id, 0)
	c.Gone = true
	return c
}

// table is an enginecache.Table that records the last parts it received and when.
type table struct {
	mu        sync.Mutex
	parts     []placement.Part
	updatedAt time.Time
}

func (t *table) SetLocalCache(now time.Time, _ string, parts []placement.Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.parts, t.updatedAt = parts, now
}

func (t *table) lastUpdate() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.updatedAt
}

// cached returns, concatenated, those of names whose parts the table has recorded as cached.
func (t *table) cached(names ...string) (list string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range names {
		for _, p := range t.parts {
			if p.Key == placement.PartKey("S", name) {
				list += name
			}
		}
	}
	return list
}

// view is an enginecache.View that returns its fields; set changes them.
type view struct {
	mu           sync.Mutex
	leader       bool
	peersUnknown bool // the list of other gateways is not available
	snapshot     *site.Snapshot
}

func (v *view) Current() *site.Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.snapshot
}

func (v *view) IsLeader(string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leader
}

func (v *view) OtherGateways() ([]string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return nil, !v.peersUnknown
}

func (v *view) set(change func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change()
}

// runFollower is like runFollowerWithView, with a view in which this gateway is the leader of the engine.
func runFollower(t *testing.T, check func(e *engine, tbl *table, v *view)) {
	v := &view{leader: true}
	runFollowerWithView(t, v, func(e *engine, tbl *table) { check(e, tbl, v) })
}

// runFollowerWithView runs check against a follower of one engine that uses the given view, on a virtual clock.
func runFollowerWithView(t *testing.T, v *view, check func(e *engine, tbl *table)) {
	synctest.Test(t, func(t *testing.T) {
		e, tbl := &engine{epoch: 1}, &table{}
		v.snapshot = &site.Snapshot{
			Configuration: &site.Configuration{Services: map[string]*site.Service{
				"E": {Name: "E", Engine: &site.Engine{MemoryTokens: 40000}}, "plain": {Name: "plain"}}},
			Endpoints: map[string][]*site.Endpoint{
				"E":     {{ID: "e1", Service: "E", Address: netip.MustParseAddrPort("192.0.2.1:80")}},
				"plain": {{ID: "p1", Service: "plain", Address: netip.MustParseAddrPort("192.0.2.2:80")}}}}
		f := &enginecache.Follower{View: v, Events: e, Table: tbl, Log: logr.Discard()}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- f.Run(ctx) }()
		time.Sleep(2 * time.Second)
		check(e, tbl)
		cancel()
		is.New(t).NoErr(<-ended)
	})
}

// TestFollowTracksLongParts guards against recorded parts that do not match the engine's events, and against short parts that displace
// long ones.
func TestFollowTracksLongParts(t *testing.T) {
	runFollower(t, func(e *engine, tbl *table, _ *view) {
		is := is.New(t)
		e.applyAndWait(func() { e.events = append(e.events, stored("a", 9000), stored("b", 2000), stored("c", 300)) })
		is.Equal(tbl.cached("a", "b", "c"), "ab")
		e.applyAndWait(func() { e.events = append(e.events, evicted("a"), stored("d", 5000)) })
		is.Equal(tbl.cached("a", "b", "c", "d"), "bd")
		e.applyAndWait(func() { e.events = append(e.events, stored("f", 20000), stored("g", 18000)) }) // exceeds the engine's memory, so the oldest are dropped
		is.Equal(tbl.cached("b", "d", "f", "g"), "fg")
	})
}

// TestLostEventsResetContents guards against parts that stay recorded as cached although the event of their eviction was lost, and
// against an engine that is no longer followed after that.
func TestLostEventsResetContents(t *testing.T) {
	runFollower(t, func(e *engine, tbl *table, _ *view) {
		is := is.New(t)
		e.applyAndWait(func() { e.events = append(e.events, stored("a", 9000)) })
		e.applyAndWait(func() { e.oldest, e.events = 5000, []kvstore.Change{stored("b", 2000)} })
		is.Equal(tbl.cached("a", "b"), "b")
		e.applyAndWait(func() { e.events = append(e.events, stored("c", 2000)) })
		is.Equal(tbl.cached("a", "b", "c"), "bc")
	})
}

// TestEngineRestartResetsContents guards against parts that stay recorded from before a restart of the engine.
func TestEngineRestartResetsContents(t *testing.T) {
	runFollower(t, func(e *engine, tbl *table, _ *view) {
		is := is.New(t)
		e.applyAndWait(func() { e.events = append(e.events, stored("a", 9000), stored("b", 9000)) })
		e.applyAndWait(func() { e.epoch, e.events = 2, []kvstore.Change{stored("c", 2000)} })
		is.Equal(tbl.cached("a", "b", "c"), "c")
	})
}

// TestUnreachableEngineIsNotUpdated guards against renewing the contents of an engine that does not answer, and against polling it
// without a pause.
func TestUnreachableEngineIsNotUpdated(t *testing.T) {
	runFollower(t, func(e *engine, tbl *table, _ *view) {
		is := is.New(t)
		e.applyAndWait(func() { e.down, e.polls = true, 0 })
		before := tbl.lastUpdate()
		e.applyAndWait(func() {})
		is.Equal(tbl.lastUpdate(), before)
		is.True(e.pollCount() > 0 && e.pollCount() <= 5)
		e.applyAndWait(func() { e.down = false })
		is.True(tbl.lastUpdate().After(before))
	})
}

// TestFollowsOnlyWhileLeader guards against an engine that is polled by all gateways, and against a gateway that continues to poll
// after another one has become the leader.
func TestFollowsOnlyWhileLeader(t *testing.T) {
	runFollower(t, func(e *engine, _ *table, v *view) {
		is := is.New(t)
		v.set(func() { v.leader = false })
		time.Sleep(2 * time.Second)
		e.applyAndWait(func() { e.polls = 0 })
		is.Equal(e.pollCount(), 0)
		v.set(func() { v.leader = true })
		e.applyAndWait(func() {})
		is.True(e.pollCount() > 0 && e.pollCount() <= 15)
	})
}

// TestWaitsForFirstPeerList guards against all gateways polling all engines when they start together, and against engines that no
// gateway follows when the list of gateways becomes unavailable later on.
func TestWaitsForFirstPeerList(t *testing.T) {
	v := &view{leader: true, peersUnknown: true}
	runFollowerWithView(t, v, func(e *engine, tbl *table) {
		is := is.New(t)
		is.Equal(e.pollCount(), 0)
		v.set(func() { v.peersUnknown = false })
		e.applyAndWait(func() { e.events = append(e.events, stored("a", 9000)) })
		is.Equal(tbl.cached("a"), "a")
		v.set(func() { v.peersUnknown = true })
		e.applyAndWait(func() { e.events = append(e.events, stored("b", 9000)) })
		is.Equal(tbl.cached("b"), "b")
	})
}

// TestFollowedEnginesAreLimited guards against a connection to every engine of a large site when a gateway is the leader of all of them
// because it knows none of the other gateways.
func TestFollowedEnginesAreLimited(t *testing.T) {
	v := &view{leader: true}
	runFollowerWithView(t, v, func(e *engine, _ *table) {
		is := is.New(t)
		many := *v.snapshot
		many.Endpoints = map[string][]*site.Endpoint{}
		for i := range 3000 {
			many.Endpoints["E"] = append(many.Endpoints["E"], &site.Endpoint{ID: fmt.Sprint("e", i), Service: "E",
				Address: netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), uint16(1000+i))})
		}
		v.set(func() { v.snapshot = &many })
		e.applyAndWait(func() { e.addresses = map[string]bool{} })
		e.mu.Lock()
		defer e.mu.Unlock()
		is.True(len(e.addresses) >= 10 && len(e.addresses) <= 13)
	})
}
