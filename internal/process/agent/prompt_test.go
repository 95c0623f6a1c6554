package agent_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/internal/process/agent"
	"primrosecourse/internal/process/engine"
	standin "primrosecourse/internal/standin/engine"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// TestSeveralEntriesColdEngine guards against entries that together give a cold engine more than it bears.
func TestSeveralEntriesColdEngine(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.Settings{})
	f.engine.Pause(true)
	var streams []stream
	var texts []string
	for i := range 4 {
		p := f.dial()
		for j := range 4 {
			texts = append(texts, fmt.Sprintf("prompt %d of entry %d", j, i))
			streams = append(streams, p.submit(f.prompt(texts[len(texts)-1], texts[len(texts)-1])))
		}
	}
	f.await("PromptAccepted")
	f.await("PromptAccepted")
	f.engine.Pause(false)
	for i, s := range streams {
		tokens, last := s.finish()
		is.Equal(last.(wire.End).Finish, wire.FinishLength)
		is.Equal(tokens, answer(texts[i], 8))
	}
	l := f.engine.Ledger()
	is.Equal(l.Excess, 0)
	is.Equal(len(l.Runs), len(streams))
}

// TestLoadCountsPromptsInTheEngine guards against an engine that computes long prompts and looks idle to the entries.
func TestLoadCountsPromptsInTheEngine(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.Settings{WarmStart: true})
	f.engine.Pause(true)
	m := f.prompt("1", "a prompt that is still computed")
	s := f.dial().submit(m)
	is.Equal(s.accepted().Load.QueuedTokens, len(m.Prompt))
	f.engine.Pause(false)
	_, last := s.finish()
	is.Equal(last.(wire.End).Load.QueuedTokens, 0)
}

// TestTurnsColdUnderLoad guards against more than a cold engine bears after it turned cold without warning, and against
// answers with missing or repeated tokens after a resume.
func TestTurnsColdUnderLoad(t *testing.T) {
	f := start(t, standin.Settings{WarmStart: true})
	var given atomic.Int64
	var wg sync.WaitGroup
	for i := range 4 {
		p := f.dial()
		for j := range 6 {
			wg.Go(func() {
				text := fmt.Sprintf("prompt %d of entry %d", j, i)
				m := f.prompt(text, text)
				m.MaxTokens = 40
				for try := 0; len(m.Given) < m.MaxTokens; try++ {
					m.RequestID = fmt.Sprint(text, " try ", try)
					s := p.submit(m)
					for message := range s.messages {
						if tokens, ok := message.(wire.Tokens); ok {
							m.Given = append(m.Given, tokens.Tokens...)
							if given.Add(1)%150 == 0 {
								f.engine.TurnCold()
							}
							continue
						}
						if _, ok := message.(wire.Accepted); !ok {
							break
						}
					}
					time.Sleep(time.Millisecond) // a refused suspect comes again
				}
				if !slices.Equal(m.Given, answer(text, 40)) {
					t.Errorf("%s: wrong answer", text)
				}
			})
		}
	}
	wg.Wait()
	l := f.engine.Ledger()
	if l.Excess != 0 {
		t.Errorf("%d runs beyond the capacity, %d while cold", l.Excess, l.ExcessCold)
	}
}

