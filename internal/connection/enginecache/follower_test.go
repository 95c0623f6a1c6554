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

// engine plays the events of one engine.
type engine struct {
	mu        sync.Mutex
	epoch     uint64
	first     uint64 // the number of the first event that is still told
	events    []kvstore.Change
	down      bool
	questions int
	addresses map[string]bool // that were asked
}

func (e *engine) Watch(ctx context.Context, address string, since uint64, wait time.Duration) (kvstore.Changes, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait / 10):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.questions++
	if e.addresses != nil {
		e.addresses[address] = true
	}
	if e.down {
		return kvstore.Changes{}, errors.New("down")
	}
	next := e.first + uint64(len(e.events))
	c := kvstore.Changes{Epoch: e.epoch, Next: next, Lost: since < e.first}
	from := max(since, e.first)
	if from < next {
		c.Changes = append(c.Changes, e.events[from-e.first:]...)
	}
	return c, nil
}

func (e *engine) play(change func()) {
	e.mu.Lock()
	change()
	e.mu.Unlock()
	time.Sleep(2 * time.Second)
}

// asked returns the number of questions.
func (e *engine) asked() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.questions
}

func added(id string, tokens int) kvstore.Change {
	return kvstore.Change{Held: kvstore.Held{Key: kvstore.Key{Scope: "S", ID: id}, Tokens: tokens}}
}

func dropped(id string) kvstore.Change {
	c := added(id, 0)
	c.Gone = true
	return c
}

// table records what it is told.
type table struct {
	mu    sync.Mutex
	parts []placement.Part
	at    time.Time
}

func (t *table) Keeps(now time.Time, _ string, parts []placement.Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.parts, t.at = parts, now
}

func (t *table) toldAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.at
}

// keeps returns the names of the parts among names that the table was told of.
func (t *table) keeps(names ...string) (list string) {
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

type view struct {
	mu       sync.Mutex
	first    bool
	alone    bool // the others are not known
	snapshot *site.Snapshot
}

func (v *view) Current() *site.Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.snapshot
}

func (v *view) First(string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.first
}

func (v *view) Others() ([]string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return nil, !v.alone
}

func (v *view) set(change func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change()
}

func run(t *testing.T, play func(e *engine, tb *table, v *view)) {
	v := &view{first: true}
	runWith(t, v, func(e *engine, tb *table) { play(e, tb, v) })
}

// runWith plays a follower of one engine with a view, on a virtual clock.
func runWith(t *testing.T, v *view, play func(e *engine, tb *table)) {
	synctest.Test(t, func(t *testing.T) {
		e, tb := &engine{epoch: 1}, &table{}
		v.snapshot = &site.Snapshot{
			Configuration: &site.Configuration{Services: map[string]*site.Service{
				"E": {Name: "E", Engine: &site.Engine{MemoryTokens: 40000}}, "plain": {Name: "plain"}}},
			Endpoints: map[string][]*site.Endpoint{
				"E":     {{ID: "e1", Service: "E", Address: netip.MustParseAddrPort("192.0.2.1:80")}},
				"plain": {{ID: "p1", Service: "plain", Address: netip.MustParseAddrPort("192.0.2.2:80")}}}}
		f := &enginecache.Follower{View: v, Events: e, Table: tb, Log: logr.Discard()}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- f.Run(ctx) }()
		time.Sleep(2 * time.Second)
		play(e, tb)
		cancel()
		is.New(t).NoErr(<-ended)
	})
}

// TestFollow guards against beliefs about an engine's parts that its events have overtaken, and against short parts that crowd out
// long ones.
func TestFollow(t *testing.T) {
	run(t, func(e *engine, tb *table, _ *view) {
		is := is.New(t)
		e.play(func() { e.events = append(e.events, added("a", 9000), added("b", 2000), added("c", 300)) })
		is.Equal(tb.keeps("a", "b", "c"), "ab")
		e.play(func() { e.events = append(e.events, dropped("a"), added("d", 5000)) })
		is.Equal(tb.keeps("a", "b", "c", "d"), "bd")
		e.play(func() { e.events = append(e.events, added("f", 20000), added("g", 18000)) }) // more than fits: the oldest has gone
		is.Equal(tb.keeps("b", "d", "f", "g"), "fg")
	})
}

