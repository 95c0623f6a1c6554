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

// TestSwapDuringRuns guards against a swap that cuts runs, and new requests on old weights or with their blocks.
func TestSwapDuringRuns(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.Settings{WarmStart: true})
	p := f.dial()
	const text = "a shared prompt of several blocks"
	is.Equal(p.submit(f.prompt("R1", text)).end().Finish, wire.FinishLength)
	old := f.prompt("R2", text)
	f.engine.Pause(true)
	running := p.submit(old)
	is.True(running.accepted().CachedTokens > 0)

	f.config.set(deployment("v2"))
	f.await("EngineOrdered")
	f.await("EngineServing")
	is.Equal(p.submit(old).refused().Reason, wire.ReasonOldConfig)
	old.ConfigVersion = f.config.Version()
	is.Equal(p.submit(old).refused().Reason, wire.ReasonWrongVersion)
	swapped := p.submit(f.prompt("R3", text))
	is.Equal(swapped.accepted().CachedTokens, 0)
	f.engine.Pause(false)
	is.Equal(running.end().Finish, wire.FinishLength)
	is.Equal(swapped.end().Finish, wire.FinishLength)
	for _, run := range f.engine.Ledger().Runs {
		is.Equal(run.ForeignBlocks, 0)
		is.Equal(run.Version == "v2", run.RequestID == "R3")
	}
}

// TestChangeWithQueue guards against queued requests that wait on, or run, although a new configuration does not allow
// them.
func TestChangeWithQueue(t *testing.T) {
	leaving := deployment("v1")
	leaving.Endpoints[0].State = settings.Leaving
	for name, test := range map[string]struct {
		next settings.Deployment
		want wire.Reason
	}{
		"other weights": {deployment("v2"), wire.ReasonWrongVersion},
		"leaving":       {leaving, wire.ReasonLeaving},
	} {
		t.Run(name, func(t *testing.T) { changeWithQueue(t, test.next, test.want) })
	}
}

func changeWithQueue(t *testing.T, next settings.Deployment, want wire.Reason) {
	is := is.New(t)
	f := start(t, standin.Settings{})
	f.engine.Pause(true)
	p := f.dial()
	running := []stream{p.submit(f.prompt("R1", "a")), p.submit(f.prompt("R2", "b"))}
	running[0].accepted()
	running[1].accepted()
	queued := p.submit(f.prompt("R3", "R3"))
	f.queued(1)
	f.config.set(next)
	is.Equal(queued.refused().Reason, want)
	f.engine.Pause(false)
	is.Equal(running[0].end().Finish, wire.FinishLength)
	is.Equal(running[1].end().Finish, wire.FinishLength)
}

// TestReadBack guards against work on an engine that serves something else than the configuration says.
func TestReadBack(t *testing.T) {
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
			f.await("EngineOrderFailed")
			r := f.dial().submit(f.prompt("R1", "text")).refused()
			is.Equal(r.Reason, wire.ReasonWrongVersion)
			is.Equal(f.Load().State, wire.StateDown)
			f.engine.Faults.ClearAll()
			f.await("EngineServing")
			is.Equal(f.dial().submit(f.prompt("R2", "text")).end().Finish, wire.FinishLength)
			is.Equal(len(f.engine.Ledger().Runs), 1)
		})
	}
}

// pausedEngine holds orders back like a process that was stopped right before it sent them.
type pausedEngine struct {
	agent.Engine
	ordering chan engine.Order
	resume   chan struct{}
}

func (e *pausedEngine) Order(ctx context.Context, o engine.Order) error {
	e.ordering <- o
	<-e.resume
	return e.Engine.Order(ctx, o)
}

