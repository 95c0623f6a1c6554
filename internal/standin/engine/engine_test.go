package engine_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"primrosecourse/internal/process/engine"
	standin "primrosecourse/internal/standin/engine"
	"primrosecourse/internal/standin/fault"
	"primrosecourse/pkg/token"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start serves an engine with model M1 in version v1 and returns it with a client.
func start(t *testing.T, s standin.Settings) (*standin.Engine, *engine.Client) {
	t.Helper()
	s.Model, s.Version = "M1", "v1"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := standin.New(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx, l) }()
	c := engine.New(l.Addr().(*net.TCPAddr).AddrPort())
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		c.Close()
	})
	return e, c
}

func request(id, prompt string) engine.Request {
	return engine.Request{RequestID: id, Model: "M1", Version: "v1", Prompt: token.Encode(prompt), MaxTokens: 8}
}

// collect reads a run to its end and returns its tokens and the reason for the end.
func collect(run *engine.Run) (tokens []engine.Tokens, finish string, err error) {
	defer run.Close()
	for {
		event, err := run.Next()
		if err != nil {
			return tokens, "", err
		}
		switch event := event.(type) {
		case engine.Tokens:
			tokens = append(tokens, event)
		case engine.End:
			return tokens, event.Finish, nil
		}
	}
}

// TestResumedAnswer guards against a request that resumes an answer and misses or repeats a token.
func TestResumedAnswer(t *testing.T) {
	is := is.New(t)
	e, c := start(t, standin.Settings{})
	whole, err := c.Generate(t.Context(), request("R1", "a prompt"))
	is.NoErr(err)
	tokens, finish, err := collect(whole)
	is.NoErr(err)
	is.Equal(finish, "Length")
	is.Equal(len(tokens), 8)

	req := request("R2", "a prompt")
	for _, event := range tokens[:5] {
		req.Given = append(req.Given, event.Tokens...)
	}
	rest, err := c.Generate(t.Context(), req)
	is.NoErr(err)
	resumed, _, err := collect(rest)
	is.NoErr(err)
	is.Equal(resumed, tokens[5:])

	l := e.Ledger()
	is.Equal(len(l.Runs), 2)
	is.Equal(l.Runs[0].Fingerprint, l.Runs[1].Fingerprint)
	is.Equal(l.Runs[1].Given, 5)
	is.Equal(l.Runs[1].Tokens, 3)
}

// TestColdCapacity guards against a stand-in that accepts runs beyond its cold capacity or does not count them.
func TestColdCapacity(t *testing.T) {
	is := is.New(t)
	e, c := start(t, standin.Settings{BatchLimit: 4})
	e.Pause(true)
	var runs []*engine.Run
	for i := range 2 {
		run, err := c.Generate(t.Context(), request(fmt.Sprint(i), "p"))
		is.NoErr(err)
		runs = append(runs, run)
	}
	_, err := c.Generate(t.Context(), request("3", "p"))
	is.True(errors.Is(err, engine.ErrBusy))
	is.Equal(e.Ledger().ExcessCold, 1)
	e.Pause(false)
	for _, run := range runs {
		_, _, err := collect(run)
		is.NoErr(err)
	}
	h, err := c.Health(t.Context())
	is.NoErr(err)
	is.True(h.Warm)
	is.Equal(h.Capacity, 4)
	e.TurnCold()
	cold, err := c.Health(t.Context())
	is.NoErr(err)
	is.Equal(cold.Capacity, 2)
	is.True(cold.Incarnation != h.Incarnation)
}

// TestCutStreamIsNotComplete guards against an answer that ends early and still appears complete.
func TestCutStreamIsNotComplete(t *testing.T) {
	for _, test := range []struct {
		name, prompt   string
		interrupt      func(e *standin.Engine)
		newIncarnation bool
	}{
		{"connection lost", "p", (*standin.Engine).Cut, false},
		{"turned cold", "p", (*standin.Engine).TurnCold, true},
		{"crash marker", "p CRASH-ENGINE", func(e *standin.Engine) { e.Pause(false) }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e, c := start(t, standin.Settings{})
			e.Pause(true)
			run, err := c.Generate(t.Context(), request("R1", test.prompt))
			is.NoErr(err)
			test.interrupt(e)
			_, _, err = collect(run)
			is.True(errors.Is(err, engine.ErrCut))
			h, err := c.Health(t.Context())
			is.NoErr(err)
			is.Equal(h.Incarnation != run.Accepted.Incarnation, test.newIncarnation)
		})
	}
}

