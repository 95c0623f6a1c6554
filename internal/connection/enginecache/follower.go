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

// View is what is known of the site; registry.Registry is one.
type View interface {
	Current() *site.Snapshot
	// First reports whether this gateway comes first of all in the order of a name.
	First(name string) bool
	// Others returns the names of the other gateways, false if they are not known.
	Others() (names []string, ok bool)
}

// Events reads the events of engines.
type Events interface {
	// Watch returns what changed after an event, waiting for some.
	Watch(ctx context.Context, address string, since uint64, wait time.Duration) (kvstore.Changes, error)
}

// Table takes what engines keep; placement.Table is one.
type Table interface {
	Keeps(now time.Time, endpoint string, parts []placement.Part)
}

const (
	// period is the time between two questions for the events of an engine, wait how long the engine holds one. A question
	// with a shorter wait counts as a probe.
	period = 200 * time.Millisecond
	wait   = 800 * time.Millisecond
	// callTime bounds a question beyond its wait.
	callTime = 800 * time.Millisecond
	// retryTime is the pause after a question that failed.
	retryTime = time.Second
	// maxFollowed bounds the engines that a gateway follows. What ten engines keep is what fits into its word to the others; a gateway
	// that knows few of the others would open a connection to nearly each engine.
	maxFollowed = 12
	// checkPeriod is the time between two looks at which engines are followed here.
	checkPeriod = 500 * time.Millisecond
)

// Follower follows the engines for which this gateway is the first. Its exported fields are set before Run.
type Follower struct {
	View   View
	Events Events
	Table  Table
	Log    logr.Logger

	// counted tells that the other gateways were known once. Before that, each takes itself for the first.
	counted bool
}

// followed is an engine that is followed. An engine that started again is another one.
type followed struct {
	id      string
	address string
	born    time.Time
}

// Run follows engines until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	var followers sync.WaitGroup
	defer followers.Wait()
	running := map[followed]context.CancelFunc{}
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		engines := f.engines()
		for engine, stop := range running {
			if engines[engine] == 0 {
				stop()
				delete(running, engine)
			}
		}
		for engine, memory := range engines {
			if running[engine] == nil && len(running) < maxFollowed {
				follow, stop := context.WithCancel(ctx)
				running[engine] = stop
				followers.Go(func() { f.follow(follow, engine, memory) })
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

// engines returns the engines that are followed here and their memory in tokens.
func (f *Follower) engines() map[followed]int {
	engines := map[followed]int{}
	view := f.View.Current()
	if !f.counted {
		_, f.counted = f.View.Others()
	}
	if !f.counted || view.Configuration == nil {
		return engines
	}
	for name, endpoints := range view.Endpoints {
		service := view.Configuration.Services[name]
		if service == nil || service.Engine == nil || service.Engine.MemoryTokens <= 0 {
			continue
		}
		for _, e := range endpoints {
			if e.State == site.Ready && f.View.First(e.ID) {
				engines[followed{e.ID, e.Address.String(), e.Born}] = service.Engine.MemoryTokens
			}
		}
	}
	return engines
}

// follow reads the events of one engine until ctx is done.
func (f *Follower) follow(ctx context.Context, engine followed, tokens int) {
	m := newMemory(tokens)
	answers := true
	for ctx.Err() == nil {
		began := time.Now()
		changes, err := f.ask(ctx, engine, m.next)
		pause := retryTime
		if err == nil {
			f.take(engine, m, changes)
			pause = period - time.Since(began)
		} else if answers && ctx.Err() == nil {
			event.Info(f.Log, event.EngineCacheLost, "endpoint", engine.id, "epoch", m.epoch, "reason", err.Error())
		}
		answers = err == nil
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// take applies an answer and tells the table.
func (f *Follower) take(engine followed, m *memory, changes kvstore.Changes) {
	if before := m.epoch; m.take(changes) {
		event.Info(f.Log, event.EngineCacheFollowed, "endpoint", engine.id, "epoch", m.epoch, "before", before,
			"eventsLost", changes.Lost)
	}
	f.Table.Keeps(time.Now(), engine.id, m.parts())
}

func (f *Follower) ask(ctx context.Context, engine followed, since uint64) (kvstore.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTime)
	defer cancel()
	return f.Events.Watch(ctx, engine.address, since, wait)
}
