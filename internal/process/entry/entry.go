package entry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"primrosecourse/internal/connection/agent"
	"primrosecourse/internal/connection/front"
	"primrosecourse/internal/connection/peer"
	"primrosecourse/internal/event"
	"primrosecourse/internal/process/budget"
	"primrosecourse/internal/request/caller"
	"primrosecourse/internal/version/config"
	"primrosecourse/pkg/routing"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/wire"
)

// Configuration provides the configuration in force. config.Tracker implements it.
type Configuration interface {
	peer.Config
	// Run updates the configuration until ctx is done.
	Run(ctx context.Context) error
	// Current returns the version in force, or nil if there is none yet.
	Current() *config.Snapshot
}

// Entry is an entry process. The exported fields must be set before Run.
type Entry struct {
	Name string
	// Address is the HTTP listen address for callers. PeerAddress is the listen address for other entries and agents, which
	// subscribe to the configuration there.
	Address       netip.AddrPort
	PeerAddress   netip.AddrPort
	FailureDomain string
	// Incarnation identifies this start of the entry. Default: a random number.
	Incarnation   uint64
	Configuration Configuration
	// Marks relays crash marks to and from peers. It must be the relay that Configuration uses, if
	// Configuration relays marks. Default: a new relay.
	Marks *peer.Relay
	Log   logr.Logger
	// Metrics is the registry of the metrics that /metrics exports. Default: a new registry.
	Metrics metrics.Registry
	// MemoryMegabytes is the memory that the process may use, in MiB, and MaxDescriptors the number of files and sockets that it may have open.
	// What callers make the entry hold is bounded by shares of them; 0 means no bound.
	MemoryMegabytes, MaxDescriptors int
	// DrainTimeout is the time that requests in progress have to finish in a graceful shutdown. Default: DrainTimeout of
	// the configuration, or 30 s if that is not set.
	DrainTimeout time.Duration
	// NoticeTime is how long the entry still answers on kept and new connections after its readiness check has begun to fail, within
	// DrainTimeout, so that load balancers learn of the stop before connections are closed. Default 1 s.
	NoticeTime time.Duration
	// Dial connects to an agent. Default: TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Listen opens a listener. Default: TCP.
	Listen func(ctx context.Context, addr netip.AddrPort) (net.Listener, error)

	initOnce     sync.Once
	abort        chan struct{}
	abortOnce    sync.Once
	serving      chan struct{}
	boundAddress netip.AddrPort
	done         chan struct{}
	handler      *caller.Handler
	pool         *agent.Pool
	marks        *crashMarks
	blocks       *crashBlocks
	// lastShedLogNanos is the time of the last event EntryOverloaded.
	lastShedLogNanos atomic.Int64
}

const (
	// errorEventTimeout bounds the time in which cancelled requests send their error events or refusals to callers, and the
	// shutdown of the server for callers after that.
	errorEventTimeout = time.Second
	// maxHeaderBytes bounds the header of a request, idleTimeout the time for which a connection may stay idle.
	maxHeaderBytes = 64 << 10
	idleTimeout    = 2 * time.Minute
	// shedLogInterval is the shortest time between two log lines about refused connections and requests.
	shedLogInterval = time.Second
)

func (e *Entry) init() {
	e.initOnce.Do(func() {
		e.abort, e.serving, e.done = make(chan struct{}), make(chan struct{}), make(chan struct{})
		e.Incarnation = cmp.Or(e.Incarnation, rand.Uint64())
		e.Marks = cmp.Or(e.Marks, &peer.Relay{})
		e.NoticeTime = cmp.Or(e.NoticeTime, time.Second)
		if e.Metrics == nil {
			e.Metrics = metrics.NewRegistry()
		}
		if e.Listen == nil {
			e.Listen = func(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
				return (&net.ListenConfig{}).Listen(ctx, "tcp", addr.String())
			}
		}
		e.marks, e.blocks = newCrashMarks(e.Marks), &crashBlocks{}
		e.Marks.OnMark = func(m wire.Mark) { e.marks.Add(m, time.Now()) }
		loads := routing.NewLoads()
		e.pool = &agent.Pool{Name: e.Name, FailureDomain: e.FailureDomain, Incarnation: e.Incarnation, Log: e.Log, Loads: loads,
			Config: e.Configuration, Marks: e.marks, Metrics: e.Metrics, Dial: e.Dial}
		e.handler = &caller.Handler{Name: e.Name, FailureDomain: e.FailureDomain, Agents: agentPool{e.pool}, Loads: loads, Log: e.Log,
			Marks: e.marks, Blocks: e.blocks, Metrics: e.Metrics}
	})
}

