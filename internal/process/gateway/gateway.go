package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"primrosecourse/internal/connection/endpoint"
	"primrosecourse/internal/connection/enginecache"
	"primrosecourse/internal/connection/front"
	"primrosecourse/internal/connection/kvstore"
	"primrosecourse/internal/connection/loads"
	"primrosecourse/internal/event"
	"primrosecourse/internal/request/forward"
	"primrosecourse/internal/version/registry"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/tiering"
)

// Part is a part of the process that runs beside the requests.
type Part interface {
	// Run runs the part until ctx is done and returns once its goroutines ended.
	Run(ctx context.Context) error
}

// Gateway is the process. Its exported fields are set before Run.
type Gateway struct {
	Settings Settings
	Registry *registry.Registry
	Codec    forward.Codec
	// Tiers are the KV stores. They are run with the other parts.
	Tiers *kvstore.Catalog
	// EngineEvents reads what engines keep; it may be nil.
	EngineEvents enginecache.Events
	// ReadyPath is the path at which the balancer asks for readiness.
	ReadyPath string
	// Parts are run beside the gateway's own parts until requests have been finished.
	Parts   []Part
	Log     logr.Logger
	Metrics metrics.Registry

	draining atomic.Bool
	shedAt   atomic.Int64
	abort    chan struct{}
	aborted  sync.Once
	once     sync.Once
	table    *placement.Table
	pool     *endpoint.Pool
	crashes  *forward.CrashWatch
	front    *front.Server
}

const (
	// noticeTime is how long new connections are taken after readiness went off: the balancer asks once a second and takes a
	// process out after two misses.
	noticeTime = 2700 * time.Millisecond
	// overloadPause is the shortest time after which a request that found no room is asked to come back: most requests end
	// within it.
	overloadPause = 500 * time.Millisecond
	// shedPeriod is the time between two lines on what exceeds the budget.
	shedPeriod = time.Second
	// stopReserve is what is left of the stop time when the last requests are cut off.
	stopReserve = 500 * time.Millisecond
)

func (g *Gateway) init() {
	g.once.Do(func() {
		g.abort = make(chan struct{})
		g.table = placement.New()
		g.pool = endpoint.New()
		if g.Tiers.Floors == nil {
			g.Tiers.Floors = &tiering.Floors{}
		}
		if g.Metrics == nil {
			g.Metrics = metrics.NewRegistry()
		}
		dialed := metrics.GetOrRegisterCounter("Endpoint.Connections", g.Metrics)
		g.pool.Dialed = func(string) { dialed.Inc(1) }
		lost := metrics.GetOrRegisterCounter("Crashes.NotLookedInto", g.Metrics)
		g.crashes = &forward.CrashWatch{Marks: g.Registry, Endpoints: g.pool, Log: g.Log, Dropped: func() { lost.Inc(1) }}
		handler := &forward.Handler{Domain: g.Settings.FailureDomain, Codec: g.Codec, View: g.Registry, Table: g.table,
			Endpoints: g.pool, Crashes: g.crashes, Tiers: g.Tiers, Log: g.Log, Metrics: g.Metrics,
			Limits: forward.Limits{RepeatRatio: g.Settings.RepeatRatio, RepeatExtra: g.Settings.RepeatExtra,
				RepeatSpan: g.Settings.RepeatSpan}}
		g.front = front.New(handler)
		g.front.Limits = g.limits
		budget := g.Settings.Budget()
		g.Tiers.MaxParts = budget.Parts
		g.front.MaxConnections, g.front.MaxHeldBytes = budget.Connections, budget.HeldBytes
		g.front.Overloaded = func() http.Header { return g.Codec.Refusal("", overloadPause+rand.N(overloadPause)) }
		g.front.Shed = g.shed
		g.Registry.Changed = g.learn
	})
}

// shed counts what exceeds the budget and tells the log now and then.
func (g *Gateway) shed(what front.Excess) {
	metrics.GetOrRegisterCounter("Shed."+what.String(), g.Metrics).Inc(1)
	now := time.Now().UnixNano()
	if last := g.shedAt.Load(); now-last >= int64(shedPeriod) && g.shedAt.CompareAndSwap(last, now) {
		budget := g.Settings.Budget()
		event.Info(g.Log, event.GatewayOverloaded, "what", what.String(), "connections", budget.Connections,
			"heldBytes", budget.HeldBytes)
	}
}

func (g *Gateway) limits() site.Limits {
	if c := g.Registry.Current().Configuration; c != nil {
		return c.Limits
	}
	return site.Limits{}
}

