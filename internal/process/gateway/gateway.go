package gateway

import (
	"context"
	"maps"
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
	"golang.org/x/time/rate"

	"primrosecourse/internal/connection/endpoint"
	"primrosecourse/internal/connection/enginecache"
	"primrosecourse/internal/connection/front"
	"primrosecourse/internal/connection/kvstore"
	"primrosecourse/internal/connection/loads"
	"primrosecourse/internal/connection/takeups"
	"primrosecourse/internal/connection/watchrelay"
	"primrosecourse/internal/event"
	"primrosecourse/internal/process/explain"
	"primrosecourse/internal/request/forward"
	"primrosecourse/internal/version/registry"
	"primrosecourse/pkg/builds"
	"primrosecourse/pkg/hedge"
	"primrosecourse/pkg/memory"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/staleness"
	"primrosecourse/pkg/tiering"
)

// Component is a component of the process that runs in the background.
type Component interface {
	// Run runs the component until ctx is done and returns once its goroutines have ended.
	Run(ctx context.Context) error
}

// Gateway is the gateway process. Its exported fields must be set before Run is called.
type Gateway struct {
	Settings Settings
	// Registry must not be nil. Its Ages are set by Run if they are nil.
	Registry *registry.Registry
	Codec    forward.Codec
	// Tiers is the catalog of the KV stores. It must not be nil. Run also runs it, sets its MaxParts, and its Floors if they are nil.
	Tiers *kvstore.Catalog
	// EngineEvents reads the cache events of engines. It may be nil.
	EngineEvents enginecache.Events
	// Engines asks engines for a sign of life. It may be nil; engines that stop sending are then found by the deadlines of requests.
	Engines forward.Prober
	// Relay serves the objects that this gateway reads to the others. It may be nil.
	Relay *watchrelay.Relay
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath string
	// Builds keeps streams at the build that began them; it may be nil.
	Builds *builds.Book
	// Plans confirms the plan of Builds. It must not be nil if Builds is not.
	Plans forward.Plans
	// TakeUps asks the other gateways about streams, and answers them. If it is nil, this gateway is the only one. Run also runs it.
	TakeUps *takeups.Exchange
	// Rollouts limits what is sent to the targets of rollouts; it may be nil. RolloutsChanged is called after each change of the snapshot; it
	// must not block and may be nil.
	Rollouts        forward.Rollouts
	RolloutsChanged func(*site.Snapshot)
	// Identity is how endpoints state their incarnations; it may be nil.
	Identity endpoint.Identity
	// EndpointsChanged is called after each change of the endpoints. It must not block; it may be nil.
	EndpointsChanged func()
	// Table is the record of endpoints; Run sets it if it is nil.
	Table *placement.Table
	// Components are additional components. Like the gateway's own, they run until the requests in flight have finished or have
	// been cut off.
	Components []Component
	Log        logr.Logger
	Metrics    metrics.Registry

	draining         atomic.Bool
	lastShedLogNanos atomic.Int64 // time of the last log line on load shedding, in Unix nanoseconds
	// lastDelayLogNanos is the time of the last log line on a delay, in Unix nanoseconds.
	lastDelayLogNanos atomic.Int64
	abort             chan struct{}
	abortOnce         sync.Once
	initOnce          sync.Once
	pool              *endpoint.Pool
	crashes           *forward.CrashWatch
	requests          *forward.RequestWatch
	parts             *forward.PartWatch
	silence           *forward.SilenceWatch
	handler           *forward.Handler
	links             *tiering.Links
	front             *front.Server
	// readiness serves the checks of the load balancer.
	readiness *front.Server
	ends      endLimiter
	// listedAt is when each endpoint was last listed, and placed the snapshot of which all endpoints were last taken into the placement table, at
	// placedAt. updateTable uses them.
	listedAt map[string]time.Time
	placed   *site.Snapshot
	placedAt time.Time
}