// Abort makes Run cancel the requests in progress and end, without waiting for their completion. It may be called more than
// once.
func (e *Entry) Abort() {
	e.init()
	e.abortOnce.Do(func() { close(e.abort) })
}

// Serving returns a channel that is closed when the listeners are open.
func (e *Entry) Serving() <-chan struct{} {
	e.init()
	return e.serving
}

// BoundAddress returns the address that the caller listener is bound to, which differs from Address if the port of Address
// is 0. It is valid once Serving is closed.
func (e *Entry) BoundAddress() netip.AddrPort { return e.boundAddress }

// Done returns a channel that is closed when Run has ended.
func (e *Entry) Done() <-chan struct{} {
	e.init()
	return e.done
}

// Run serves until ctx is done, Abort is called or a component ends, and then shuts down. It returns after all its
// goroutines have ended.
func (e *Entry) Run(ctx context.Context) (err error) {
	e.init()
	defer close(e.done)
	defer func() { err = errors.Wrapf(err, "entry %s", e.Name) }()
	callerListener, err := e.Listen(ctx, e.Address)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	peerListener, err := e.Listen(ctx, e.PeerAddress)
	if err != nil {
		_ = callerListener.Close()
		return errors.Wrap(err, "listen for peers")
	}
	if addr, err := netip.ParseAddrPort(callerListener.Addr().String()); err == nil {
		e.boundAddress = addr
	}
	event.Info(e.Log, event.EntryStarted, "name", e.Name, "address", callerListener.Addr().String(),
		"peers", peerListener.Addr().String(), "failureDomain", e.FailureDomain, "incarnation", e.Incarnation)
	close(e.serving)

	// The components outlive ctx, since requests in progress need them until they are drained.
	workCtx, cancelWork := context.WithCancel(context.Background())
	defer cancelWork()
	callers := front.New(front.HTTPHandler{Handler: e.handler})
	callers.Limits, callers.Refusal, callers.Shed = e.limits, e.handler.Refusal, e.recordShed
	budget.New(e.MemoryMegabytes, e.MaxDescriptors).Bound(callers)
	peerServer := &peer.Server{Name: e.Name, FailureDomain: e.FailureDomain, Incarnation: e.Incarnation, Config: e.Configuration,
		Marks: e.Marks, Log: e.Log}
	components := []func() error{
		func() error { return e.Configuration.Run(workCtx) },
		func() error { return peerServer.Run(workCtx, peerListener) },
		func() error { return e.pool.Run(workCtx) },
		func() error { return e.watchConfiguration(workCtx) },
		func() error { return callers.Run(workCtx, callerListener) },
	}
	results := make(chan error, len(components))
	for _, run := range components {
		go func() { results <- run() }()
	}
	running := len(components)
	select {
	case <-ctx.Done():
	case <-e.abort:
	case err = <-results:
		running--
		if err == nil {
			err = errors.New("a component ended unexpectedly")
		}
	}
	callers.Drain()
	e.drain()
	closeCallers(callers, callerListener)
	cancelWork()
	for range running {
		err = errors.CombineErrors(err, <-results)
	}
	event.Info(e.Log, event.EntryStopped, "name", e.Name)
	return err
}

// limits returns the limits on requests of callers that are in force.
func (e *Entry) limits() site.Limits {
	limits := site.Limits{HeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout}
	if s := e.Configuration.Current(); s != nil {
		l := caller.LimitsWithDefaults(s.Deployment)
		limits.BodyBytes, limits.HeaderTimeout, limits.BodyTimeout = l.MaxBodyBytes, l.HeaderTimeout, l.BodyTimeout
	}
	return limits
}