// learn gives the table what the registry learned.
func (g *Gateway) learn(s *site.Snapshot) {
	now := time.Now()
	known := map[string]bool{}
	for name, endpoints := range s.Endpoints {
		var service *site.Service
		if s.Configuration != nil {
			service = s.Configuration.Services[name]
		}
		g.table.Learn(now, service, endpoints)
		for _, e := range endpoints {
			known[e.ID] = true
		}
	}
	g.table.Keep(func(id string) bool { return known[id] })
}

// Abort ends Run without waiting for what is under way. It may be called more than once.
func (g *Gateway) Abort() {
	g.init()
	g.aborted.Do(func() { close(g.abort) })
}

// Run serves until ctx is done and stops gracefully. It returns once all its goroutines ended.
func (g *Gateway) Run(ctx context.Context) (err error) {
	g.init()
	defer func() { err = errors.Wrapf(err, "gateway %s", g.Settings.Name) }()
	listeners, err := listenAll(ctx, g.Settings.Callers, g.Settings.Readiness, g.Settings.RelayAddress(),
		g.Settings.Metrics)
	if err != nil {
		return err
	}
	callers, readiness, relays, shown := listeners[0], listeners[1], listeners[2], listeners[3]
	event.Info(g.Log, event.GatewayStarted, "name", g.Settings.Name, "callers", g.Settings.Callers.String(),
		"failureDomain", g.Settings.FailureDomain, "store", g.Settings.Store.String())
	// The parts outlive ctx, since requests under way need them until they are finished.
	work, stop := context.WithCancel(context.Background())
	defer stop()
	ready := &http.Server{Handler: http.HandlerFunc(g.ready), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second}
	var parts sync.WaitGroup
	run := func(part func(context.Context) error) {
		parts.Go(func() {
			if err := part(work); err != nil {
				event.Error(g.Log, err, event.GatewayStopped, "reason", "part ended")
			}
		})
	}
	run(g.Registry.Run)
	run(g.pool.Run)
	run(g.crashes.Run)
	run(g.Tiers.Run)
	if g.EngineEvents != nil {
		follower := &enginecache.Follower{View: g.Registry, Events: g.EngineEvents, Table: g.table, Log: g.Log}
		run(follower.Run)
	}
	exchange := &loads.Exchange{Name: g.Settings.Name, Incarnation: rand.Uint64(), Address: g.Settings.LoadAddress(),
		Domain: g.Settings.FailureDomain, Peers: g.Registry, Table: g.table,
		Floors: g.Tiers.Floors, Log: g.Log}
	run(exchange.Run)
	for _, p := range g.Parts {
		run(p.Run)
	}
	relay := &http.Server{Handler: g.Tiers, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: time.Minute}
	figures := &http.Server{Handler: metricsHandler(g.Metrics), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: time.Minute}
	serving := make(chan error, 4)
	go func() { serving <- figures.Serve(shown) }()
	go func() { serving <- relay.Serve(relays) }()
	go func() { serving <- g.front.Run(work, callers) }()
	go func() { serving <- ready.Serve(readiness) }()
	<-ctx.Done()
	g.drain(callers)
	_ = ready.Close()
	_ = relay.Close()
	_ = figures.Close()
	stop()
	for range cap(serving) {
		<-serving
	}
	parts.Wait()
	event.Info(g.Log, event.GatewayStopped, "name", g.Settings.Name)
	return nil
}

// listenAll opens listeners at all addresses, or none.
func listenAll(ctx context.Context, addresses ...netip.AddrPort) (listeners []net.Listener, err error) {
	for _, addr := range addresses {
		l, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", addr.String())
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, err
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// drain finishes what is under way.
func (g *Gateway) drain(callers net.Listener) {
	begun := time.Now()
	g.draining.Store(true)
	g.front.Drain()
	event.Info(g.Log, event.GatewayDraining, "active", g.front.Active())
	g.pause(noticeTime)
	_ = callers.Close()
	g.front.CloseIdle()
	last := begun.Add(g.Settings.StopTime - stopReserve)
	for g.front.Active() > 0 && time.Now().Before(last) && g.pause(20*time.Millisecond) {
		g.front.CloseIdle()
	}
	event.Info(g.Log, event.GatewayDraining, "active", g.front.Active(), "cutOff", true)
	g.front.CloseAll()
}

// pause waits for d and reports false if the process is to end at once.
func (g *Gateway) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-g.abort:
		return false
	case <-timer.C:
		return true
	}
}

// ready answers the balancer.
func (g *Gateway) ready(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != g.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case g.draining.Load() || !g.Registry.Complete():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}
