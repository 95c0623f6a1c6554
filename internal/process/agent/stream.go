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
	// cancelTimeout bounds the call that cancels a run. cancelledRunTimeout is how long the run may take to end after the call.
	cancelTimeout       = time.Second
	cancelledRunTimeout = 2 * time.Second
)

// runResult describes how a run ended.
type runResult struct {
	finish wire.Finish
	detail string
	// reportedByEngine is set if the engine itself reported the end of the run. The engine then no longer counts the run as
	// running.
	reportedByEngine bool
}

// streamAnswer forwards the tokens of an accepted run to the entry until the run ends.
func (a *Agent) streamAnswer(p *prompt) {
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
	result := a.forward(p)
	if !stop() {
		<-cancelled
	}
	p.run.Close()
	a.unregister(p, func() {
		a.allowance.Ended(accepted.Incarnation)
		if !result.reportedByEngine {
			a.allowance.Lost() // the engine may still count the run as running; the next health check shows whether it does
		}
		if result.reportedByEngine && result.finish != wire.FinishCancelled {
			a.marks.Finished(time.Now(), p.Fingerprint)
		}
	})
	if a.Blocks != nil && result.reportedByEngine {
		a.Blocks.RecordUse(p.WeightVersion, p.Organisation, p.blockIDs)
	}
	a.count("ended." + result.finish.String())
	event.Info(a.Log, event.PromptEnded, "RequestID", p.RequestID, "Finish", result.finish.String(), "Detail", result.detail,
		"Duration", time.Since(p.started).String())
	p.send(wire.End{Stream: p.Stream, Finish: result.finish, Detail: result.detail, Load: a.Load()})
}

// forward sends the engine's tokens to the entry. A gap or repeat in the engine's token index ends the run as lost: the
// entry can resume a lost run, but cannot repair a wrong answer.
func (a *Agent) forward(p *prompt) runResult {
	next := len(p.Given)
	tokens := metrics.GetOrRegisterCounter("tokens", a.Metrics)
	for {
		received, err := p.run.Next()
		if err != nil {
			return a.interruptedResult(p)
		}
		switch received := received.(type) {
		case engine.Tokens:
			if received.Index != next || len(received.Tokens) == 0 {
				return runResult{finish: wire.FinishLost, detail: "gap in the tokens of the engine"}
			}
			if next == len(p.Given) {
				a.recordFirstToken(p)
			}
			next += len(received.Tokens)
			tokens.Inc(int64(len(received.Tokens)))
			p.send(wire.Tokens{Stream: p.Stream, Index: received.Index, Tokens: received.Tokens, Text: received.Text})
		case engine.End:
			return p.endResult(received, next)
		}
	}
}

// endResult returns the result for the engine's End event. An answer that ended early counts as lost.
func (p *prompt) endResult(end engine.End, next int) runResult {
	switch {
	case end.Finish == "Stop":
		return runResult{finish: wire.FinishStop, reportedByEngine: true}
	case end.Finish == "Length" && next >= p.MaxTokens:
		return runResult{finish: wire.FinishLength, reportedByEngine: true}
	case end.Finish == "Cancelled" && p.ctx.Err() != nil:
		return runResult{finish: wire.FinishCancelled, detail: p.ctx.Err().Error(), reportedByEngine: true}
	}
	return runResult{finish: wire.FinishLost, detail: "the engine ended the run early: " + end.Finish, reportedByEngine: true}
}

// interruptedResult returns the result of a run whose stream ended without an End event.
func (a *Agent) interruptedResult(p *prompt) runResult {
	a.mu.Lock()
	stopping := a.stopping
	a.mu.Unlock()
	switch {
	case p.ctx.Err() != nil:
		return runResult{finish: wire.FinishCancelled, detail: p.ctx.Err().Error()}
	case stopping:
		return runResult{finish: wire.FinishLost, detail: "the agent stops"}
	case a.crashed(p.run.Accepted.Incarnation):
		a.markSuspect(p)
		return runResult{finish: wire.FinishCrashed, detail: "the engine crashed"}
	}
	return runResult{finish: wire.FinishLost, detail: "the stream from the engine was cut"}
}

func (a *Agent) recordFirstToken(p *prompt) {
	elapsed := time.Since(p.started)
	// A go-metrics timer would start a goroutine that never ends.
	metrics.GetOrRegisterHistogram("firstToken.milliseconds", a.Metrics, metrics.NewUniformSample(1028)).
		Update(elapsed.Milliseconds())
	a.mu.Lock()
	defer a.mu.Unlock()
	p.prefillTokens = 0
	a.allowance.FirstToken(p.run.Accepted.Incarnation, elapsed)
	notify(a.wake)
}

// cancel cancels a run at the engine. It closes the stream if the call fails or the run does not end within
// cancelledRunTimeout.
func (a *Agent) cancel(p *prompt) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := a.Engine.Cancel(ctx, p.runID); err != nil {
		p.cancelRun()
		return
	}
	time.AfterFunc(cancelledRunTimeout, p.cancelRun)
}

// crashed reports whether the engine is unreachable or no longer has the given incarnation.
func (a *Agent) crashed(incarnation uint64) bool {
	h, err := a.health(context.Background())
	notify(a.recheck)
	notify(a.wake)
	return err != nil || h.Incarnation != incarnation
}
