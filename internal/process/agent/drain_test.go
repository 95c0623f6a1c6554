package agent_test

import (
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	standin "primrosecourse/internal/standin/engine"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// TestDrain guards against a planned stop that cuts off work, takes new work, or surprises the entries.
func TestDrain(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.Settings{})
	f.engine.Pause(true)
	p := f.dial()
	running := []stream{p.submit(f.prompt("R1", "a")), p.submit(f.prompt("R2", "b"))}
	running[0].accepted()
	running[1].accepted()
	queued := p.submit(f.prompt("R3", "c"))
	f.queued(1)
	f.stop()
	is.Equal(receive[wire.Load](t, p.other).Load.State, wire.StateDraining)
	is.Equal(p.submit(f.prompt("R4", "d")).refused().Reason, wire.ReasonDraining)
	f.engine.Pause(false)
	for _, s := range append(running, queued) {
		is.Equal(s.end().Finish, wire.FinishLength)
	}
	receive[wire.Goodbye](t, p.other)
	is.NoErr(<-f.done)
	close(f.done)
	is.True(!strings.Contains(f.lines(), "AgentCutOff"))
	is.True(strings.Contains(f.lines(), "AgentStopped"))
}

// TestCutOff guards against a stop that waits for ever, and work that is cut off without a trace.
func TestCutOff(t *testing.T) {
	for _, test := range []struct {
		name string
		act  func(f *fixture)
	}{
		{"second signal", func(f *fixture) { f.Abort() }},
		{"timeout", func(*fixture) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, standin.Settings{})
			p := f.dial()
			d := deployment("v1")
			if test.name == "timeout" {
				d.Limits.DrainTimeout = 1
			}
			f.config.set(d)
			f.engine.Pause(true)
			running := []stream{p.submit(f.prompt("R1", "a")), p.submit(f.prompt("R2", "b"))}
			running[0].accepted()
			running[1].accepted()
			queued := p.submit(f.prompt("R3", "c"))
			f.queued(1)
			f.stop()
			test.act(f)
			r := queued.refused()
			is.Equal(r.Outcome, wire.NotRun)
			is.Equal(running[0].end().Finish, wire.FinishLost)
			is.Equal(running[1].end().Finish, wire.FinishLost)
			is.NoErr(<-f.done)
			close(f.done)
			is.True(strings.Contains(f.lines(), `"Requests":["R1","R2"]`))
		})
	}
}

// orders answers calls; a call with key "Lost" has an unknown outcome.
type orders struct{}

func (orders) Execute(_ context.Context, m wire.Call) wire.Message {
	if m.IdempotencyKey == "Lost" {
		return wire.Refused{Outcome: wire.OutcomeUnknown, Reason: wire.ReasonReplyLost}
	}
	return wire.Reply{Status: 201}
}

func (orders) Ready() bool { return true }

func (orders) Do(_ context.Context, m wire.Call) (wire.Reply, error) {
	if m.Path == "/broken" {
		return wire.Reply{}, errors.New("broken")
	}
	return wire.Reply{Status: 200}, nil
}

// TestCall guards against orders without a key, calls for callers that may not make them, and answers to other streams.
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
			f.Name, f.Kind, f.Orders, f.Service = "Service1", settings.ServiceEndpoint, orders{}, orders{}
			f.run()
			test.call.Stream, test.call.ConfigVersion = 1, f.config.Version()
			if test.call.Service == "" {
				test.call.Service = "Orders"
			}
			if test.call.Organisation == "" {
				test.call.Organisation = "Org1"
			}
			p := f.dial()
			s := p.open()
			p.write(test.call)
			got := <-s.messages
			if r, ok := got.(wire.Refused); ok {
				is.Equal(r.Load.ConfigVersion, f.config.Version())
				got = wire.Refused{Stream: r.Stream, Outcome: r.Outcome, Reason: r.Reason}
			}
			is.Equal(got, test.want)
		})
	}
}
