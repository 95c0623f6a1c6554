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
	"primrosecourse/pkg/intake"
	"primrosecourse/pkg/quarantine"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/warmup"
	"primrosecourse/pkg/wire"
)

// ErrFenced is returned by Run after the engine refused an order because it had seen one with a later epoch.
var ErrFenced = errors.New("agent: fenced by a later agent of the same engine")

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
	// Permits limits concurrent weight loads. Default: the site's load permits, stored in Platform.
	Permits Permits
	// PermitPatience is the wait for a load permit after which the agent checks whether the platform is reachable.
	// Default 5 s.
	PermitPatience time.Duration
	// Blocks transfers cache blocks; optional.
	Blocks Blocks
	// SpreadMark sends the marks made by this agent to peers, in addition to the connected entries; optional.
	SpreadMark func(wire.Mark)
	Log        logr.Logger
	// Metrics is the registry of the agent's metrics. Default: a new registry.
	Metrics metrics.Registry
	// Incarnation identifies this start of the agent. Default: a random number.
	Incarnation uint64
	// ReconcileInterval is the maximum time between two health checks of an engine that serves what the configuration
	// says. Default 3 s.
	ReconcileInterval time.Duration
	// ConfigWait is the maximum time that a request waits for the configuration version that the entry routed it with.
	// Default 500 ms, much longer than a round trip within a region.
	ConfigWait time.Duration

	initOnce    sync.Once
	server      *entry.Server
	config      atomic.Pointer[localConfig]
	wake        chan struct{} // wakes the dispatcher; buffer of one
	recheck     chan struct{} // wakes reconcileLoop; buffer of one
	markQueue   chan wire.Mark
	abortedInit sync.Once
	aborted     chan struct{}
	abortOnce   sync.Once
	forceStop   chan struct{} // closed when stopping is set
	fenceOnce   sync.Once
	fenced      chan struct{}
	epochRaised chan struct{} // closed once epoch is set
	epoch       uint64
	lastServing engineStatus // last status logged as EngineServing, zero after a mismatch; used only by reconcileLoop

	// work counts the prompts, calls and engine orders in progress.
	work sync.WaitGroup

	mu        sync.Mutex
	draining  bool
	stopping  bool // the drain was cut short; running requests are cancelled
	status    engineStatus
	queue     *fairqueue.Queue[*prompt]
	allowance *warmup.Allowance
	// listening is set once the address is open.
	listening atomic.Bool
	// intake holds the rate that the engine states, under engineIntake.
	intake *intake.Table
	// reportedAt is when the last status report was asked for; the dispatcher alone uses it.
	reportedAt time.Time
	// rateWait is the time until the dispatcher, which alone uses it, tries again to submit a prompt that the rate forbade.
	rateWait time.Duration
	marks    *quarantine.Table
	active   map[string]*prompt // submitted and not ended, by runID
	suspects int                // number of active prompts with suspect set
	calls    int
	runCount uint64
}

func (a *Agent) init() {
	a.initOnce.Do(func() {
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
		a.markQueue = make(chan wire.Mark, markQueueLength)
		a.forceStop = make(chan struct{})
		a.fenced = make(chan struct{})
		a.epochRaised = make(chan struct{})
		a.queue = fairqueue.New[*prompt](fairqueue.Settings{Share: a.organisationShare})
		a.allowance = warmup.New(warmup.Settings{})
		a.intake = intake.New()
		a.marks = quarantine.New(quarantine.Settings{})
		a.active = map[string]*prompt{}
		a.server = &entry.Server{
			Name: a.Name, FailureDomain: a.FailureDomain, Incarnation: a.Incarnation,
			Handler: a, Configuration: a.Configuration, Log: a.Log,
		}
	})
}

// Run serves until ctx is done and then shuts down gracefully. It returns ErrFenced if the engine refused an order
// because of the epoch of a later agent, and nil after a shutdown, even if DrainTimeout or Abort cancelled requests.
func (a *Agent) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "agent %s", a.Name) }()
	a.init()
	listener, err := a.listen(ctx)
	if err != nil || listener == nil {
		return err
	}
	a.listening.Store(true)
	event.Info(a.Log, event.AgentStarted, "Name", a.Name, "Address", listener.Addr().String(),
		"FailureDomain", a.FailureDomain, "Incarnation", a.Incarnation)
	defer func() { event.Info(a.Log, event.AgentStopped, "Name", a.Name) }()

	taskCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	var tasks sync.WaitGroup
	for _, task := range a.backgroundTasks() {
		tasks.Go(func() { task(taskCtx) })
	}
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	serveErr := make(chan error, 1)
	go func() { serveErr <- a.server.Serve(serveCtx, listener) }()
	select {
	case <-ctx.Done():
	case <-a.abortedChan():
	case <-a.fenced:
		err = ErrFenced
	case err = <-serveErr:
		serveErr <- nil // received again below
	}
	a.drain()
	// The address is released last: when a successor can listen on it, no order of this agent is in progress.
	stopTasks()
	tasks.Wait()
	stopServing()
	return errors.CombineErrors(err, <-serveErr)
}

// backgroundTasks returns the functions that run beside the server, each in its own goroutine.
func (a *Agent) backgroundTasks() []func(context.Context) {
	tasks := []func(context.Context){a.writeMarks}
	if a.Platform != nil {
		tasks = append(tasks, a.raiseEpoch, a.readMarks)
	}
	if a.Kind == settings.ModelEndpoint {
		tasks = append(tasks, a.reconcileLoop, a.dispatch)
	}
	return tasks
}

// listenRetryInterval is the time between two attempts to listen on the address.
const listenRetryInterval = 100 * time.Millisecond

// listen retries while a predecessor still uses the address. It returns nil if ctx ends first.
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
		case <-time.After(listenRetryInterval):
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// Ready reports whether the agent accepts requests. It does not while its address is not open, for example since its predecessor has it.
func (a *Agent) Ready() bool {
	if !a.listening.Load() {
		return false
	}
	switch a.Load().State {
	case wire.StateCold, wire.StateWarm:
		return true
	}
	return false
}

// Load implements entry.Handler.
func (a *Agent) Load() wire.LoadState {
	a.init()
	cfg := a.currentConfig()
	a.mu.Lock()
	defer a.mu.Unlock()
	load := wire.LoadState{
		Running: len(a.active) + a.calls, Queued: a.queue.Len(), QueuedTokens: int(a.queue.Cost()),
		Allowance: a.allowance.Limit(), State: wire.StateWarm,
	}
	// Running prefills delay a new prompt as much as queued ones do, but they have left the queue for the engine's
	// batch.
	for _, p := range a.active {
		load.QueuedTokens += p.prefillTokens
	}
	if cfg != nil {
		load.ConfigVersion = cfg.version()
	}
	switch {
	case a.draining:
		load.State = wire.StateDraining
	case cfg == nil:
		load.State = wire.StateUnknown
	case cfg.endpoint == nil || cfg.leaving:
		load.State = wire.StateLeaving
	case a.Kind == settings.ServiceEndpoint:
		if a.Orders != nil && !a.Orders.Ready() {
			load.State = wire.StateUnknown
		}
	case !a.status.serves(cfg):
		load.State = wire.StateDown
	case a.allowance.Cold():
		load.State = wire.StateCold
	}
	return load
}

func (a *Agent) count(name string) { metrics.GetOrRegisterCounter(name, a.Metrics).Inc(1) }

// notify wakes the goroutine that waits on c, which has a buffer of one. It does not block.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
