package kvstore

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"primrosecourse/internal/process/engine"
	store "primrosecourse/internal/process/kvstore"
	"primrosecourse/pkg/prefix"
	"primrosecourse/pkg/retention"
	"primrosecourse/pkg/token"
)

// fakeEngine keeps blocks in memory and numbers its cache events.
type fakeEngine struct {
	mu      sync.Mutex
	version string
	blocks  map[string][]byte
	page    engine.CacheEvents
}

func (f *fakeEngine) ExportBlock(_ context.Context, id string) ([]byte, string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.blocks[id]
	if !ok {
		return nil, "", errors.New("evicted")
	}
	return b, f.version, nil
}

func (f *fakeEngine) ImportBlock(_ context.Context, id, version string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version != f.version {
		return errors.New("other version")
	}
	f.blocks[id] = data
	return nil
}

func (f *fakeEngine) CacheEvents(_ context.Context, after uint64) (engine.CacheEvents, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	page := engine.CacheEvents{Incarnation: f.page.Incarnation, Next: after}
	for _, e := range f.page.Events {
		if e.Sequence > after {
			page.Events = append(page.Events, e)
			page.Next = e.Sequence
		}
	}
	return page, nil
}

// fakeStore is a store without a link.
type fakeStore struct {
	mu     sync.Mutex
	blocks map[string]store.Block
	down   bool
}

func (f *fakeStore) Get(_ context.Context, id, organisation, version string) (store.Block, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.blocks[id]
	switch {
	case f.down:
		return store.Block{}, store.ErrUnavailable
	case !ok:
		return store.Block{}, store.ErrNotFound
	case b.Organisation != organisation || b.Version != version:
		return store.Block{}, store.ErrMismatch
	}
	return b, nil
}

func (f *fakeStore) Put(_ context.Context, b store.Block) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return store.ErrUnavailable
	}
	f.blocks[b.ID] = b
	return nil
}

func (f *fakeStore) Lookup(_ context.Context, ids []string) (present []store.Present, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, store.ErrUnavailable
	}
	for _, id := range ids {
		if b, ok := f.blocks[id]; ok {
			present = append(present, store.Present{ID: id, Bytes: int64(len(b.Bytes)), Tier: "Memory"})
		}
	}
	return present, nil
}

func newMover(version string) (*Mover, *fakeEngine, *fakeStore) {
	e := &fakeEngine{version: version, blocks: map[string][]byte{}}
	s := &fakeStore{blocks: map[string]store.Block{}}
	m := New(version)
	m.Engine = e
	m.Stores = map[string]Store{"Store1": s}
	m.BlockTokens = 4
	m.Costs = retention.Costs{PrefillTokensPerSecond: 1000, BytesPerToken: 1}
	m.Links = map[string]*retention.LinkRate{"Store1": {Configured: 1e9}}
	return m, e, s
}

// TestExportThenFetch guards against a prompt that comes back to another endpoint being computed again.
func TestExportThenFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		a, engineA, shared := newMover("v1")
		b, engineB, _ := newMover("v1")
		b.Stores = map[string]Store{"Store1": shared}
		go func() { _ = a.Run(ctx) }()
		ids := prefix.Chain("Org1", "v1", token.Encode("abcdefghijkl"), 4)
		for _, id := range ids {
			engineA.blocks[id.String()] = []byte("cache of " + id.String())
		}
		a.Keep("Org1", ids)
		a.Keep("Org1", ids)
		synctest.Wait()
		is.Equal(len(shared.blocks), 3)
		is.Equal(b.Prepare(ctx, "Org1", ids), 12)
		is.Equal(engineB.blocks, engineA.blocks)
		cancel()
		<-a.Done()
	})
}

// TestPrepareUsesOnlyOwnBlocks guards against blocks of another organisation, another version or a dead store reaching
// the engine.
func TestPrepareUsesOnlyOwnBlocks(t *testing.T) {
	ids := prefix.Chain("Org1", "v1", token.Encode("abcdefgh"), 4)
	for _, tc := range []struct {
		name   string
		stored store.Block
		down   bool
		want   int
	}{
		{"own", store.Block{Organisation: "Org1", Version: "v1"}, false, 4},
		{"other organisation under the same identity", store.Block{Organisation: "Org2", Version: "v1"}, false, 0},
		{"other version under the same identity", store.Block{Organisation: "Org1", Version: "v2"}, false, 0},
		{"store down", store.Block{Organisation: "Org1", Version: "v1"}, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			m, e, s := newMover("v1")
			s.down = tc.down
			tc.stored.ID = ids[0].String()
			s.blocks[tc.stored.ID] = tc.stored
			is.Equal(m.Prepare(context.Background(), "Org1", ids), tc.want)
			is.Equal(len(e.blocks), tc.want/4)
		})
	}
}

