package buildplan_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr/funcr"

	"primrosecourse/internal/version/buildplan"
	"primrosecourse/internal/version/registry"
	"primrosecourse/pkg/builds"
	"primrosecourse/pkg/site"
)

// Times within which package forward decides.
const (
	planPatience   = 700 * time.Millisecond
	pollInterval   = 10 * time.Millisecond
	reportPatience = 1500 * time.Millisecond
)

// instance is one process of a gateway.
type instance struct {
	name     string
	path     *path
	book     *builds.Book
	planner  *buildplan.Planner
	registry *registry.Registry
	stop     context.CancelFunc
	up       atomic.Bool
	// calls is the number of calls of Latest, which must not begin once the planner is stopped.
	calls atomic.Int64
}

// platformSim is the platform's store and what happens to the gateways.
type platformSim struct {
	began          time.Time
	configurations *kind[*site.Configuration]
	endpoints      *kind[*site.Endpoint]
	evacuations    *kind[struct{}]
	versions       *kind[site.ModelVersion]
	shared         *kind[json.RawMessage]
	members        *kind[json.RawMessage]
	tasks          sync.WaitGroup

	mu    sync.Mutex
	trace []string
}

func newPlatformSim() *platformSim {
	p := &platformSim{began: time.Now(), configurations: newKind[*site.Configuration](), endpoints: newKind[*site.Endpoint](), evacuations: newKind[struct{}](),
		versions: newKind[site.ModelVersion](), shared: newKind[json.RawMessage](), members: newKind[json.RawMessage]()}
	routes := []site.Route{{Name: "r", Repeat: site.Resume, Shares: []site.Share{{Service: "S", Weight: 1}}}}
	p.configurations.set(registry.Change[*site.Configuration]{Name: "main",
		Value: site.NewConfiguration(1, routes, []site.Service{{Name: "S"}}, nil, site.Limits{})})
	return p
}

// note records what happens, for the report of a failure.
func (p *platformSim) note(who, what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trace = append(p.trace, fmt.Sprintf("%8.3f %s %s", time.Since(p.began).Seconds(), who, what))
}

// list makes an endpoint appear with a state.
func (p *platformSim) list(id, build string, state site.State) {
	p.endpoints.set(registry.Change[*site.Endpoint]{Name: id, Value: &site.Endpoint{ID: id, Service: "S", Build: build, State: state,
		StartedAt: p.began}})
}

// start starts a gateway.
func (p *platformSim) start(name string, seed uint64) *instance {
	w := &path{random: rand.New(rand.NewPCG(seed, 1))}
	g := &instance{name: name, path: w, book: &builds.Book{}}
	shared := writer{reader[json.RawMessage]{p.shared, w, nil}}
	clone := func(e *site.Endpoint) *site.Endpoint {
		own := *e
		return &own
	}
	log := funcr.New(func(_, args string) {
		if strings.Contains(args, "BuildPlan") || strings.Contains(args, "Streams") {
			p.note(name, args)
		}
	}, funcr.Options{})
	g.registry = &registry.Registry{Name: name, Configurations: reader[*site.Configuration]{p.configurations, w, nil},
		Endpoints: reader[*site.Endpoint]{p.endpoints, w, clone}, Evacuations: reader[struct{}]{p.evacuations, w, nil},
		Versions: reader[site.ModelVersion]{p.versions, w, nil}, Shared: shared, Members: writer{reader[json.RawMessage]{p.members, w, nil}}, Log: log,
		Builds: g.book}
	g.planner = &buildplan.Planner{Name: name, View: g.registry, Objects: shared, Book: g.book, Log: log}
	g.registry.Changed = func(*site.Snapshot) { g.planner.Changed() }
	g.book.Wake = g.planner.Changed
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	p.tasks.Go(func() { _ = g.registry.Run(ctx) })
	p.tasks.Go(func() { _ = g.planner.Run(ctx) })
	g.up.Store(true)
	p.note(name, "starts")
	return g
}

// kill ends a gateway at once.
func (p *platformSim) kill(g *instance) {
	p.note(g.name, "is killed")
	g.up.Store(false)
	g.path.set(func() { g.path.condition, g.path.stillUntil = refusing, time.Time{} })
	p.tasks.Go(g.close)
}

// end ends a gateway as planned: it serves no more streams and then removes its object.
func (p *platformSim) end(g *instance) {
	p.note(g.name, "stops")
	g.up.Store(false)
	p.tasks.Go(g.close)
}

// close stops the parts of a process that serves no more.
func (g *instance) close() {
	for g.calls.Load() > 0 {
		time.Sleep(pollInterval)
	}
	g.stop()
}

// await waits for a condition as package forward does.
func (g *instance) await(condition func() bool) bool {
	for deadline := time.Now().Add(planPatience); ; time.Sleep(pollInterval) {
		g.path.stand()
		if condition() {
			return true
		}
		if !time.Now().Before(deadline) {
			return false
		}
	}
}

// lists reports whether the gateway knows an endpoint of a build that takes streams.
func (g *instance) lists(build string) bool {
	for _, e := range g.registry.Current().Endpoints["S"] {
		if e.Build == build && e.State == site.Ready {
			return true
		}
	}
	return false
}

// begin begins a stream as package forward does, and returns its build.
func (g *instance) begin(s builds.Stream, draw uint64) (build string, ok bool) {
	g.path.stand()
	if !g.up.Load() || !g.registry.Complete() {
		return "", false
	}
	now := time.Now()
	g.await(func() bool { return g.book.Covers(now, s.Until) })
	if !g.await(g.book.Ready) {
		return "", false
	}
	g.await(func() bool {
		build, planned := g.book.Planned(s)
		return !planned || g.lists(build)
	})
	build, planned := g.book.Begin(time.Now(), s)
	switch endpoints := g.registry.Current().Endpoints["S"]; {
	case planned && !g.lists(build), !planned && len(endpoints) == 0:
		g.book.Forget(s)
		return "", false
	case !planned:
		build = endpoints[draw%uint64(len(endpoints))].Build
		number := g.book.Begun(time.Now(), s, build)
		if !g.await(func() bool { return g.book.ReportsUnplanned(number) }) {
			g.book.Forget(s)
			return "", false
		}
	}
	g.path.stand()
	return build, g.up.Load()
}

// takeUp takes a stream up as package forward does. confirmed is false if the store does not say which plan is the latest.
func (g *instance) takeUp(s builds.Stream) (build string, k builds.Knowledge, confirmed bool) {
	g.path.stand()
	g.calls.Add(1)
	defer g.calls.Add(-1)
	if !g.up.Load() || !g.registry.Complete() {
		return "", builds.Behind, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), planPatience)
	defer cancel()
	number, err := g.planner.Latest(ctx)
	if err != nil || !g.await(func() bool { return g.book.Plan().Revision() >= number }) {
		return "", builds.Behind, false
	}
	g.await(func() bool {
		now := time.Now()
		build, k, _ = g.book.TakeUp(now, s)
		return k != builds.Behind || g.book.PlanAge(now) > reportPatience
	})
	return build, k, g.up.Load()
}

// unlist removes an endpoint.
func (p *platformSim) unlist(id string) {
	p.endpoints.set(registry.Change[*site.Endpoint]{Name: id, Removed: true})
}