// recordShed counts a connection or request that exceeds the memory or descriptors. It logs at most one of them in shedLogInterval.
func (e *Entry) recordShed(what front.Excess) {
	metrics.GetOrRegisterCounter("Shed."+what.String(), e.Metrics).Inc(1)
	now := time.Now().UnixNano()
	if last := e.lastShedLogNanos.Load(); now-last >= int64(shedLogInterval) && e.lastShedLogNanos.CompareAndSwap(last, now) {
		event.Info(e.Log, event.EntryOverloaded, "name", e.Name, "what", what.String())
	}
}

// closeCallers closes the connections of callers. After drain, there remain idle connections, requests that have just arrived, responses that
// are being flushed, and requests that did not end within errorEventTimeout of their cancellation.
func closeCallers(callers *front.Server, l net.Listener) {
	end := time.Now().Add(errorEventTimeout)
	callers.CloseIdle()
	for callers.Busy() > 0 && time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
		callers.CloseIdle()
	}
	_ = l.Close()
	for callers.Busy() > 0 && time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
		callers.CloseIdle()
	}
	callers.CloseAll()
}

// drain waits until the requests in progress have ended and NoticeTime has passed. It cancels those that remain after the drain timeout or
// when Abort is called, and then waits for at most errorEventTimeout.
func (e *Entry) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), e.drainTimeout())
	defer cancel()
	drained := make(chan struct{})
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		select {
		case <-e.abort:
			cancel()
		case <-drained:
		}
	}()
	event.Info(e.Log, event.EntryDraining, "name", e.Name, "timeout", e.drainTimeout().String())
	notice := time.NewTimer(e.NoticeTime)
	defer notice.Stop()
	remaining := e.handler.Drain(ctx)
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	close(drained)
	<-watcherDone
	if len(remaining) == 0 {
		return
	}
	cancelled := e.handler.CancelAll()
	keysAndValues := []any{"name", e.Name}
	for kind, n := range cancelled {
		keysAndValues = append(keysAndValues, kind, n)
	}
	event.Info(e.Log, event.EntryCutOff, keysAndValues...)
	eventCtx, cancelEvents := context.WithTimeout(context.Background(), errorEventTimeout)
	defer cancelEvents()
	e.handler.Drain(eventCtx)
}

func (e *Entry) drainTimeout() time.Duration {
	configured := 30 * time.Second
	if s := e.Configuration.Current(); s != nil && s.Deployment.Limits.DrainTimeout > 0 {
		configured = s.Deployment.Limits.DrainTimeout
	}
	return cmp.Or(e.DrainTimeout, configured)
}

// watchConfiguration applies the version in force whenever it changes, until ctx is done. A version that is soon replaced may
// be skipped.
func (e *Entry) watchConfiguration(ctx context.Context) error {
	ready := false
	for {
		changed := e.Configuration.Changed()
		if s := e.Configuration.Current(); s != nil {
			e.apply(s)
			if !ready {
				ready = true
				event.Info(e.Log, event.EntryReady, "name", e.Name, "version", s.Version)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (e *Entry) apply(s *config.Snapshot) {
	e.handler.Apply(s.Version, s.Deployment)
	e.marks.setQuarantineTime(s.Deployment.Limits.QuarantineTime)
	e.blocks.setQuarantineTime(s.Deployment.Limits.QuarantineTime)
	listed := make(map[string]bool, len(s.Deployment.Endpoints))
	for _, endpoint := range s.Deployment.Endpoints {
		listed[endpoint.Name] = true
	}
	e.pool.Retain(func(name string) bool { return listed[name] })
}

// agentPool adapts agent.Pool to the interface caller.Agents.
type agentPool struct{ *agent.Pool }

// Submit implements caller.Agents. If it fails, it returns a nil interface instead of a nil *agent.Stream.
func (p agentPool) Submit(ctx context.Context, to agent.Target, s wire.Submit) (caller.Stream, error) {
	stream, err := p.Pool.Submit(ctx, to, s)
	if err != nil {
		return nil, err
	}
	return stream, nil
}
