package agent_test

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	standin "primrosecourse/internal/standin/engine"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// TestDrain guards against a graceful shutdown that cancels requests, accepts new ones or does not notify the entries.
func TestDrain(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.Settings{})
	f.engine.Pause(true)
	conn := f.dial()
	running := []stream{conn.submit(f.newPrompt("R1", "a")), conn.submit(f.newPrompt("R2", "b"))}
	running[0].awaitAccepted()
	running[1].awaitAccepted()
	queued := conn.submit(f.newPrompt("R3", "c"))
	f.awaitQueued(1)
	f.stop()
	is.Equal(receive[wire.Load](t, conn.control).Load.State, wire.StateDraining)
	is.Equal(conn.submit(f.newPrompt("R4", "d")).awaitRefused().Reason, wire.ReasonDraining)
	f.engine.Pause(false)
	for _, s := range append(running, queued) {
		is.Equal(s.awaitEnd().Finish, wire.FinishLength)
	}
	receive[wire.Goodbye](t, conn.control)
	is.NoErr(<-f.done)
	close(f.done)
	is.True(!strings.Contains(f.logText(), "AgentCutOff"))
	is.True(strings.Contains(f.logText(), "AgentStopped"))
}

// TestForcedStop guards against a shutdown that never ends, and requests that are cancelled without a log entry.
func TestForcedStop(t *testing.T) {
	for _, test := range []struct {
		name string
		act  func(f *fixture)
	}{
		{"abort", func(f *fixture) { f.Abort() }},
		{"timeout", func(*fixture) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, standin.Settings{})
			conn := f.dial()
			d := deployment("v1")
			if test.name == "timeout" {
				d.Limits.DrainTimeout = 1 // nanosecond
			}
			f.config.set(d)
			f.engine.Pause(true)
			running := []stream{conn.submit(f.newPrompt("R1", "a")), conn.submit(f.newPrompt("R2", "b"))}
			running[0].awaitAccepted()
			running[1].awaitAccepted()
			queued := conn.submit(f.newPrompt("R3", "c"))
			f.awaitQueued(1)
			f.stop()
			test.act(f)
			r := queued.awaitRefused()
			is.Equal(r.Outcome, wire.NotRun)
			is.Equal(running[0].awaitEnd().Finish, wire.FinishLost)
			is.Equal(running[1].awaitEnd().Finish, wire.FinishLost)
			is.NoErr(<-f.done)
			close(f.done)
			is.True(strings.Contains(f.logText(), `"Requests":["R1","R2"]`))
		})
	}
}

// fakeOrders is an agent.Orders and an agent.Service. A call with the key "Lost" has an unknown outcome, and a retryable
// call of /broken fails.
type fakeOrders struct{}

func (fakeOrders) Execute(_ context.Context, m wire.Call) wire.Message {
	if m.IdempotencyKey == "Lost" {
		return wire.Refused{Outcome: wire.OutcomeUnknown, Reason: wire.ReasonReplyLost}
	}
	return wire.Reply{Status: 201}
}

func (fakeOrders) Ready() bool { return true }

func (fakeOrders) Do(_ context.Context, m wire.Call) (wire.Reply, error) {
	if m.Path == "/broken" {
		return wire.Reply{}, errors.New("broken")
	}
	return wire.Reply{Status: 200}, nil
}

// TestCall guards against orders without an idempotency key, calls by organisations without the right to the service,
// and replies on the wrong stream.
func TestCall(t *testing.T) {
	status := func(n int) wire.Message { return wire.Reply{Stream: 1, Status: n} }
	refused := func(outcome wire.Outcome, reason wire.Reason) wire.Message {
		return wire.Refused{Stream: 1, Outcome: outcome, Reason: reason}
	}
	for _, test := range []struct {
		name string
		call wire.Call
		want wire.Message
	}{
		{"order", wire.Call{Method: "POST", IdempotencyKey: "K"}, status(201)},
		{"order with unknown outcome", wire.Call{Method: "POST", IdempotencyKey: "Lost"},
			refused(wire.OutcomeUnknown, wire.ReasonReplyLost)},
		{"order without key", wire.Call{Method: "POST"}, refused(wire.NotRun, wire.ReasonKeyMissing)},
		{"status", wire.Call{Method: "GET"}, status(200)},
		{"broken service", wire.Call{Method: "GET", Path: "/broken"},
			refused(wire.OutcomeUnknown, wire.ReasonServiceDown)},
		{"other service", wire.Call{Method: "GET", Service: "S2"}, refused(wire.NotRun, wire.ReasonNoEndpoint)},
		{"other organisation", wire.Call{Method: "GET", Organisation: "Org2"},
			refused(wire.NotRun, wire.ReasonNotEntitled)},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := setUp(t, standin.Settings{})
			f.Name, f.Kind, f.Orders, f.Service = "Service1", settings.ServiceEndpoint, fakeOrders{}, fakeOrders{}
			f.run()
			test.call.Stream, test.call.ConfigVersion = 1, f.config.Version()
			if test.call.Service == "" {
				test.call.Service = "Orders"
			}
			if test.call.Organisation == "" {
				test.call.Organisation = "Org1"
			}
			conn := f.dial()
			s := conn.open()
			conn.write(test.call)
			got := <-s.messages
			if r, ok := got.(wire.Refused); ok {
				is.Equal(r.Load.ConfigVersion, f.config.Version())
				got = wire.Refused{Stream: r.Stream, Outcome: r.Outcome, Reason: r.Reason}
			}
			is.Equal(got, test.want)
		})
	}
}

// TestNotReadyBeforeListening guards against an agent that says that it is ready before its address is open.
func TestNotReadyBeforeListening(t *testing.T) {
	is := is.New(t)
	f := setUp(t, standin.Settings{WarmStart: true})
	f.Name, f.Kind, f.Orders, f.Service = "Service1", settings.ServiceEndpoint, fakeOrders{}, fakeOrders{}
	predecessor, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(f.Address))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { f.done <- f.Agent.Run(ctx) }()
	f.awaitEvent("AgentAddressTaken")
	is.True(!f.Ready())
	is.NoErr(predecessor.Close())
	f.awaitEvent("AgentStarted")
	is.True(f.Ready())
	cancel()
	f.Abort()
	is.NoErr(<-f.done)
}
