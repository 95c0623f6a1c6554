package kvstore

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/engine"
	store "primrosecourse/internal/process/kvstore"
	"primrosecourse/pkg/prefix"
	"primrosecourse/pkg/retention"
)

// Engine is what the Mover needs of the engine.
type Engine interface {
	// ExportBlock returns the bytes of a block and the weight version that computed it.
	ExportBlock(ctx context.Context, id string) (data []byte, version string, err error)
	// ImportBlock gives a block to the engine.
	ImportBlock(ctx context.Context, id, version string, data []byte) error
	// CacheEvents returns the events after a sequence number.
	CacheEvents(ctx context.Context, after uint64) (engine.CacheEvents, error)
}

// Store is one KV store instance.
type Store interface {
	Get(ctx context.Context, id, organisation, version string) (store.Block, error)
	Put(ctx context.Context, b store.Block) error
	Lookup(ctx context.Context, ids []string) ([]store.Present, error)
}

// exportQueueLength bounds the blocks that wait for export; further ones are dropped, which costs a recomputation.
const exportQueueLength = 256

// Mover moves blocks. Set the exported fields before Run.
type Mover struct {
	Engine Engine
	// Stores holds the store instances by name.
	Stores map[string]Store
	// Links holds the rate of each store's link. A store without one is never fetched from.
	Links map[string]*retention.LinkRate
	// Costs are those of this endpoint. Its link rate comes from Links.
	Costs retention.Costs
	// BlockTokens is the size of a block in tokens. Default 1024.
	BlockTokens int
	// PollInterval is the time between two reads of the engine's cache events. Default 1 s.
	PollInterval time.Duration
	// StoreTimeout bounds the look-up in a store, so that a dead store delays no first token for long. Default 200 ms.
	StoreTimeout time.Duration
	// Log takes a line for each placement decision.
	Log logr.Logger

	version string
	exports chan export
	done    chan struct{}

	mu      sync.Mutex
	index   *index
	tracker *retention.Tracker
}

type export struct {
	organisation string
	id           prefix.ID
}

// New returns a Mover for one weight version.
func New(version string) *Mover {
	return &Mover{
		Log:     logr.Discard(),
		version: version,
		exports: make(chan export, exportQueueLength),
		done:    make(chan struct{}),
		index:   newIndex(),
		tracker: retention.New(),
	}
}

// Done is closed when Run has returned.
func (m *Mover) Done() <-chan struct{} { return m.done }

// Run follows the engine's cache events and exports queued blocks until ctx is done.
func (m *Mover) Run(ctx context.Context) error {
	defer close(m.done)
	poll := time.NewTicker(defaultTo(m.PollInterval, time.Second))
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-poll.C:
			m.follow(ctx)
		case e := <-m.exports:
			m.export(ctx, e)
		}
	}
}

// Held returns how many leading blocks of ids the engine holds, as far as its events tell.
func (m *Mover) Held(ids []prefix.ID) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, id := range ids {
		if !m.index.has(id.String()) {
			return i
		}
	}
	return len(ids)
}

// Prepare imports the blocks of ids that the engine lacks, up to the first that no store has, and returns how many tokens
// were imported. A failure leaves the rest to be computed.
func (m *Mover) Prepare(ctx context.Context, organisation string, ids []prefix.ID) (fetchedTokens int) {
	held := m.Held(ids)
	missing := ids[held:]
	if len(missing) == 0 || len(m.Stores) == 0 {
		return 0
	}
	present := m.lookup(ctx, missing)
	tokens := len(present) * m.blockTokens()
	costs := m.costs(present)
	fetch := costs.ShouldFetch(tokens)
	event.Info(m.Log, event.AgentFetchDecided, "Organisation", organisation, "Held", held, "Missing", len(missing),
		"InStore", len(present), "Fetch", fetch, "FetchTime", costs.FetchTime(tokens).String(),
		"RecomputeTime", costs.RecomputeTime(tokens).String())
	if !fetch {
		return 0
	}
	for _, id := range present {
		if err := m.importBlock(ctx, organisation, id); err != nil {
			event.Info(m.Log, event.AgentFetchFailed, "Block", id.String(), "Error", err.Error())
			break
		}
		fetchedTokens += m.blockTokens()
	}
	return fetchedTokens
}

// Keep records the use of ids and queues those worth exporting.
func (m *Mover) Keep(organisation string, ids []prefix.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, id := range ids {
		m.index.add(id.String()) // the run has just used it, whatever events were lost
		m.tracker.Use(id.Uint64(), now)
		if len(m.Stores) == 0 || !m.tracker.ShouldExport(id.Uint64()) {
			continue
		}
		select {
		case m.exports <- export{organisation, id}:
			m.tracker.Exported(id.Uint64())
		default:
		}
	}
}

