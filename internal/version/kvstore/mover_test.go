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

// fakeEngine is an Engine with its blocks and cache events in memory.
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
		return nil, "", errors.New("block is not in the cache")
	}
	return b, f.version, nil
}

func (f *fakeEngine) ImportBlock(_ context.Context, id, version string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version != f.version {
		return errors.New("block has another weight version")
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

// fakeStore is a Store in memory.
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

// TestExportThenFetch guards against recomputing a prompt that another endpoint has already computed and exported.
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
		a.RecordUse("Org1", ids)
		a.RecordUse("Org1", ids)
		synctest.Wait()
		is.Equal(len(shared.blocks), 3)
		is.Equal(b.Prepare(ctx, "Org1", ids), 12)
		is.Equal(engineB.blocks, engineA.blocks)
		cancel()
		<-a.Done()
	})
}

// TestPrepareRejectsForeignBlocks guards against importing blocks of another organisation or weight version, or from a store that
// is down.
func TestPrepareRejectsForeignBlocks(t *testing.T) {
	ids := prefix.Chain("Org1", "v1", token.Encode("abcdefgh"), 4)
	for _, tc := range []struct {
		name   string
		stored store.Block
		down   bool
		want   int
	}{
		{"same organisation and version", store.Block{Organisation: "Org1", Version: "v1"}, false, 4},
		{"other organisation with the same block ID", store.Block{Organisation: "Org2", Version: "v1"}, false, 0},
		{"other version with the same block ID", store.Block{Organisation: "Org1", Version: "v2"}, false, 0},
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

// TestSlowLinkIsNotUsed guards against delaying the first token by a fetch over a link so slow that recomputing is faster.
//
// The estimated rate of a link returns to its configured rate with time. The virtual clock of synctest prevents a delay between
// the calls, after which the link would count as usable.
func TestSlowLinkIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, e, s := newMover("v1")
		ids := prefix.Chain("Org1", "v1", token.Encode("abcd"), 4)
		s.blocks[ids[0].String()] = store.Block{ID: ids[0].String(), Organisation: "Org1", Version: "v1"}
		m.Links["Store1"].Observe(10, time.Second, time.Now())
		is.Equal(m.Prepare(context.Background(), "Org1", ids), 0)
		is.Equal(m.Costs.LinkBytesPerSecond, float64(0))

		// Blocks are not exported over the slow link either, since that would only delay fetches.
		other := prefix.Chain("Org1", "v1", token.Encode("efgh"), 4)[0]
		e.blocks[other.String()] = []byte("x")
		m.export(context.Background(), pendingExport{"Org1", other})
		is.Equal(len(s.blocks), 1)
		time.Sleep(10 * time.Minute)
		m.export(context.Background(), pendingExport{"Org1", other})
		is.Equal(len(s.blocks), 2)
	})
}

// TestExportSkipsOtherVersion guards against storing blocks under the wrong weight version while the version changes.
func TestExportSkipsOtherVersion(t *testing.T) {
	is := is.New(t)
	m, e, s := newMover("v1")
	ids := prefix.Chain("Org1", "v1", token.Encode("abcd"), 4)
	e.blocks[ids[0].String()] = []byte("x")
	e.version = "v2"
	m.export(context.Background(), pendingExport{"Org1", ids[0]})
	is.Equal(len(s.blocks), 0)
}

// TestIndexClearedAfterLoss guards against keeping blocks in the index whose removal was among lost events.
func TestIndexClearedAfterLoss(t *testing.T) {
	ev := func(seq uint64, id string, removed bool) engine.CacheEvent {
		return engine.CacheEvent{Sequence: seq, Block: id, Removed: removed}
	}
	first := engine.CacheEvents{Incarnation: 1, Events: []engine.CacheEvent{ev(1, "a", false), ev(2, "b", false)}, Next: 2}
	for _, tc := range []struct {
		name string
		page engine.CacheEvents
		want []string
	}{
		{"consecutive", engine.CacheEvents{Incarnation: 1, Events: []engine.CacheEvent{ev(3, "a", true)}, Next: 3}, []string{"b"}},
		{"gap", engine.CacheEvents{Incarnation: 1, Events: []engine.CacheEvent{ev(5, "c", false)}, Next: 5}, []string{"c"}},
		{"restart", engine.CacheEvents{Incarnation: 2, Events: []engine.CacheEvent{ev(3, "d", false)}, Next: 3}, nil},
		{"no events", engine.CacheEvents{Incarnation: 1, Next: 2}, []string{"a", "b"}},
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

// TestIndexToleratesSmallGaps guards against fetching everything again after a few lost events, and against using the index
// after many lost events.
func TestIndexToleratesSmallGaps(t *testing.T) {
	is := is.New(t)
	x := newIndex()
	page := engine.CacheEvents{Incarnation: 1}
	for i := range uint64(40) {
		page.Events = append(page.Events, engine.CacheEvent{Sequence: i + 1, Block: string(rune('a' + i))})
	}
	x.apply(page)
	x.apply(engine.CacheEvents{Incarnation: 1, Events: []engine.CacheEvent{{Sequence: 46, Block: "new"}}}) // 5 lost
	is.Equal(len(x.blocks), 41)
	x.apply(engine.CacheEvents{Incarnation: 1, Events: []engine.CacheEvent{{Sequence: 53, Block: "newer"}}}) // 11 lost in total
	is.Equal(len(x.blocks), 1)
}

// TestEvictedBlocksLeaveIndex guards against an index that keeps blocks which the engine evicted.
func TestEvictedBlocksLeaveIndex(t *testing.T) {
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
		is.Equal(m.CachedBlocks(ids), 2)
		e.mu.Lock()
		e.page.Events = append(e.page.Events, engine.CacheEvent{Sequence: 3, Block: ids[1].String(), Removed: true})
		e.mu.Unlock()
		time.Sleep(time.Second)
		is.Equal(m.CachedBlocks(ids), 1)
		cancel()
		<-m.Done()
	})
}
