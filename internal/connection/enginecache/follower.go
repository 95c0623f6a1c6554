package enginecache

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"primrosecourse/internal/connection/kvstore"
	"primrosecourse/internal/event"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
)

// View provides the state of the site; registry.Registry implements it.
type View interface {
	// Current returns the current snapshot of the site.
	Current() *site.Snapshot
	// IsLeader reports whether this gateway is the leader of name, that is, the first of all gateways in the rendezvous-hash order
	// for name.
	IsLeader(name string) bool
	// OtherGateways returns the names of the other gateways, and false if they are not known.
	OtherGateways() (names []string, ok bool)
}

// Events reads the cache events of engines.
type Events interface {
	// Watch returns the changes from event number since on of the engine at address. If there are none yet, the engine delays its
	// response by up to wait.
	Watch(ctx context.Context, address string, since uint64, wait time.Duration) (kvstore.Changes, error)
}

// Table records which parts engines have cached; placement.Table implements it.
type Table interface {
	// SetLocalCache replaces the long parts recorded as cached by an endpoint that this gateway follows.
	SetLocalCache(now time.Time, endpoint string, parts []placement.Part)
}

const (
	// pollInterval is the minimum time between the starts of two polls of an engine. pollWait is the longest time for which the engine
	// delays its response to a poll while it has no event; the engine treats a poll with a shorter wait as a probe.
	pollInterval = 200 * time.Millisecond
	pollWait     = 800 * time.Millisecond
	// callMargin is the time that a poll may take in addition to its wait.
	callMargin = 800 * time.Millisecond
	// retryDelay is the pause after a poll that failed.
	retryDelay = time.Second
	// maxEngines limits the engines that a gateway follows. The cached parts of about ten engines fit into a message to the other
	// gateways, so following many more is of no use to them. Without a limit, a gateway that knows few of the others would open a
	// connection to nearly every engine.
	maxEngines = 12
	// selectInterval is the time between two selections of the engines to follow.
	selectInterval = 500 * time.Millisecond
)

// Follower follows the engines whose leader this gateway is, up to maxEngines. Its exported fields must be set before Run is called.
type Follower struct {
	View   View
	Events Events
	Table  Table
	Log    logr.Logger

	// peersListed is set once the list of other gateways has been available. Before that, no engine is followed, since every gateway
	// would take itself to be the leader of all engines.
	peersListed bool
}

// engineKey identifies one run of an engine: a restart changes startedAt.
type engineKey struct {
	id        string
	address   string
	startedAt time.Time
}

// Run follows engines until ctx is done. It always returns nil, once its goroutines have ended.
func (f *Follower) Run(ctx context.Context) error {
	var pollers sync.WaitGroup
	defer pollers.Wait()
	running := map[engineKey]context.CancelFunc{}
	ticker := time.NewTicker(selectInterval)
	defer ticker.Stop()
	for {
		engines := f.selectEngines()
		for engine, stop := range running {
			if engines[engine] == 0 {
				stop()
				delete(running, engine)
			}
		}
		for engine, memoryTokens := range engines {
			if running[engine] == nil && len(running) < maxEngines {
				followCtx, stop := context.WithCancel(ctx)
				running[engine] = stop
				pollers.Go(func() { f.follow(followCtx, engine, memoryTokens) })
			}
		}
		select {
		case <-ctx.Done():
			for _, stop := range running {
				stop()
			}
			return nil
		case <-ticker.C:
		}
	}
}

// selectEngines returns the ready engines with known memory whose leader this gateway is, with their memory in tokens. It returns none
// until the list of other gateways has been available.
func (f *Follower) selectEngines() map[engineKey]int {
	engines := map[engineKey]int{}
	snapshot := f.View.Current()
	if !f.peersListed {
		_, f.peersListed = f.View.OtherGateways()
	}
	if !f.peersListed || snapshot.Configuration == nil {
		return engines
	}
	for name, endpoints := range snapshot.Endpoints {
		service := snapshot.Configuration.Services[name]
		if service == nil || service.Engine == nil || service.Engine.MemoryTokens <= 0 {
			continue
		}
		for _, e := range endpoints {
			if e.State == site.Ready && f.View.IsLeader(e.ID) {
				engines[engineKey{e.ID, e.Address.String(), e.StartedAt}] = service.Engine.MemoryTokens
			}
		}
	}
	return engines
}

// follow polls the events of one engine until ctx is done.
func (f *Follower) follow(ctx context.Context, engine engineKey, memoryTokens int) {
	cached := newContents(memoryTokens)
	reachable := true
	for ctx.Err() == nil {
		startedAt := time.Now()
		changes, err := f.poll(ctx, engine, cached.next)
		pause := retryDelay
		if err == nil {
			f.update(engine, cached, changes)
			pause = pollInterval - time.Since(startedAt)
		} else if reachable && ctx.Err() == nil {
			event.Info(f.Log, event.EngineCacheLost, "endpoint", engine.id, "epoch", cached.epoch, "reason", err.Error())
		}
		reachable = err == nil
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// update applies the result of a poll to cached and passes the new contents to the table.
func (f *Follower) update(engine engineKey, cached *contents, changes kvstore.Changes) {
	if previous := cached.epoch; cached.update(changes) {
		event.Info(f.Log, event.EngineCacheFollowed, "endpoint", engine.id, "epoch", cached.epoch, "before", previous,
			"eventsLost", changes.Lost)
	}
	f.Table.SetLocalCache(time.Now(), engine.id, cached.parts())
}

func (f *Follower) poll(ctx context.Context, engine engineKey, since uint64) (kvstore.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, pollWait+callMargin)
	defer cancel()
	return f.Events.Watch(ctx, engine.address, since, pollWait)
}