// TestCancel guards against runs that continue after they were cancelled.
func TestCancel(t *testing.T) {
	is := is.New(t)
	e, c := start(t, standin.Settings{})
	e.Pause(true)
	run, err := c.Generate(t.Context(), request("R1", "p"))
	is.NoErr(err)
	is.NoErr(c.Cancel(t.Context(), "R1"))
	_, finish, err := collect(run)
	is.NoErr(err)
	is.Equal(finish, "Cancelled")
	is.True(errors.Is(c.Cancel(t.Context(), "R1"), engine.ErrNotFound))
	is.Equal(e.Health().Running, 0)
}

// TestPrefixCache guards against blocks that are lost, cached beyond the capacity, altered between export and import, or
// imported from another version.
func TestPrefixCache(t *testing.T) {
	is := is.New(t)
	e, c := start(t, standin.Settings{CacheBlocks: 2, BlockTokens: 4, EventLossInterval: 2})
	generate := func(id string, blocks ...string) engine.Accepted {
		req := request(id, "12345678")
		req.Blocks = blocks
		r, err := c.Generate(t.Context(), req)
		is.NoErr(err)
		_, _, err = collect(r)
		is.NoErr(err)
		return r.Accepted
	}
	is.Equal(generate("R1", "A", "B").CachedTokens, 0)
	is.Equal(generate("R2", "A", "B").CachedTokens, 8)
	is.Equal(generate("R3", "C").CachedTokens, 0) // evicts A
	is.Equal(generate("R4", "A", "B").CachedTokens, 0)

	events, err := c.CacheEvents(t.Context(), 0)
	is.NoErr(err)
	is.Equal(events.Events[0], engine.CacheEvent{Sequence: 1, Block: "A"})
	is.Equal(events.Events[1].Sequence, uint64(3)) // event 2 is lost

	data, version, err := c.ExportBlock(t.Context(), "A")
	is.NoErr(err)
	is.Equal(version, "v1")
	is.NoErr(c.ImportBlock(t.Context(), "D", "v1", data))
	imported, _, err := c.ExportBlock(t.Context(), "D")
	is.NoErr(err)
	is.Equal(imported, data)
	is.True(errors.Is(c.ImportBlock(t.Context(), "E", "v0", data), engine.ErrWrongVersion))
	_, _, err = c.ExportBlock(t.Context(), "Z")
	is.True(errors.Is(err, engine.ErrNotFound))
	is.Equal(e.Ledger().Excess, 0)
}

// TestOrderFencing guards against an engine that checks epochs and still carries out a stale order, which a former
// lease holder may send after a pause.
func TestOrderFencing(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		t.Run(fmt.Sprint("ChecksFencing=", checksFencing), func(t *testing.T) {
			is := is.New(t)
			_, c := start(t, standin.Settings{ChecksFencing: checksFencing})
			is.NoErr(c.Order(t.Context(), engine.Order{Kind: "LoadVersion", Model: "M1", Version: "v3", Epoch: 2}))
			err := c.Order(t.Context(), engine.Order{Kind: "LoadVersion", Model: "M1", Version: "v2", Epoch: 1})
			is.Equal(errors.Is(err, engine.ErrOldEpoch), checksFencing)
			h, err := c.Health(t.Context())
			is.NoErr(err)
			is.Equal(h.Version == "v3", checksFencing)
			_, err = c.Generate(t.Context(), request("R1", "p"))
			is.True(errors.Is(err, engine.ErrWrongVersion))
		})
	}
}

// TestUnreachableIsNotSent guards against a client that does not report a run as not sent if the engine is unreachable.
func TestUnreachableIsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	is.NoErr(l.Close())
	c := engine.New(addr)
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err = c.Generate(ctx, request("R1", "p"))
	is.True(errors.Is(err, engine.ErrUnreachable))
	is.True(errors.Is(err, engine.ErrNotSent))
}

// TestLostReplyIsNotReportedUnsent guards against a run that started but is reported as not sent.
func TestLostReplyIsNotReportedUnsent(t *testing.T) {
	is := is.New(t)
	e, c := start(t, standin.Settings{})
	e.Faults.Set(fault.Rule{Kind: fault.ReplyLost, Route: "/generate", Count: 1})
	_, err := c.Generate(t.Context(), request("R1", "p"))
	is.True(errors.Is(err, engine.ErrUnreachable))
	is.True(!errors.Is(err, engine.ErrNotSent))
	is.Equal(len(e.Ledger().Runs), 1)
}
