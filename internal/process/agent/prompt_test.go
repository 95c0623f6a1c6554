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

// TestSeveralEntriesColdEngine guards against several entries that together exceed the capacity of a cold engine.
func TestSeveralEntriesColdEngine(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.Settings{})
	f.engine.Pause(true)
	var streams []stream
	var texts []string
	for i := range 4 {
		conn := f.dial()
		for j := range 4 {
			texts = append(texts, fmt.Sprintf("prompt %d of entry %d", j, i))
			streams = append(streams, conn.submit(f.newPrompt(texts[len(texts)-1], texts[len(texts)-1])))
		}
	}
	f.awaitEvent("PromptAccepted")
	f.awaitEvent("PromptAccepted")
	f.engine.Pause(false)
	for i, s := range streams {
		tokens, last := s.awaitLast()
		is.Equal(last.(wire.End).Finish, wire.FinishLength)
		is.Equal(tokens, expectedAnswer(texts[i], 8))
	}
	l := f.engine.Ledger()
	is.Equal(l.Excess, 0)
	is.Equal(len(l.Runs), len(streams))
}

// TestEngineGetsMoreThanItsRate guards against more runs on an engine than the rate that it states, from several entries together, against prompts
// that are lost by it, and against a rate that holds after the engine has ceased to state it.
func TestEngineGetsMoreThanItsRate(t *testing.T) {
	const perSecond, prompts, seconds = 4, 45, 3
	is := is.New(t)
	f := start(t, standin.Settings{WarmStart: true})
	f.engine.LimitRate(perSecond)
	time.Sleep(300 * time.Millisecond) // the last status report is too old to rely on
	var streams []stream
	for range 3 {
		conn := f.dial()
		for i := range prompts / 3 {
			streams = append(streams, conn.submit(f.newPrompt(fmt.Sprint(i), "a prompt")))
		}
	}
	time.Sleep(seconds * time.Second)
	runs := len(f.engine.Ledger().Runs)
	is.True(runs <= perSecond*seconds*3/2+5)
	is.True(runs >= perSecond*seconds/2)
	f.engine.LimitRate(-1)
	for _, s := range streams {
		_, last := s.awaitLast()
		is.Equal(last.(wire.End).Finish, wire.FinishLength)
	}
	is.Equal(len(f.engine.Ledger().Runs), prompts)
}

// TestLoadCountsPrefill guards against a load report that omits the prompts in prefill, so that the engine looks idle.
func TestLoadCountsPrefill(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.Settings{WarmStart: true})
	f.engine.Pause(true)
	m := f.newPrompt("1", "a prompt that is still computed")
	s := f.dial().submit(m)
	is.Equal(s.awaitAccepted().Load.QueuedTokens, len(m.Prompt))
	f.engine.Pause(false)
	_, last := s.awaitLast()
	is.Equal(last.(wire.End).Load.QueuedTokens, 0)
}

// TestEngineTurnsColdUnderLoad guards against exceeding the capacity of an engine that turns cold without warning, and
// against missing or repeated tokens after a resume.
func TestEngineTurnsColdUnderLoad(t *testing.T) {
	f := start(t, standin.Settings{WarmStart: true})
	var given atomic.Int64
	var wg sync.WaitGroup
	for i := range 4 {
		conn := f.dial()
		for j := range 6 {
			wg.Go(func() {
				text := fmt.Sprintf("prompt %d of entry %d", j, i)
				m := f.newPrompt(text, text)
				m.MaxTokens = 40
				for try := 0; len(m.Given) < m.MaxTokens; try++ {
					m.RequestID = fmt.Sprint(text, " try ", try)
					s := conn.submit(m)
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
					time.Sleep(time.Millisecond) // do not submit a refused prompt again in a tight loop
				}
				if !slices.Equal(m.Given, expectedAnswer(text, 40)) {
					t.Errorf("%s: answer has missing, repeated or wrong tokens", text)
				}
			})
		}
	}
	wg.Wait()
	l := f.engine.Ledger()
	if l.Excess != 0 {
		t.Errorf("%d runs exceeded the capacity, %d of them while cold", l.Excess, l.ExcessCold)
	}
}

