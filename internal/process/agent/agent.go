package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"primrosecourse/internal/connection/entry"
	"primrosecourse/internal/event"
	"primrosecourse/internal/process/loadpermits"
	"primrosecourse/pkg/fairqueue"
	"primrosecourse/pkg/quarantine"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/warmup"
	"primrosecourse/pkg/wire"
)

// ErrFenced is what Run returns after the engine refused an order because a later agent had given one.
var ErrFenced = errors.New("agent: a later agent gives orders to the engine")

// Agent is the process beside one endpoint. Its fields are set before Run.
type Agent struct {
	Name          string
	Address       netip.AddrPort
	FailureDomain string
	Kind          settings.EndpointKind
	// Engine is needed by model endpoints, Orders and Service by service endpoints.
	Engine        Engine
	Orders        Orders
	Service       Service
	Platform      Platform
	Configuration Configuration
	// Permits bounds weight loads. Default the permits of the site, over Platform.
	Permits Permits
	// PermitPatience is the wait for a load permit after which the platform is asked whether it answers at all. Default
	// 5 s.
	PermitPatience time.Duration
	// Blocks moves cache blocks; optional.
	Blocks Blocks
	// SpreadMark is told the marks that this agent makes, beside the connected entries; optional.
	SpreadMark func(wire.Mark)
	Log        logr.Logger
	// Metrics takes the counters. Default a registry of its own.
	Metrics metrics.Registry
	// Incarnation differs between two starts of the agent. Default random.
	Incarnation uint64
	// ReconcileInterval is the time between two read-backs of an engine that serves what it should. Default 3 s.
	ReconcileInterval time.Duration
	// ConfigWait is how long a request waits for the configuration of the entry that routed it. Default 500 ms, some
	// round trips within a region.
	ConfigWait time.Duration

	once    sync.Once
	server  *entry.Server
	view    atomic.Pointer[view]
	wake    chan struct{} // tells the dispatcher; has room for one
	recheck chan struct{} // tells the keeper; has room for one
	marks   chan wire.Mark
	aborts  sync.Once
	aborted chan struct{}
	abort   sync.Once
	cut     chan struct{} // closed when stopping
	fence   sync.Once
	fenced  chan struct{}
	epochOK chan struct{} // closed once epoch is set
	epoch   uint64
	served  engineStatus // that was logged as serving; only the keeper uses it

	// work counts the requests and calls that were let in.
	work sync.WaitGroup

	mu        sync.Mutex
	draining  bool
	stopping  bool // the drain is over; what still runs is cut off
	status    engineStatus
	queue     *fairqueue.Queue[*prompt]
	allowance *warmup.Allowance
	table     *quarantine.Table
	active    map[string]*prompt // submitted and not ended, by the identifier at the engine
	suspects  int                // suspects among them
	calls     int
	sequence  uint64
}

func (a *Agent) init() {
	a.once.Do(func() {
		if a.Incarnation == 0 {
			a.Incarnation = rand.Uint64() | 1
		}
		if a.Metrics == nil {
			a.Metrics = metrics.NewRegistry()
		}
		if a.ReconcileInterval <= 0 {
			a.ReconcileInterval = 3 * time.Second
		}
		if a.ConfigWait <= 0 {
			a.ConfigWait = 500 * time.Millisecond
		}
		if a.Permits == nil {
			a.Permits = &sitePermits{loadpermits.Permits{Platform: a.Platform, Holder: a.Name}}
		}
		if a.PermitPatience <= 0 {
			a.PermitPatience = 5 * time.Second
		}
		a.wake = make(chan struct{}, 1)
		a.recheck = make(chan struct{}, 1)
		a.marks = make(chan wire.Mark, markQueueLength)
		a.cut = make(chan struct{})
		a.fenced = make(chan struct{})
		a.epochOK = make(chan struct{})
		a.queue = fairqueue.New[*prompt](fairqueue.Settings{Share: a.share})
		a.allowance = warmup.New(warmup.Settings{})
		a.table = quarantine.New(quarantine.Settings{})
		a.active = map[string]*prompt{}
		a.server = &entry.Server{
			Name: a.Name, FailureDomain: a.FailureDomain, Incarnation: a.Incarnation,
			Handler: a, Configuration: a.Configuration, Log: a.Log,
		}
	})
}

