package agent_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/internal/process/agent"
	"primrosecourse/internal/process/endpoints"
	"primrosecourse/internal/process/engine"
	standin "primrosecourse/internal/standin/engine"
	"primrosecourse/internal/standin/fault"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// TestWeightSwapDuringRuns guards against a weight swap that breaks runs, and new requests that run on the old weights
// or use their cache blocks.
func TestWeightSwapDuringRuns(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.Settings{WarmStart: true})
	conn := f.dial()
	const text = "a shared prompt of several blocks"
	is.Equal(conn.submit(f.newPrompt("R1", text)).awaitEnd().Finish, wire.FinishLength)
	old := f.newPrompt("R2", text)
	f.engine.Pause(true)
	running := conn.submit(old)
	is.True(running.awaitAccepted().CachedTokens > 0)

	f.config.set(deployment("v2"))
	f.awaitEvent("EngineOrdered")
	f.awaitEvent("EngineServing")
	is.Equal(conn.submit(old).awaitRefused().Reason, wire.ReasonOldConfig)
	old.ConfigVersion = f.config.Version()
	is.Equal(conn.submit(old).awaitRefused().Reason, wire.ReasonWrongVersion)
	swapped := conn.submit(f.newPrompt("R3", text))
	is.Equal(swapped.awaitAccepted().CachedTokens, 0)
	f.engine.Pause(false)
	is.Equal(running.awaitEnd().Finish, wire.FinishLength)
	is.Equal(swapped.awaitEnd().Finish, wire.FinishLength)
	for _, run := range f.engine.Ledger().Runs {
		is.Equal(run.ForeignBlocks, 0)
		is.Equal(run.Version == "v2", run.RequestID == "R3")
	}
}

// TestConfigChangeRefusesQueued guards against requests that stay queued or run after a new configuration disallows
// them.
func TestConfigChangeRefusesQueued(t *testing.T) {
	leaving := deployment("v1")
	leaving.Endpoints[0].State = settings.Leaving
	for name, test := range map[string]struct {
		next settings.Deployment
		want wire.Reason
	}{
		"other weights": {deployment("v2"), wire.ReasonWrongVersion},
		"leaving":       {leaving, wire.ReasonLeaving},
	} {
		t.Run(name, func(t *testing.T) { testConfigChange(t, test.next, test.want) })
	}
}

func testConfigChange(t *testing.T, next settings.Deployment, want wire.Reason) {
	is := is.New(t)
	f := start(t, standin.Settings{})
	f.engine.Pause(true)
	conn := f.dial()
	running := []stream{conn.submit(f.newPrompt("R1", "a")), conn.submit(f.newPrompt("R2", "b"))}
	running[0].awaitAccepted()
	running[1].awaitAccepted()
	queued := conn.submit(f.newPrompt("R3", "R3"))
	f.awaitQueued(1)
	f.config.set(next)
	is.Equal(queued.awaitRefused().Reason, want)
	f.engine.Pause(false)
	is.Equal(running[0].awaitEnd().Finish, wire.FinishLength)
	is.Equal(running[1].awaitEnd().Finish, wire.FinishLength)
}

// TestReconcileMismatch guards against requests that run on an engine whose model, weights or role are not as
// configured.
func TestReconcileMismatch(t *testing.T) {
	for name, change := range map[string]func(e *standin.Engine){
		"version": func(e *standin.Engine) { e.Set("", "v0", "") },
		"model":   func(e *standin.Engine) { e.Set("M0", "", "") },
		"role":    func(e *standin.Engine) { e.Set("", "", "Idle") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, standin.Settings{})
			f.engine.Faults.Set(fault.Rule{Kind: fault.Refuse, Status: 500, Route: "/orders"})
			change(f.engine)
			f.awaitEvent("EngineOrderFailed")
			r := f.dial().submit(f.newPrompt("R1", "text")).awaitRefused()
			is.Equal(r.Reason, wire.ReasonWrongVersion)
			is.Equal(f.Load().State, wire.StateDown)
			f.engine.Faults.ClearAll()
			f.awaitEvent("EngineServing")
			is.Equal(f.dial().submit(f.newPrompt("R2", "text")).awaitEnd().Finish, wire.FinishLength)
			is.Equal(len(f.engine.Ledger().Runs), 1)
		})
	}
}

// blockedEngine blocks each order right before it is sent, like an agent process that is paused there.
type blockedEngine struct {
	agent.Engine
	ordering chan engine.Order
	resume   chan struct{}
}

func (e *blockedEngine) Order(ctx context.Context, o engine.Order) error {
	e.ordering <- o
	<-e.resume
	return e.Engine.Order(ctx, o)
}