// TestRefusals guards against work for callers that may not have it, and refusals without reason or outcome.
func TestRefusals(t *testing.T) {
	leaving := deployment("v1")
	leaving.FailureDomains[0].State = settings.Leaving
	for _, test := range []struct {
		name   string
		change func(f *fixture, m *wire.Submit)
		want   wire.Reason
	}{
		{"unknown model", func(_ *fixture, m *wire.Submit) { m.Model = "M2" }, wire.ReasonUnknownModel},
		{"unknown organisation", func(_ *fixture, m *wire.Submit) { m.Organisation = "Org2" }, wire.ReasonNotEntitled},
		{"other weights", func(_ *fixture, m *wire.Submit) { m.WeightVersion = "v0" }, wire.ReasonWrongVersion},
		{"no prompt", func(_ *fixture, m *wire.Submit) { m.Prompt = nil }, wire.ReasonBadRequest},
		{"nothing to generate", func(_ *fixture, m *wire.Submit) { m.MaxTokens = 0 }, wire.ReasonBadRequest},
		{"older configuration", func(_ *fixture, m *wire.Submit) { m.ConfigVersion = 0 }, wire.ReasonOldConfig},
		{"newer configuration", func(_ *fixture, m *wire.Submit) { m.ConfigVersion = 9 }, wire.ReasonOldConfig},
		{"leaving domain", func(f *fixture, m *wire.Submit) {
			f.config.set(leaving)
			m.ConfigVersion++
		}, wire.ReasonLeaving},
		{"quarantined", func(f *fixture, m *wire.Submit) {
			f.Mark(wire.Mark{Fingerprint: m.Fingerprint, Endpoints: []string{"E8", "E9"}, Remaining: time.Minute})
		}, wire.ReasonQuarantined},
		{"deadline in the queue", func(f *fixture, m *wire.Submit) {
			f.engine.Pause(true)
			p := f.dial()
			p.submit(f.prompt("R1", "a")).accepted()
			p.submit(f.prompt("R2", "b")).accepted()
			m.Timeout = time.Millisecond
		}, wire.ReasonDeadline},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := setUp(t, standin.Settings{})
			f.ConfigWait = time.Millisecond
			f.run().await("EngineServing")
			p := f.dial()
			m := f.prompt("R", "text")
			test.change(f, &m)
			r := p.submit(m).refused()
			is.Equal(r.Reason, test.want)
			is.Equal(r.Outcome, wire.NotRun)
			for _, run := range f.engine.Ledger().Runs {
				is.True(run.RequestID != "R")
			}
			f.await("PromptRefused")
		})
	}
}

// TestCrash guards against a request that crashes one engine after the other, and against others being held up for it.
func TestCrash(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.Settings{})
	p := f.dial()
	bad := f.prompt("Bad", "text CRASH-ENGINE text")
	is.Equal(p.submit(bad).end().Finish, wire.FinishCrashed)
	mark := receive[wire.Mark](t, p.other)
	is.Equal(mark.Fingerprint, bad.Fingerprint)
	is.Equal(mark.Endpoints, []string{"Endpoint1"})
	f.await("QuarantineStored")
	_, err := f.objects.Store.Get(agent.QuarantineKind, fmt.Sprintf("%016x", bad.Fingerprint))
	is.NoErr(err)

	// A suspect runs, but no two at a time; others run beside it.
	f.engine.Pause(true)
	other := f.prompt("Other", "other suspect")
	f.Mark(wire.Mark{Fingerprint: other.Fingerprint, Endpoints: []string{"Endpoint9"}, Remaining: time.Minute})
	suspect := p.submit(other)
	suspect.accepted()
	is.Equal(p.submit(bad).refused().Reason, wire.ReasonSuspectRunning)
	unmarked := p.submit(f.prompt("Clear", "no suspect"))
	unmarked.accepted()
	f.engine.Pause(false)
	is.Equal(suspect.end().Finish, wire.FinishLength)
	is.Equal(unmarked.end().Finish, wire.FinishLength)

	// It is quarantined after it crashed another endpoint.
	p.write(wire.Mark{Fingerprint: bad.Fingerprint, Endpoints: []string{"Endpoint2"}, Remaining: time.Minute})
	refused := p.submit(bad).refused()
	is.Equal(refused.Reason, wire.ReasonQuarantined)
	is.True(refused.RetryAfter > 0)
}

// TestLostStream guards against a cut stream that looks whole, or counts as a crash of the engine.
func TestLostStream(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.Settings{})
	p := f.dial()
	f.engine.Pause(true)
	m := f.prompt("R1", "text")
	s := p.submit(m)
	s.accepted()
	f.engine.Cut()
	is.Equal(s.end().Finish, wire.FinishLost)
	f.engine.Pause(false)
	m.Given = answer("text", 3)
	tokens, last := p.submit(m).finish()
	is.Equal(last.(wire.End).Finish, wire.FinishLength)
	is.Equal(tokens, answer("text", 8)[3:])
	is.True(!strings.Contains(f.lines(), "RequestSuspected"))
}