// Run serves until ctx is done and then shuts down gracefully. It returns ErrFenced if a later agent is in charge of
// the engine, and nil after a graceful shutdown, cut off or not.
func (a *Agent) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "agent %s", a.Name) }()
	a.init()
	listener, err := a.listen(ctx)
	if err != nil || listener == nil {
		return err
	}
	event.Info(a.Log, event.AgentStarted, "Name", a.Name, "Address", listener.Addr().String(),
		"FailureDomain", a.FailureDomain, "Incarnation", a.Incarnation)
	defer func() { event.Info(a.Log, event.AgentStopped, "Name", a.Name) }()

	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var parts sync.WaitGroup
	for _, part := range a.parts() {
		parts.Go(func() { part(life) })
	}
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	served := make(chan error, 1)
	go func() { served <- a.server.Serve(serving, listener) }()
	select {
	case <-ctx.Done():
	case <-a.abortion():
	case <-a.fenced:
		err = ErrFenced
	case err = <-served:
		served <- nil // read again below
	}
	a.drain()
	// The address is given up last: a successor that takes it must find no order of this agent under way.
	end()
	parts.Wait()
	stopServing()
	return errors.CombineErrors(err, <-served)
}

// parts are the goroutines that run beside the server.
func (a *Agent) parts() []func(context.Context) {
	parts := []func(context.Context){a.writeMarks}
	if a.Platform != nil {
		parts = append(parts, a.raiseEpoch, a.readMarks)
	}
	if a.Kind == settings.ModelEndpoint {
		parts = append(parts, a.keep, a.dispatch)
	}
	return parts
}

// listenRetry is the time between two tries to take the address.
const listenRetry = 100 * time.Millisecond

// listen waits until a predecessor has given the address up. It returns nil if ctx ends before.
func (a *Agent) listen(ctx context.Context) (net.Listener, error) {
	logged := false
	for {
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a.Address))
		if err == nil {
			return l, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
		if !logged {
			event.Info(a.Log, event.AgentAddressTaken, "Address", a.Address.String())
			logged = true
		}
		select {
		case <-time.After(listenRetry):
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// Ready reports whether the agent takes work.
func (a *Agent) Ready() bool {
	switch a.Load().State {
	case wire.StateCold, wire.StateWarm:
		return true
	}
	return false
}

// Load implements entry.Handler.
func (a *Agent) Load() wire.LoadState {
	a.init()
	v := a.current()
	a.mu.Lock()
	defer a.mu.Unlock()
	load := wire.LoadState{
		Running: len(a.active) + a.calls, Queued: a.queue.Len(), QueuedTokens: int(a.queue.Cost()),
		Allowance: a.allowance.Limit(), State: wire.StateWarm,
	}
	// What the engine computes delays a new prompt as much as what is queued, and the batch hides it from the queue.
	for _, p := range a.active {
		load.QueuedTokens += p.prefillTokens
	}
	if v != nil {
		load.ConfigVersion = v.version()
	}
	switch {
	case a.draining:
		load.State = wire.StateDraining
	case v == nil:
		load.State = wire.StateUnknown
	case v.endpoint == nil || v.leaving:
		load.State = wire.StateLeaving
	case a.Kind == settings.ServiceEndpoint:
		if a.Orders != nil && !a.Orders.Ready() {
			load.State = wire.StateUnknown
		}
	case !a.status.serves(v):
		load.State = wire.StateDown
	case a.allowance.Cold():
		load.State = wire.StateCold
	}
	return load
}

func (a *Agent) count(name string) { metrics.GetOrRegisterCounter(name, a.Metrics).Inc(1) }

// tell wakes a goroutine that waits on a channel with room for one.
func tell(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