// TestRefusals guards against running requests that are not allowed, and refusals with the wrong reason or outcome.
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
			conn := f.dial()
			conn.submit(f.newPrompt("R1", "a")).awaitAccepted()
			conn.submit(f.newPrompt("R2", "b")).awaitAccepted()
			m.Timeout = time.Millisecond
		}, wire.ReasonDeadline},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := setUp(t, standin.Settings{})
			f.ConfigWait = time.Millisecond
			f.run().awaitEvent("EngineServing")
			conn := f.dial()
			m := f.newPrompt("R", "text")
			test.change(f, &m)
			r := conn.submit(m).awaitRefused()
			is.Equal(r.Reason, test.want)
			is.Equal(r.Outcome, wire.NotRun)
			for _, run := range f.engine.Ledger().Runs {
				is.True(run.RequestID != "R")
			}
			f.awaitEvent("PromptRefused")
		})
	}
}

// TestCrashQuarantine guards against a request that crashes several engines, and against suspects that block other
// requests.
func TestCrashQuarantine(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.Settings{})
	conn := f.dial()
	bad := f.newPrompt("Bad", "text CRASH-ENGINE text")
	is.Equal(conn.submit(bad).awaitEnd().Finish, wire.FinishCrashed)
	mark := receive[wire.Mark](t, conn.control)
	is.Equal(mark.Fingerprint, bad.Fingerprint)
	is.Equal(mark.Endpoints, []string{"Endpoint1"})
	f.awaitEvent("QuarantineStored")
	_, err := f.objects.Store.Get(agent.QuarantineKind, fmt.Sprintf("%016x", bad.Fingerprint))
	is.NoErr(err)

	// Two suspects do not run at the same time, but a suspect runs beside other requests.
	f.engine.Pause(true)
	other := f.newPrompt("Other", "other suspect")
	f.Mark(wire.Mark{Fingerprint: other.Fingerprint, Endpoints: []string{"Endpoint9"}, Remaining: time.Minute})
	suspect := conn.submit(other)
	suspect.awaitAccepted()
	is.Equal(conn.submit(bad).awaitRefused().Reason, wire.ReasonSuspectRunning)
	unmarked := conn.submit(f.newPrompt("Clear", "no suspect"))
	unmarked.awaitAccepted()
	f.engine.Pause(false)
	is.Equal(suspect.awaitEnd().Finish, wire.FinishLength)
	is.Equal(unmarked.awaitEnd().Finish, wire.FinishLength)

	// A request is quarantined after it crashed a second endpoint.
	conn.write(wire.Mark{Fingerprint: bad.Fingerprint, Endpoints: []string{"Endpoint2"}, Remaining: time.Minute})
	refused := conn.submit(bad).awaitRefused()
	is.Equal(refused.Reason, wire.ReasonQuarantined)
	is.True(refused.RetryAfter > 0)
}

// TestLostStream guards against a broken stream that looks complete or counts as an engine crash.
func TestLostStream(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.Settings{})
	conn := f.dial()
	f.engine.Pause(true)
	m := f.newPrompt("R1", "text")
	s := conn.submit(m)
	s.awaitAccepted()
	f.engine.Cut()
	is.Equal(s.awaitEnd().Finish, wire.FinishLost)
	f.engine.Pause(false)
	m.Given = expectedAnswer("text", 3)
	tokens, last := conn.submit(m).awaitLast()
	is.Equal(last.(wire.End).Finish, wire.FinishLength)
	is.Equal(tokens, expectedAnswer("text", 8)[3:])
	is.True(!strings.Contains(f.logText(), "RequestSuspected"))
}