// TestLostEvents guards against parts that are believed to be kept although the event that dropped them was not told, and against
// an engine that is not followed any more after that.
func TestLostEvents(t *testing.T) {
	run(t, func(e *engine, tb *table, _ *view) {
		is := is.New(t)
		e.play(func() { e.events = append(e.events, added("a", 9000)) })
		e.play(func() { e.first, e.events = 5000, []kvstore.Change{added("b", 2000)} })
		is.Equal(tb.keeps("a", "b"), "b")
		e.play(func() { e.events = append(e.events, added("c", 2000)) })
		is.Equal(tb.keeps("a", "b", "c"), "bc")
	})
}

// TestRestartedEngine guards against parts of an engine's last life.
func TestRestartedEngine(t *testing.T) {
	run(t, func(e *engine, tb *table, _ *view) {
		is := is.New(t)
		e.play(func() { e.events = append(e.events, added("a", 9000), added("b", 9000)) })
		e.play(func() { e.epoch, e.events = 2, []kvstore.Change{added("c", 2000)} })
		is.Equal(tb.keeps("a", "b", "c"), "c")
	})
}

// TestSilentEngine guards against a word on an engine that is renewed although it does not answer, and against questions to it
// without a pause.
func TestSilentEngine(t *testing.T) {
	run(t, func(e *engine, tb *table, _ *view) {
		is := is.New(t)
		e.play(func() { e.down, e.questions = true, 0 })
		at := tb.toldAt()
		e.play(func() {})
		is.Equal(tb.toldAt(), at)
		is.True(e.asked() > 0 && e.asked() <= 5)
		e.play(func() { e.down = false })
		is.True(tb.toldAt().After(at))
	})
}

// TestAnothersEngine guards against engines that all gateways ask, and against going on after another one took over.
func TestAnothersEngine(t *testing.T) {
	run(t, func(e *engine, _ *table, v *view) {
		is := is.New(t)
		v.set(func() { v.first = false })
		time.Sleep(2 * time.Second)
		e.play(func() { e.questions = 0 })
		is.Equal(e.asked(), 0)
		v.set(func() { v.first = true })
		e.play(func() {})
		is.True(e.asked() > 0 && e.asked() <= 15)
	})
}

// TestStartsWithOthers guards against all gateways asking all engines when they start together, and against engines that nobody follows
// while the others cannot be listed.
func TestStartsWithOthers(t *testing.T) {
	v := &view{first: true, alone: true}
	runWith(t, v, func(e *engine, tb *table) {
		is := is.New(t)
		is.Equal(e.asked(), 0)
		v.set(func() { v.alone = false })
		e.play(func() { e.events = append(e.events, added("a", 9000)) })
		is.Equal(tb.keeps("a"), "a")
		v.set(func() { v.alone = true })
		e.play(func() { e.events = append(e.events, added("b", 9000)) })
		is.Equal(tb.keeps("b"), "b")
	})
}

// TestFollowsFew guards against a connection to each engine of a large site while a gateway does not know the others yet.
func TestFollowsFew(t *testing.T) {
	v := &view{first: true}
	runWith(t, v, func(e *engine, _ *table) {
		is := is.New(t)
		many := *v.snapshot
		many.Endpoints = map[string][]*site.Endpoint{}
		for i := range 3000 {
			many.Endpoints["E"] = append(many.Endpoints["E"], &site.Endpoint{ID: fmt.Sprint("e", i), Service: "E",
				Address: netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), uint16(1000+i))})
		}
		v.set(func() { v.snapshot = &many })
		e.play(func() { e.addresses = map[string]bool{} })
		e.mu.Lock()
		defer e.mu.Unlock()
		is.True(len(e.addresses) >= 10 && len(e.addresses) <= 13)
	})
}