// TestPausedAgent guards against orders of a paused agent that wakes up after its successor gave newer ones.
func TestPausedAgent(t *testing.T) {
	// An engine that checks refuses the order, although the successor has another address here. For one that ignores
	// epochs, the successor must not start before the paused agent is gone.
	for _, checks := range []bool{true, false} {
		t.Run(map[bool]string{true: "engine checks", false: "engine ignores"}[checks], func(t *testing.T) {
			is := is.New(t)
			f := setUp(t, standin.Settings{ChecksFencing: checks})
			paused := &pausedEngine{f.Agent.Engine, make(chan engine.Order, 1), make(chan struct{})}
			f.Agent.Engine = paused
			f.config.set(deployment("v2"))
			f.run()
			is.Equal((<-paused.ordering).Epoch, uint64(1))

			successor := &fixture{t: t, engine: f.engine, config: f.config, done: make(chan error, 1),
				logged: make(chan string, 100_000)}
			log := logr.New(logSink{successor.logged})
			successor.Agent = &agent.Agent{
				Name: f.Name, Address: f.Address, FailureDomain: "South", Engine: f.client, Platform: f.objects,
				Configuration: f.config, ReconcileInterval: 20 * time.Millisecond, Log: log,
			}
			f.config.set(deployment("v3"))
			if checks {
				successor.Address = freeAddress(t)
				successor.run().await("EngineServing")
				close(paused.resume)
				is.True(errors.Is(<-f.done, agent.ErrFenced))
				close(f.done)
				is.Equal(f.engine.Health().Version, "v3")
				return
			}
			ctx, cancel := context.WithCancel(context.Background())
			successor.stop = cancel
			go func() { successor.done <- successor.Agent.Run(ctx) }()
			successor.await("AgentAddressTaken")
			is.Equal(len(f.engine.Ledger().Orders), 0) // the successor has given none
			object, err := f.objects.Store.Get(endpoints.Kind, f.Name)
			is.NoErr(err)
			is.True(strings.Contains(string(object.Value), `"Epoch":1`))
			f.stop()
			f.await("AgentDraining")
			close(paused.resume)
			is.NoErr(<-f.done)
			close(f.done)
			successor.await("EngineServing")
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

// logSink passes the names of events on, as far as the channel has room.
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

// TestEpoch guards against an epoch that is not raised, or raised twice after a lost reply, and against an outage of the
// platform that stops prompts.
func TestEpoch(t *testing.T) {
	is := is.New(t)
	f := setUp(t, standin.Settings{})
	f.objects.Faults.Set(fault.Rule{Kind: fault.ReplyLost, Method: "PUT", Count: 1})
	outage := f.objects.Faults.Set(fault.Rule{Kind: fault.Outage, Skip: 1})
	f.run().await("EngineServing")
	is.Equal(f.dial().submit(f.prompt("R1", "text")).end().Finish, wire.FinishLength)
	f.config.set(deployment("v2"))
	f.await("EngineDiffers")
	is.Equal(len(f.engine.Ledger().Orders), 0)
	f.objects.Faults.Clear(outage)
	f.await("EngineOrdered")
	is.Equal(f.engine.Ledger().Orders[0].Epoch, uint64(1))
}

// TestLoadInOutage guards against an endpoint without weights for as long as the platform is down.
func TestLoadInOutage(t *testing.T) {
	f := setUp(t, standin.Settings{})
	f.PermitPatience = time.Millisecond
	f.run().await("EpochRaised")
	f.objects.Faults.Set(fault.Rule{Kind: fault.Outage})
	f.config.set(deployment("v2"))
	f.await("LoadPermitMissing")
	f.await("EngineOrdered")
}

// permits are granted by the test.
type permits struct{ asked, granted, released chan struct{} }

func (p permits) Acquire(ctx context.Context) (release func(), err error) {
	p.asked <- struct{}{}
	select {
	case <-p.granted:
		return func() { close(p.released) }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// TestLoadPermit guards against loads beside those that hold the permits, and a permit that is not given back.
func TestLoadPermit(t *testing.T) {
	is := is.New(t)
	f := setUp(t, standin.Settings{})
	p := permits{make(chan struct{}, 1), make(chan struct{}), make(chan struct{})}
	f.Permits, f.PermitPatience = p, time.Millisecond
	f.config.set(deployment("v2"))
	f.run()
	<-p.asked
	is.Equal(len(f.engine.Ledger().Orders), 0)
	close(p.granted)
	<-p.released
	is.Equal(f.engine.Health().Version, "v2")
}