// TestSlowLinkIsNotUsed guards against a first token that waits for a link on which computing would win.
//
// The bubble stops the clock: the estimate of the link returns to the planned rate with time, and on a busy machine enough
// time passed between the two calls for the link to look usable.
func TestSlowLinkIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, e, s := newMover("v1")
		ids := prefix.Chain("Org1", "v1", token.Encode("abcd"), 4)
		s.blocks[ids[0].String()] = store.Block{ID: ids[0].String(), Organisation: "Org1", Version: "v1"}
		m.Links["Store1"].Observe(10, time.Second, time.Now())
		is.Equal(m.Prepare(context.Background(), "Org1", ids), 0)
		is.Equal(m.Costs.LinkBytesPerSecond, float64(0))

		// Nor are blocks carried to the store over it, where they would only hold up fetches.
		other := prefix.Chain("Org1", "v1", token.Encode("efgh"), 4)[0]
		e.blocks[other.String()] = []byte("x")
		m.export(context.Background(), export{"Org1", other})
		is.Equal(len(s.blocks), 1)
		time.Sleep(10 * time.Minute)
		m.export(context.Background(), export{"Org1", other})
		is.Equal(len(s.blocks), 2)
	})
}

// TestExportSkipsOtherVersion guards against blocks computed during a swap being stored under the wrong version.
func TestExportSkipsOtherVersion(t *testing.T) {
	is := is.New(t)
	m, e, s := newMover("v1")
	ids := prefix.Chain("Org1", "v1", token.Encode("abcd"), 4)
	e.blocks[ids[0].String()] = []byte("x")
	e.version = "v2"
	m.export(context.Background(), export{"Org1", ids[0]})
	is.Equal(len(s.blocks), 0)
}

// TestIndexForgetsAfterLoss guards against believing in blocks whose removal was among lost events.
func TestIndexForgetsAfterLoss(t *testing.T) {
	ev := func(seq uint64, id string, removed bool) engine.CacheEvent {
		return engine.CacheEvent{Sequence: seq, Block: id, Removed: removed}
	}
	first := engine.CacheEvents{Incarnation: 1, Events: []engine.CacheEvent{ev(1, "a", false), ev(2, "b", false)}, Next: 2}
	for _, tc := range []struct {
		name string
		page engine.CacheEvents
		want []string
	}{
		{"next", engine.CacheEvents{Incarnation: 1, Events: []engine.CacheEvent{ev(3, "a", true)}, Next: 3}, []string{"b"}},
		{"hole", engine.CacheEvents{Incarnation: 1, Events: []engine.CacheEvent{ev(5, "c", false)}, Next: 5}, []string{"c"}},
		{"restart", engine.CacheEvents{Incarnation: 2, Events: []engine.CacheEvent{ev(3, "d", false)}, Next: 3}, nil},
		{"empty", engine.CacheEvents{Incarnation: 1, Next: 2}, []string{"a", "b"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			x := newIndex()
			x.apply(first)
			x.apply(tc.page)
			is.Equal(len(x.blocks), len(tc.want))
			for _, id := range tc.want {
				is.True(x.has(id))
			}
		})
	}
}

// TestIndexOutlivesSmallHoles guards against an agent that fetches everything again after few lost events, and against an
// index that is trusted after many.
func TestIndexOutlivesSmallHoles(t *testing.T) {
	is := is.New(t)
	x := newIndex()
	page := engine.CacheEvents{Incarnation: 1}
	for i := range uint64(40) {
		page.Events = append(page.Events, engine.CacheEvent{Sequence: i + 1, Block: string(rune('a' + i))})
	}
	x.apply(page)
	x.apply(engine.CacheEvents{Incarnation: 1, Events: []engine.CacheEvent{{Sequence: 46, Block: "new"}}}) // 5 lost
	is.Equal(len(x.blocks), 41)
	x.apply(engine.CacheEvents{Incarnation: 1, Events: []engine.CacheEvent{{Sequence: 53, Block: "newer"}}}) // 11 in all
	is.Equal(len(x.blocks), 1)
}

// TestFollowLearnsEvictions guards against an index that keeps blocks which the engine dropped.
func TestFollowLearnsEvictions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		m, e, _ := newMover("v1")
		ids := prefix.Chain("Org1", "v1", token.Encode("abcdefgh"), 4)
		e.page = engine.CacheEvents{Incarnation: 1, Events: []engine.CacheEvent{
			{Sequence: 1, Block: ids[0].String()}, {Sequence: 2, Block: ids[1].String()},
		}}
		go func() { _ = m.Run(ctx) }()
		time.Sleep(1500 * time.Millisecond)
		is.Equal(m.Held(ids), 2)
		e.mu.Lock()
		e.page.Events = append(e.page.Events, engine.CacheEvent{Sequence: 3, Block: ids[1].String(), Removed: true})
		e.mu.Unlock()
		time.Sleep(time.Second)
		is.Equal(m.Held(ids), 1)
		cancel()
		<-m.Done()
	})
}