const (
	// drainNoticeTime is how long new connections are still accepted after the readiness check has begun to fail: the load balancer
	// checks once a second and removes a gateway after two failures.
	drainNoticeTime = 2700 * time.Millisecond
	// minRetryAfter is the shortest Retry-After of a request that was refused because it exceeds the budget of request bodies: most
	// requests end within this time.
	minRetryAfter = 500 * time.Millisecond
	// shedLogInterval is the shortest time between two log lines on load shedding.
	shedLogInterval = time.Second
	// minLoggedDelay is the shortest delay of the process that is logged.
	minLoggedDelay = 100 * time.Millisecond
	// dialTimeout is long enough for one lost packet on a link where packets wait, and shorter than the second after which the
	// kernel would send the first packet of a connection again: nothing has been sent, so another endpoint is tried instead.
	dialTimeout = 500 * time.Millisecond
	// stopReserve is the part of the stop time that remains when the requests still in flight are cut off.
	stopReserve = 500 * time.Millisecond
	// answerReserve is the time between the last answers and that.
	answerReserve = 150 * time.Millisecond
)

func (g *Gateway) init() {
	g.initOnce.Do(func() {
		g.abort = make(chan struct{})
		if g.Table == nil {
			g.Table = placement.New()
		}
		g.listedAt = map[string]time.Time{}
		g.links = &tiering.Links{}
		g.pool = endpoint.New()
		g.pool.DialTimeout, g.pool.Identity = dialTimeout, g.Identity
		rule := staleness.Rule{Limit: g.Settings.VersionTime}
		if g.Registry.Ages == nil {
			g.Registry.Ages = &staleness.Ages{StartAge: rule.StartAge()}
		}
		if g.Tiers.Floors == nil {
			g.Tiers.Floors = &tiering.Floors{}
		}
		g.Tiers.Lifetimes = tiering.Lifetimes{Longest: rule.LastSend()}
		if g.Metrics == nil {
			g.Metrics = metrics.NewRegistry()
		}
		dials := metrics.GetOrRegisterCounter("Endpoint.Connections", g.Metrics)
		g.pool.Dialed = func(string) { dials.Inc(1) }
		discarded := metrics.GetOrRegisterCounter("Crashes.NotLookedInto", g.Metrics)
		g.parts = &forward.PartWatch{Records: g.Registry, Log: g.Log}
		g.requests = &forward.RequestWatch{Marks: g.Registry, Log: g.Log}
		g.crashes = &forward.CrashWatch{Endpoints: g.pool, Requests: g.requests, Parts: g.parts, Log: g.Log, Dropped: func() { discarded.Inc(1) }}
		handler := &forward.Handler{Domain: g.Settings.FailureDomain, Codec: g.Codec, View: g.Registry, Table: g.Table,
			Endpoints: g.pool, Incarnations: g.pool, Crashes: g.crashes, Requests: g.requests, Parts: g.parts, Tiers: g.Tiers, Links: g.links, Builds: g.Builds, Plans: g.Plans, Rollouts: g.Rollouts, Log: g.Log, Metrics: g.Metrics,
			Staleness: rule, Lifetimes: tiering.Lifetimes{Longest: rule.LastSend()}, MaxWaiting: g.Settings.MaxWaiting,
			Limits: forward.Limits{RepeatRatio: g.Settings.RepeatRatio, RepeatExtra: g.Settings.RepeatExtra,
				RepeatSpan: g.Settings.RepeatSpan}}
		if g.TakeUps != nil {
			handler.TakeUps = g.TakeUps
		}
		if g.Settings.MaxHedgeShare > 0 {
			handler.Hedging = &hedge.Controller{MaxShare: g.Settings.MaxHedgeShare}
		}
		if g.Engines != nil {
			g.silence = &forward.SilenceWatch{Table: g.Table, Prober: g.Engines, Log: g.Log,
				Count: func(metric string) { metrics.GetOrRegisterCounter(metric, g.Metrics).Inc(1) }}
			handler.Silence = g.silence
		}
		g.handler = handler
		g.front = front.New(handler)
		g.front.Limits = g.limits
		limits := g.Settings.Budget()
		handler.Memory = memory.New(limits.AnswerBytes)
		g.pool.Memory, g.pool.SocketBytes = handler.Memory, limits.SocketBytes
		g.Tiers.MaxParts = limits.KVParts
		limits.Bound(g.front)
		g.readiness = front.New(readinessHandler{g})
		g.readiness.Limits, g.readiness.HeadersOnly = g.limits, true
		limits.Readiness().Bound(g.readiness)
		g.readiness.Shed = g.recordReadinessShed
		g.readiness.Ended = func(e front.End) {
			metrics.GetOrRegisterCounter("ReadinessConnections."+e.Ending.String(), g.Metrics).Inc(1)
		}
		g.front.Refusal = g.refusal
		g.front.Shed = g.recordShed
		g.ends.limiter = rate.NewLimiter(endsPerSecond, endsBurst)
		g.front.Ended = g.recordEnd
		g.Registry.Changed = g.updateTable
	})
}