// costs returns the costs with the rate of the slowest link among the stores of ids.
func (m *Mover) costs(ids []prefix.ID) retention.Costs {
	m.mu.Lock()
	defer m.mu.Unlock()
	costs := m.Costs
	costs.LinkBytesPerSecond = 0
	now := time.Now()
	for i, id := range ids {
		link := m.Links[m.storeOf(id)]
		if link == nil {
			costs.LinkBytesPerSecond = 0
			return costs
		}
		if rate := link.Estimate(now); i == 0 || rate < costs.LinkBytesPerSecond {
			costs.LinkBytesPerSecond = rate
		}
	}
	return costs
}

// lookup returns the leading part of ids that stores hold.
func (m *Mover) lookup(ctx context.Context, ids []prefix.ID) []prefix.ID {
	ctx, cancel := context.WithTimeout(ctx, defaultTo(m.StoreTimeout, 200*time.Millisecond))
	defer cancel()
	byStore := map[string][]string{}
	for _, id := range ids {
		name := m.storeOf(id)
		byStore[name] = append(byStore[name], id.String())
	}
	found := map[string]bool{}
	for name, wanted := range byStore {
		present, err := m.Stores[name].Lookup(ctx, wanted)
		if err != nil {
			event.Info(m.Log, event.AgentStoreFailed, "Store", name, "Error", err.Error())
			continue
		}
		for _, p := range present {
			found[p.ID] = true
		}
	}
	for i, id := range ids {
		if !found[id.String()] {
			return ids[:i]
		}
	}
	return ids
}

func (m *Mover) importBlock(ctx context.Context, organisation string, id prefix.ID) (err error) {
	defer func() { err = errors.Wrap(err, "import block") }()
	name := m.storeOf(id)
	asked := time.Now()
	b, err := m.Stores[name].Get(ctx, id.String(), organisation, m.version)
	if err != nil {
		return err
	}
	m.observe(name, len(b.Bytes), time.Since(asked))
	return m.Engine.ImportBlock(ctx, b.ID, b.Version, b.Bytes)
}

// observe learns the rate of a store's link from a transfer in either direction.
func (m *Mover) observe(name string, n int, took time.Duration) {
	if link := m.Links[name]; link != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		link.Observe(n, took, time.Now())
	}
}

// export copies one block to its store. A block that the engine computed with other weights is left alone: the swap may
// be under way.
func (m *Mover) export(ctx context.Context, e export) {
	var data []byte
	var version string
	var err error
	// A block that would not be fetched over the link as it is now is not worth carrying there. Exports that go on over a
	// slow link fill it, and the few fetches wait behind them.
	if !m.costs([]prefix.ID{e.id}).ShouldFetch(m.blockTokens()) {
		err = errors.New("the link is too slow to fetch the block again")
	} else {
		data, version, err = m.Engine.ExportBlock(ctx, e.id.String())
	}
	if err == nil && version != m.version {
		err = errors.Newf("block has weight version %q", version)
	}
	name := m.storeOf(e.id)
	if err == nil {
		b := store.Block{ID: e.id.String(), Organisation: e.organisation, Version: version, Bytes: data}
		asked := time.Now()
		if err = m.Stores[name].Put(ctx, b); err == nil {
			m.observe(name, len(data), time.Since(asked))
		}
	}
	if err != nil {
		m.mu.Lock()
		m.tracker.Lost(e.id.Uint64())
		m.mu.Unlock()
		event.Info(m.Log, event.AgentExportFailed, "Block", e.id.String(), "Store", name, "Error", err.Error())
		return
	}
	event.Info(m.Log, event.AgentExported, "Block", e.id.String(), "Store", name, "Bytes", len(data))
}

// follow reads the engine's cache events into the index.
func (m *Mover) follow(ctx context.Context) {
	m.mu.Lock()
	after := m.index.next
	m.mu.Unlock()
	page, err := m.Engine.CacheEvents(ctx, after)
	if err != nil {
		return // the next poll asks again from the same position
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range m.index.apply(page) {
		m.tracker.Evicted(placement(id), time.Now())
	}
}

// storeOf returns the store with the highest hash of name and block.
func (m *Mover) storeOf(id prefix.ID) (name string) {
	var best uint64
	for candidate := range m.Stores {
		score := xxhash.Sum64String(candidate + id.String())
		if name == "" || score > best || score == best && candidate < name {
			name, best = candidate, score
		}
	}
	return name
}

func (m *Mover) blockTokens() int {
	if m.BlockTokens == 0 {
		return 1024
	}
	return m.BlockTokens
}

func defaultTo(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}
