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

// Engine is the part of the engine's API that the Mover uses.
type Engine interface {
	// ExportBlock returns the bytes of a block and the weight version with which it was computed.
	ExportBlock(ctx context.Context, id string) (data []byte, version string, err error)
	// ImportBlock adds a block to the engine's cache.
	ImportBlock(ctx context.Context, id, version string, data []byte) error
	// CacheEvents returns the cache events after a sequence number.
	CacheEvents(ctx context.Context, after uint64) (engine.CacheEvents, error)
}

// Store is one KV store instance.
type Store interface {
	// Get returns a block if it belongs to the organisation and the weight version.
	Get(ctx context.Context, id, organisation, version string) (store.Block, error)
	Put(ctx context.Context, b store.Block) error
	// Lookup returns those of the blocks that the store has.
	Lookup(ctx context.Context, ids []string) ([]store.Present, error)
}

// exportQueueLength limits the number of blocks that wait for export. A block that does not fit is not exported before
// its next use, so that another endpoint may have to recompute it.
const exportQueueLength = 256

// Mover imports blocks from the stores into the engine and exports them to the stores, for one weight version. Set the
// exported fields before Run.
type Mover struct {
	Engine Engine
	// Stores are the KV store instances by name.
	Stores map[string]Store
	// Links are the rates of the links to the stores, by store name. Nothing is fetched from or exported to a store without a
	// rate.
	Links map[string]*retention.LinkRate
	// Costs are the transfer and recomputation costs of this endpoint. The link rate in it is ignored; Links is used instead.
	Costs retention.Costs
	// BlockTokens is the number of tokens in a block. Default 1024.
	BlockTokens int
	// PollInterval is the time between two reads of the engine's cache events. Default 1 s.
	PollInterval time.Duration
	// StoreTimeout limits the look-up in the stores, so that a dead store does not delay the first token for long. Default
	// 200 ms.
	StoreTimeout time.Duration
	// Log receives an event for each fetch decision, each export, and each failed look-up, import or export.
	Log logr.Logger

	version string
	exports chan pendingExport
	done    chan struct{}

	mu      sync.Mutex
	index   *index
	tracker *retention.Tracker
}

// pendingExport is a block that waits for export.
type pendingExport struct {
	organisation string
	id           prefix.ID
}

// New returns a Mover for one weight version.
func New(version string) *Mover {
	return &Mover{
		Log:     logr.Discard(),
		version: version,
		exports: make(chan pendingExport, exportQueueLength),
		done:    make(chan struct{}),
		index:   newIndex(),
		tracker: retention.New(),
	}
}

// Done returns a channel that is closed when Run has returned.
func (m *Mover) Done() <-chan struct{} { return m.done }

// Run polls the engine's cache events and exports queued blocks until ctx is done. It returns no error.
func (m *Mover) Run(ctx context.Context) error {
	defer close(m.done)
	poll := time.NewTicker(durationOr(m.PollInterval, time.Second))
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-poll.C:
			m.pollEvents(ctx)
		case e := <-m.exports:
			m.export(ctx, e)
		}
	}
}

// CachedBlocks returns the number of leading blocks of ids in the engine's cache, according to the index.
func (m *Mover) CachedBlocks(ids []prefix.ID) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, id := range ids {
		if !m.index.has(id.String()) {
			return i
		}
	}
	return len(ids)
}

// Prepare imports the blocks of ids from the first one that the engine lacks up to, but without, the first one after it that
// its store lacks, if that costs less than recomputing them. It returns the number of imported tokens. After a failure the
// engine prefills the remaining blocks.
func (m *Mover) Prepare(ctx context.Context, organisation string, ids []prefix.ID) (fetchedTokens int) {
	cached := m.CachedBlocks(ids)
	missing := ids[cached:]
	if len(missing) == 0 || len(m.Stores) == 0 {
		return 0
	}
	present := m.lookup(ctx, missing)
	tokens := len(present) * m.blockTokens()
	costs := m.costs(present)
	fetch := costs.ShouldFetch(tokens)
	event.Info(m.Log, event.AgentFetchDecided, "Organisation", organisation, "Held", cached, "Missing", len(missing),
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

// RecordUse records that a run used the blocks ids, and queues those that are worth exporting.
func (m *Mover) RecordUse(organisation string, ids []prefix.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, id := range ids {
		m.index.add(id.String()) // the run has just used it, so it is in the cache even if its event was lost
		m.tracker.Use(id.Uint64(), now)
		if len(m.Stores) == 0 || !m.tracker.ShouldExport(id.Uint64()) {
			continue
		}
		select {
		case m.exports <- pendingExport{organisation, id}:
			m.tracker.Exported(id.Uint64())
		default:
		}
	}
}

// costs returns Costs with the rate of the slowest link among the stores of ids, 0 if one of them has no rate.
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

// lookup returns the leading blocks of ids that the stores have.
func (m *Mover) lookup(ctx context.Context, ids []prefix.ID) []prefix.ID {
	ctx, cancel := context.WithTimeout(ctx, durationOr(m.StoreTimeout, 200*time.Millisecond))
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
	start := time.Now()
	b, err := m.Stores[name].Get(ctx, id.String(), organisation, m.version)
	if err != nil {
		return err
	}
	m.observeTransfer(name, len(b.Bytes), time.Since(start))
	return m.Engine.ImportBlock(ctx, b.ID, b.Version, b.Bytes)
}

// observeTransfer updates the estimated rate of a store's link with a transfer of n bytes in either direction.
func (m *Mover) observeTransfer(name string, n int, elapsed time.Duration) {
	if link := m.Links[name]; link != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		link.Observe(n, elapsed, time.Now())
	}
}

// export copies one block to its store. A block that the engine computed with another weight version is not exported, since a
// change of the version may be in progress.
func (m *Mover) export(ctx context.Context, e pendingExport) {
	var data []byte
	var version string
	var err error
	// A block is not worth exporting if the link is so slow that the block would not be fetched over it. Exports over a slow
	// link saturate it and delay the few fetches.
	if !m.costs([]prefix.ID{e.id}).ShouldFetch(m.blockTokens()) {
		err = errors.New("fetching the block from the store would cost more than recomputing it")
	} else {
		data, version, err = m.Engine.ExportBlock(ctx, e.id.String())
	}
	if err == nil && version != m.version {
		err = errors.Newf("block was computed with another weight version, %q", version)
	}
	name := m.storeOf(e.id)
	if err == nil {
		b := store.Block{ID: e.id.String(), Organisation: e.organisation, Version: version, Bytes: data}
		start := time.Now()
		if err = m.Stores[name].Put(ctx, b); err == nil {
			m.observeTransfer(name, len(data), time.Since(start))
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

// pollEvents reads the engine's new cache events and applies them to the index.
func (m *Mover) pollEvents(ctx context.Context) {
	m.mu.Lock()
	after := m.index.lastApplied
	m.mu.Unlock()
	page, err := m.Engine.CacheEvents(ctx, after)
	if err != nil {
		return // the next poll retries from the same position
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range m.index.apply(page) {
		m.tracker.Evicted(retentionKey(id), time.Now())
	}
}

// storeOf returns the name of the store of a block, which is the first in rendezvous order: the one with the highest hash of
// its name and the block's ID.
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

func durationOr(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}
