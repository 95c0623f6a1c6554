package agent

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/engine"
	"primrosecourse/pkg/wire"
)

const (
	// cancelTimeout bounds the call that cancels a run; cancelGrace is how long the run may take to end after it.
	cancelTimeout = time.Second
	cancelGrace   = 2 * time.Second
)

// ending is how a run ended.
type ending struct {
	finish wire.Finish
	detail string
	// whole tells that the engine said so itself, so that it no longer counts the run.
	whole bool
}

// stream forwards an accepted run to the entry until it ends.
func (a *Agent) stream(p *prompt) {
	accepted := p.run.Accepted
	event.Info(a.Log, event.PromptAccepted, "RequestID", p.RequestID, "Organisation", p.Organisation,
		"Version", p.WeightVersion, "CachedTokens", accepted.CachedTokens, "FetchedTokens", p.fetchedTokens,
		"Incarnation", accepted.Incarnation, "Suspect", p.suspect)
	a.count("accepted")
	p.send(wire.Accepted{
		Stream: p.Stream, CachedTokens: accepted.CachedTokens, FetchedTokens: p.fetchedTokens, Load: a.Load(),
	})
	cancelled := make(chan struct{})
	stop := context.AfterFunc(p.ctx, func() {
		defer close(cancelled)
		a.cancel(p)
	})
	end := a.forward(p)
	if !stop() {
		<-cancelled
	}
	p.run.Close()
	a.unregister(p, func() {
		a.allowance.Ended(accepted.Incarnation)
		if !end.whole {
			a.allowance.Lost() // the engine may still count the run; its next report tells
		}
		if end.whole && end.finish != wire.FinishCancelled {
			a.table.Finished(time.Now(), p.Fingerprint)
		}
	})
	if a.Blocks != nil && end.whole {
		a.Blocks.Keep(p.WeightVersion, p.Organisation, p.ids)
	}
	a.count("ended." + end.finish.String())
	event.Info(a.Log, event.PromptEnded, "RequestID", p.RequestID, "Finish", end.finish.String(), "Detail", end.detail,
		"Duration", time.Since(p.started).String())
	p.send(wire.End{Stream: p.Stream, Finish: end.finish, Detail: end.detail, Load: a.Load()})
}

// forward passes tokens on. The engine's index must go on without gap or repeat, else the stream counts as lost: the
// entry can resume it, but could not repair an answer.
func (a *Agent) forward(p *prompt) ending {
	next := len(p.Given)
	tokens := metrics.GetOrRegisterCounter("tokens", a.Metrics)
	for {
		received, err := p.run.Next()
		if err != nil {
			return a.explain(p)
		}
		switch received := received.(type) {
		case engine.Tokens:
			if received.Index != next || len(received.Tokens) == 0 {
				return ending{finish: wire.FinishLost, detail: "gap in the tokens of the engine"}
			}
			if next == len(p.Given) {
				a.firstToken(p)
			}
			next += len(received.Tokens)
			tokens.Inc(int64(len(received.Tokens)))
			p.send(wire.Tokens{Stream: p.Stream, Index: received.Index, Tokens: received.Tokens, Text: received.Text})
		case engine.End:
			return p.whole(received, next)
		}
	}
}

// whole checks that an answer which the engine calls whole is.
func (p *prompt) whole(end engine.End, next int) ending {
	switch {
	case end.Finish == "Stop":
		return ending{finish: wire.FinishStop, whole: true}
	case end.Finish == "Length" && next >= p.MaxTokens:
		return ending{finish: wire.FinishLength, whole: true}
	case end.Finish == "Cancelled" && p.ctx.Err() != nil:
		return ending{finish: wire.FinishCancelled, detail: p.ctx.Err().Error(), whole: true}
	}
	return ending{finish: wire.FinishLost, detail: "the engine ended the run early: " + end.Finish, whole: true}
}

// explain tells why a stream was cut.
func (a *Agent) explain(p *prompt) ending {
	a.mu.Lock()
	stopping := a.stopping
	a.mu.Unlock()
	switch {
	case p.ctx.Err() != nil:
		return ending{finish: wire.FinishCancelled, detail: p.ctx.Err().Error()}
	case stopping:
		return ending{finish: wire.FinishLost, detail: "the agent stops"}
	case a.crashed(p.run.Accepted.Incarnation):
		a.suspect(p)
		return ending{finish: wire.FinishCrashed, detail: "the engine crashed"}
	}
	return ending{finish: wire.FinishLost, detail: "the stream from the engine was cut"}
}

func (a *Agent) firstToken(p *prompt) {
	took := time.Since(p.started)
	// A timer of go-metrics would start a goroutine that never ends.
	metrics.GetOrRegisterHistogram("firstToken.milliseconds", a.Metrics, metrics.NewUniformSample(1028)).
		Update(took.Milliseconds())
	a.mu.Lock()
	defer a.mu.Unlock()
	p.prefillTokens = 0
	a.allowance.FirstToken(p.run.Accepted.Incarnation, took)
	tell(a.wake)
}

// cancel ends a run at the engine, and its stream if the engine does not.
func (a *Agent) cancel(p *prompt) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := a.Engine.Cancel(ctx, p.id); err != nil {
		p.cutRun()
		return
	}
	time.AfterFunc(cancelGrace, p.cutRun)
}

// crashed reports whether the engine is not the given incarnation any more, or cannot be reached.
func (a *Agent) crashed(incarnation uint64) bool {
	h, err := a.health(context.Background())
	tell(a.recheck)
	tell(a.wake)
	return err != nil || h.Incarnation != incarnation
}