// recordDelay records how much later than planned the process was able to act. It logs a delay of at least minLoggedDelay, at most one in
// shedLogInterval.
func (g *Gateway) recordDelay(d time.Duration) {
	metrics.GetOrRegisterGauge("Process.DelayMs", g.Metrics).Update(d.Milliseconds())
	now := time.Now().UnixNano()
	if last := g.lastDelayLogNanos.Load(); d >= minLoggedDelay && now-last >= int64(shedLogInterval) && g.lastDelayLogNanos.CompareAndSwap(last, now) {
		event.Info(g.Log, event.GatewayDelayed, "delayMs", d.Milliseconds(), "active", g.front.Active())
	}
}

// explain answers a question about where a request would go.
func (g *Gateway) explain(q *explain.Question) *explain.Explanation {
	x := g.handler.Explain(q)
	x.Gateway = g.Settings.Name
	return x
}

// limits returns the limits of the current configuration, zero if there is none.
func (g *Gateway) limits() site.Limits {
	if c := g.Registry.Current().Configuration; c != nil {
		return c.Limits
	}
	return site.Limits{}
}

// stateRetention is how long the placement table keeps what it knows of an endpoint that is no longer listed. An entry may be unreadable or
// missing for a moment, and what its endpoint stated in answers still holds when it returns.
const stateRetention = 30 * time.Second

// tableInterval is the longest time for which unchanged endpoints are not taken into the placement table again. With 3,000 endpoints that takes
// milliseconds, and most of the snapshots differ in something else.
const tableInterval = time.Second

// updateTable updates the placement table with a new snapshot of the registry. It removes endpoints that have not been listed for
// stateRetention and have no requests in flight.
func (g *Gateway) updateTable(s *site.Snapshot) {
	if g.RolloutsChanged != nil {
		g.RolloutsChanged(s)
	}
	now := time.Now()
	unchanged := s.HasEndpointsOf(g.placed) && s.Configuration == g.placed.Configuration && now.Sub(g.placedAt) < tableInterval
	for name, endpoints := range s.Endpoints {
		var service *site.Service
		if s.Configuration != nil {
			service = s.Configuration.Services[name]
		}
		if unchanged {
			endpoints = coldEndpoints(endpoints)
		}
		g.Table.SetEndpoints(now, service, endpoints)
		for _, e := range endpoints {
			g.listedAt[e.ID] = now
		}
	}
	if !unchanged {
		g.placed, g.placedAt = s, now
		maps.DeleteFunc(g.listedAt, func(_ string, at time.Time) bool { return now.Sub(at) > stateRetention })
		g.Table.Retain(func(id string) bool { _, recent := g.listedAt[id]; return recent })
	}
	if g.EndpointsChanged != nil {
		g.EndpointsChanged()
	}
}

// coldEndpoints returns the endpoints whose entries state that they are cold, which the placement table counts from the latest snapshot.
func coldEndpoints(endpoints []*site.Endpoint) (cold []*site.Endpoint) {
	for _, e := range endpoints {
		if e.ColdRemaining > 0 {
			cold = append(cold, e)
		}
	}
	return cold
}

// Abort makes Run end without waiting for requests in flight, once the context of Run is done. It may be called more than once.
func (g *Gateway) Abort() {
	g.init()
	g.abortOnce.Do(func() { close(g.abort) })
}