// TestCancel guards against runs that go on for callers that left.
func TestCancel(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.Settings{})
	f.engine.Pause(true)
	p, lost := f.dial(), f.dial()
	s := p.submit(f.prompt("R1", "a"))
	s.accepted()
	lost.submit(f.prompt("R2", "b")).accepted()
	queued := p.submit(f.prompt("R3", "c"))
	p.write(wire.Cancel{Stream: s.id})
	is.Equal(s.end().Finish, wire.FinishCancelled)
	queued.accepted() // into the place that is free now
	is.NoErr(lost.conn.Close())
	f.await("PromptEnded")
	f.await("PromptEnded")
	p.write(wire.Cancel{Stream: queued.id})
	is.Equal(queued.end().Finish, wire.FinishCancelled)
	for _, run := range f.engine.Ledger().Runs {
		is.Equal(run.Finish, "Cancelled")
	}
	is.Equal(f.Load().Running, 0)
}

// TestSuspectsInQueue guards against two suspects that were let in one after the other and run together.
func TestSuspectsInQueue(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.Settings{})
	f.engine.Pause(true)
	p := f.dial()
	running := []stream{p.submit(f.prompt("R1", "a")), p.submit(f.prompt("R2", "b"))}
	running[0].accepted()
	running[1].accepted()
	var suspects []stream
	for i, text := range []string{"one", "two"} {
		m := f.prompt(text, text)
		f.Mark(wire.Mark{Fingerprint: m.Fingerprint, Endpoints: []string{"Endpoint9"}, Remaining: time.Minute})
		suspects = append(suspects, p.submit(m))
		f.queued(i + 1)
	}
	p.write(wire.Cancel{Stream: running[0].id})
	p.write(wire.Cancel{Stream: running[1].id})
	suspects[0].accepted()
	is.Equal(suspects[1].refused().Reason, wire.ReasonSuspectRunning)
}

// TestRunsNotCounted guards against runs beyond the capacity of an engine that still computes what the agent lost.
func TestRunsNotCounted(t *testing.T) {
	for _, warm := range []bool{false, true} {
		t.Run(fmt.Sprint("warm=", warm), func(t *testing.T) {
			is := is.New(t)
			f := setUp(t, standin.Settings{WarmStart: warm, BatchLimit: 2})
			d := deployment("v1")
			d.Endpoints[0].BatchLimit = 2
			f.config.set(d)
			f.run().await("EngineServing")
			f.engine.Pause(true)
			p := f.dial()
			running := []stream{p.submit(f.prompt("R1", "a")), p.submit(f.prompt("R2", "b"))}
			running[0].accepted()
			running[1].accepted()
			next := p.submit(f.prompt("R3", "c"))
			f.queued(1)
			f.engine.Detach()
			is.Equal(running[0].end().Finish, wire.FinishLost)
			is.Equal(running[1].end().Finish, wire.FinishLost)
			f.engine.Pause(false)
			is.Equal(next.end().Finish, wire.FinishLength)
			is.Equal(f.engine.Ledger().Excess, 0)
		})
	}
}

// gapEngine leaves the second token of each answer out.
type gapEngine struct {
	agent.Engine
	client *engine.Client
}

func (e gapEngine) Generate(ctx context.Context, req engine.Request) (*engine.Run, error) {
	return e.client.Generate(ctx, req)
}

// TestGap guards against an answer with a token missing that looks whole.
func TestGap(t *testing.T) {
	is := is.New(t)
	f := setUp(t, standin.Settings{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "event: accepted\ndata: {}\n\nevent: tokens\ndata: {\"Index\":0,\"Tokens\":[97]}\n\n"+
			"event: tokens\ndata: {\"Index\":2,\"Tokens\":[97]}\n\nevent: end\ndata: {\"Finish\":\"Stop\"}\n\n")
	}))
	defer server.Close()
	broken := engine.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
	defer broken.Close()
	f.Engine = gapEngine{f.Engine, broken}
	f.run().await("EngineServing")
	tokens, last := f.dial().submit(f.prompt("R1", "a")).finish()
	is.Equal(tokens, []uint32{'a'})
	is.Equal(last.(wire.End).Finish, wire.FinishLost)
}