// TestCancel guards against runs that continue after the entry cancelled them or lost its connection.
func TestCancel(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.Settings{})
	f.engine.Pause(true)
	conn, lost := f.dial(), f.dial()
	s := conn.submit(f.newPrompt("R1", "a"))
	s.awaitAccepted()
	lost.submit(f.newPrompt("R2", "b")).awaitAccepted()
	queued := conn.submit(f.newPrompt("R3", "c"))
	conn.write(wire.Cancel{Stream: s.id})
	is.Equal(s.awaitEnd().Finish, wire.FinishCancelled)
	queued.awaitAccepted() // the cancelled run has freed capacity
	is.NoErr(lost.conn.Close())
	f.awaitEvent("PromptEnded")
	f.awaitEvent("PromptEnded")
	conn.write(wire.Cancel{Stream: queued.id})
	is.Equal(queued.awaitEnd().Finish, wire.FinishCancelled)
	for _, run := range f.engine.Ledger().Runs {
		is.Equal(run.Finish, "Cancelled")
	}
	is.Equal(f.Load().Running, 0)
}

// TestSuspectsInQueue guards against two suspects that run together because neither was running when they were queued.
func TestSuspectsInQueue(t *testing.T) {
	is := is.New(t)
	f := start(t, standin.Settings{})
	f.engine.Pause(true)
	conn := f.dial()
	running := []stream{conn.submit(f.newPrompt("R1", "a")), conn.submit(f.newPrompt("R2", "b"))}
	running[0].awaitAccepted()
	running[1].awaitAccepted()
	var suspects []stream
	for i, text := range []string{"one", "two"} {
		m := f.newPrompt(text, text)
		f.Mark(wire.Mark{Fingerprint: m.Fingerprint, Endpoints: []string{"Endpoint9"}, Remaining: time.Minute})
		suspects = append(suspects, conn.submit(m))
		f.awaitQueued(i + 1)
	}
	conn.write(wire.Cancel{Stream: running[0].id})
	conn.write(wire.Cancel{Stream: running[1].id})
	suspects[0].awaitAccepted()
	is.Equal(suspects[1].awaitRefused().Reason, wire.ReasonSuspectRunning)
}

// TestDetachedRuns guards against exceeding the capacity of an engine that still computes runs whose streams broke.
func TestDetachedRuns(t *testing.T) {
	for _, warm := range []bool{false, true} {
		t.Run(fmt.Sprint("warm=", warm), func(t *testing.T) {
			is := is.New(t)
			f := setUp(t, standin.Settings{WarmStart: warm, BatchLimit: 2})
			d := deployment("v1")
			d.Endpoints[0].BatchLimit = 2
			f.config.set(d)
			f.run().awaitEvent("EngineServing")
			f.engine.Pause(true)
			conn := f.dial()
			running := []stream{conn.submit(f.newPrompt("R1", "a")), conn.submit(f.newPrompt("R2", "b"))}
			running[0].awaitAccepted()
			running[1].awaitAccepted()
			next := conn.submit(f.newPrompt("R3", "c"))
			f.awaitQueued(1)
			f.engine.Detach()
			is.Equal(running[0].awaitEnd().Finish, wire.FinishLost)
			is.Equal(running[1].awaitEnd().Finish, wire.FinishLost)
			f.engine.Pause(false)
			is.Equal(next.awaitEnd().Finish, wire.FinishLength)
			is.Equal(f.engine.Ledger().Excess, 0)
		})
	}
}

// gapEngine sends Generate to a server that omits a token of the answer.
type gapEngine struct {
	agent.Engine
	client *engine.Client
}

func (e gapEngine) Generate(ctx context.Context, req engine.Request) (*engine.Run, error) {
	return e.client.Generate(ctx, req)
}

// TestTokenGap guards against an answer with a missing token that looks complete.
func TestTokenGap(t *testing.T) {
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
	f.run().awaitEvent("EngineServing")
	tokens, last := f.dial().submit(f.newPrompt("R1", "a")).awaitLast()
	is.Equal(tokens, []uint32{'a'})
	is.Equal(last.(wire.End).Finish, wire.FinishLost)
}