// TestPausedAgent guards against a paused agent that resumes and sends its order after its successor sent a newer one.
func TestPausedAgent(t *testing.T) {
	// An engine that checks epochs refuses the order, even though the successor uses another address here. For an
	// engine that ignores epochs, the successor must not start before the paused agent has ended.
	for _, checks := range []bool{true, false} {
		t.Run(map[bool]string{true: "engine checks epochs", false: "engine ignores epochs"}[checks], func(t *testing.T) {
			is := is.New(t)
			f := setUp(t, standin.Settings{ChecksFencing: checks})
			paused := &blockedEngine{f.Agent.Engine, make(chan engine.Order, 1), make(chan struct{})}
			f.Agent.Engine = paused
			f.config.set(deployment("v2"))
			f.run()
			is.Equal((<-paused.ordering).Epoch, uint64(1))

			successor := &fixture{t: t, engine: f.engine, config: f.config, done: make(chan error, 1),
				events: make(chan string, 100_000)}
			log := logr.New(logSink{successor.events})
			successor.Agent = &agent.Agent{
				Name: f.Name, Address: f.Address, FailureDomain: "South", Engine: f.client, Platform: f.objects,
				Configuration: f.config, ReconcileInterval: 20 * time.Millisecond, Log: log,
			}
			f.config.set(deployment("v3"))
			if checks {
				successor.Address = freeAddress(t)
				successor.run().awaitEvent("EngineServing")
				close(paused.resume)
				is.True(errors.Is(<-f.done, agent.ErrFenced))
				close(f.done)
				is.Equal(f.engine.Health().Version, "v3")
				return
			}
			ctx, cancel := context.WithCancel(context.Background())
			successor.stop = cancel
			go func() { successor.done <- successor.Agent.Run(ctx) }()
			successor.awaitEvent("AgentAddressTaken")
			is.Equal(len(f.engine.Ledger().Orders), 0) // the successor has sent no order
			object, err := f.objects.Store.Get(endpoints.Kind, f.Name)
			is.NoErr(err)
			is.True(strings.Contains(string(object.Value), `"Epoch":1`))
			f.stop()
			f.awaitEvent("AgentDraining")
			close(paused.resume)
			is.NoErr(<-f.done)
			close(f.done)
			successor.awaitEvent("EngineServing")
			cancel()
			is.NoErr(<-successor.done)
			var epochs []uint64
			for _, o := range f.engine.Ledger().Orders {
				epochs = append(epochs, o.Epoch)
			}
			is.Equal(epochs, []uint64{1, 2})
			is.Equal(f.engine.Health().Version, "v3")
		})
	}
}

// logSink sends the names of events to a channel and drops them when it is full.
type logSink struct{ names chan string }

func (s logSink) Init(logr.RuntimeInfo)                {}
func (s logSink) Enabled(int) bool                     { return true }
func (s logSink) Error(_ error, name string, _ ...any) { s.Info(0, name) }
func (s logSink) WithValues(...any) logr.LogSink       { return s }
func (s logSink) WithName(string) logr.LogSink         { return s }

func (s logSink) Info(_ int, name string, _ ...any) {
	select {
	case s.names <- name:
	default:
	}
}

// TestEpochRaisedAfterOutage guards against an epoch that is not raised, or is raised twice after a lost response, and
// against a platform outage that stops prompts.
func TestEpochRaisedAfterOutage(t *testing.T) {
	is := is.New(t)
	f := setUp(t, standin.Settings{})
	f.objects.Faults.Set(fault.Rule{Kind: fault.ReplyLost, Method: "PUT", Count: 1})
	outage := f.objects.Faults.Set(fault.Rule{Kind: fault.Outage, Skip: 1})
	f.run().awaitEvent("EngineServing")
	is.Equal(f.dial().submit(f.newPrompt("R1", "text")).awaitEnd().Finish, wire.FinishLength)
	f.config.set(deployment("v2"))
	f.awaitEvent("EngineDiffers")
	is.Equal(len(f.engine.Ledger().Orders), 0)
	f.objects.Faults.Clear(outage)
	f.awaitEvent("EngineOrdered")
	is.Equal(f.engine.Ledger().Orders[0].Epoch, uint64(1))
}

// TestWeightLoadDuringOutage guards against an endpoint that has no weights until a platform outage ends.
func TestWeightLoadDuringOutage(t *testing.T) {
	f := setUp(t, standin.Settings{})
	f.PermitPatience = time.Millisecond
	f.run().awaitEvent("EpochRaised")
	f.objects.Faults.Set(fault.Rule{Kind: fault.Outage})
	f.config.set(deployment("v2"))
	f.awaitEvent("LoadPermitMissing")
	f.awaitEvent("EngineOrdered")
}

// testPermits grants a permit when the test closes granted.
type testPermits struct{ requested, granted, released chan struct{} }

func (p testPermits) Acquire(ctx context.Context) (release func(), err error) {
	p.requested <- struct{}{}
	select {
	case <-p.granted:
		return func() { close(p.released) }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// TestLoadPermit guards against a weight load without a permit, and a permit that is not released.
func TestLoadPermit(t *testing.T) {
	is := is.New(t)
	f := setUp(t, standin.Settings{})
	p := testPermits{make(chan struct{}, 1), make(chan struct{}), make(chan struct{})}
	f.Permits, f.PermitPatience = p, time.Millisecond
	f.config.set(deployment("v2"))
	f.run()
	<-p.requested
	is.Equal(len(f.engine.Ledger().Orders), 0)
	close(p.granted)
	<-p.released
	is.Equal(f.engine.Health().Version, "v2")
}