// Run serves until ctx is done and then shuts down gracefully. It returns once all its goroutines have ended. Its error is that of
// opening the listeners; the error of a component is only logged.
func (g *Gateway) Run(ctx context.Context) (err error) {
	g.init()
	defer func() { err = errors.Wrapf(err, "gateway %s", g.Settings.Name) }()
	listeners, err := listenAll(ctx, g.Settings.Callers, g.Settings.Readiness, g.Settings.RelayAddress(),
		g.Settings.Metrics)
	if err != nil {
		return err
	}
	callerListener, readinessListener, relayListener, metricsListener := listeners[0], listeners[1], listeners[2], listeners[3]
	event.Info(g.Log, event.GatewayStarted, "name", g.Settings.Name, "callers", g.Settings.Callers.String(),
		"failureDomain", g.Settings.FailureDomain, "store", g.Settings.Store.String())
	// The components outlive ctx, since requests in flight need them until they have finished.
	componentCtx, stopComponents := context.WithCancel(context.Background())
	defer stopComponents()
	var components sync.WaitGroup
	run := func(component func(context.Context) error) {
		components.Go(func() {
			if err := component(componentCtx); err != nil {
				event.Error(g.Log, err, event.GatewayStopped, "reason", "component failed")
			}
		})
	}
	run(g.Registry.Run)
	run(g.pool.Run)
	run(g.crashes.Run)
	run(g.requests.Run)
	run(g.parts.Run)
	run(g.Tiers.Run)
	if g.silence != nil {
		run(g.silence.Run)
	}
	if g.EngineEvents != nil {
		follower := &enginecache.Follower{View: g.Registry, Events: g.EngineEvents, Table: g.Table, Log: g.Log}
		run(follower.Run)
	}
	exchange := &loads.Exchange{Name: g.Settings.Name, Incarnation: rand.Uint64(), Address: g.Settings.LoadAddress(),
		Domain: g.Settings.FailureDomain, Peers: g.Registry, Table: g.Table,
		Floors: g.Tiers.Floors, Intake: g.Table.Intake, Ages: g.Registry.Ages, Links: g.links, Saves: &g.Tiers.Saves, View: g.Registry, Delayed: g.recordDelay, Log: g.Log}
	if g.Builds != nil {
		exchange.Plan = func() uint64 { return g.Builds.Plan().Revision() }
	}
	run(exchange.Run)
	if g.TakeUps != nil {
		run(g.TakeUps.Run)
	}
	for _, c := range g.Components {
		run(c.Run)
	}
	relays := http.NewServeMux()
	relays.Handle("/", g.Tiers)
	if g.Relay != nil {
		relays.Handle(watchrelay.Path, g.Relay)
	}
	if g.TakeUps != nil {
		relays.Handle(takeups.Path, g.TakeUps)
	}
	relayServer := &http.Server{Handler: relays, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: internalHeaderBytes}
	metricsServer := &http.Server{Handler: metricsHandler(g.Metrics, explain.Handler(g.explain)), ReadHeaderTimeout: 2 * time.Second,
		ReadTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: internalHeaderBytes}
	serving := make(chan error, 4)
	go func() { serving <- metricsServer.Serve(metricsListener) }()
	go func() { serving <- relayServer.Serve(relayListener) }()
	go func() { serving <- g.front.Run(componentCtx, callerListener) }()
	go func() { serving <- g.readiness.Run(componentCtx, readinessListener) }()
	<-ctx.Done()
	g.drain(callerListener)
	_ = readinessListener.Close()
	g.readiness.CloseAll()
	_ = relayServer.Close()
	_ = metricsServer.Close()
	stopComponents()
	for range cap(serving) {
		<-serving
	}
	components.Wait()
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

// drain accepts connections for drainNoticeTime more, and waits for the requests in flight and those that are arriving. They have ended by
// answerReserve before all connections of callers are closed, which is stopReserve before the end of the stop time.
func (g *Gateway) drain(callerListener net.Listener) {
	started := time.Now()
	cutOff := started.Add(g.Settings.StopTime - stopReserve)
	g.handler.Stop(forward.Stop{EndBy: cutOff.Add(-answerReserve), LateFrom: started.Add(drainNoticeTime)})
	g.draining.Store(true)
	g.front.Drain()
	event.Info(g.Log, event.GatewayDraining, "active", g.front.Active())
	g.wait(min(drainNoticeTime, time.Until(cutOff)))
	_ = callerListener.Close()
	g.front.CloseIdle()
	for g.front.Busy() > 0 && time.Now().Before(cutOff) && g.wait(20*time.Millisecond) {
		g.front.CloseIdle()
	}
	event.Info(g.Log, event.GatewayDraining, "active", g.front.Active(), "cutOff", true)
	g.front.CloseAll()
}

// wait waits for d. It returns false at once if the gateway is aborted.
func (g *Gateway) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-g.abort:
		return false
	case <-timer.C:
		return true
	}
}
