package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/engine"
	"primrosecourse/pkg/fairqueue"
	"primrosecourse/pkg/prefix"
	"primrosecourse/pkg/quarantine"
	"primrosecourse/pkg/wire"
)

// prompt is one request on its way through the agent.
type prompt struct {
	wire.Submit
	ctx  context.Context
	send func(wire.Message)
	// decided is told once, by whoever took the prompt out of the queue: nil after run was set, else the refusal.
	decided chan *refusal

	// Set by the dispatcher before it decides.
	id      string // at the engine
	run     *engine.Run
	runCtx  context.Context
	cutRun  context.CancelFunc // ends runCtx, and with it the stream from the engine
	suspect bool
	ids     []prefix.ID
	// enginePriority is the priority at the engine.
	enginePriority int

	// heldTokens is what the engine was expected to hold at the arrival, fetchedTokens what was imported beside it.
	heldTokens    int
	fetchedTokens int
	// prefillTokens are what the engine has to compute, from the acceptance to the first token.
	prefillTokens int
	started       time.Time
}

// Submit implements entry.Handler.
func (a *Agent) Submit(ctx context.Context, m wire.Submit, send func(wire.Message)) {
	a.init()
	if m.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, m.Timeout)
		defer cancel()
	}
	p := &prompt{Submit: m, ctx: ctx, send: send, decided: make(chan *refusal, 1)}
	if !a.begin() {
		p.refuse(a, refused(wire.ReasonDraining, "the agent stops"))
		return
	}
	defer a.work.Done()
	if r := a.await(p); r != nil {
		p.refuse(a, r)
		return
	}
	a.stream(p)
}

func (p *prompt) refuse(a *Agent, r *refusal) {
	p.send(a.message(event.PromptRefused, r, p.Stream, p.RequestID, p.Organisation))
}

// begin lets work in unless the agent drains. The caller ends it with work.Done.
func (a *Agent) begin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return false
	}
	a.work.Add(1)
	return true
}

// await brings a prompt to the engine, or returns why not.
func (a *Agent) await(p *prompt) *refusal {
	v, r := a.agree(p.ctx, p.ConfigVersion, p.send)
	if r == nil {
		r = a.check(v, p)
	}
	if r != nil {
		return r
	}
	if a.Blocks != nil {
		ids := prefix.Chain(p.Organisation, p.WeightVersion, p.Prompt, v.blockTokens())
		p.heldTokens = a.Blocks.Held(p.WeightVersion, ids)
		p.fetchedTokens = a.Blocks.Prepare(p.ctx, p.WeightVersion, p.Organisation, ids)
	}
	item, r := a.enqueue(p)
	if r != nil {
		return r
	}
	select {
	case r = <-p.decided:
		return r
	case <-p.ctx.Done():
	}
	a.mu.Lock()
	removed := a.queue.Remove(item)
	a.mu.Unlock()
	if !removed {
		// Somebody took it out and is deciding. A submission is not given up half-way, since the engine might then run
		// a request that the agent does not count.
		return <-p.decided
	}
	return p.ended()
}

// ended is the refusal of a prompt whose context ended before it ran.
func (p *prompt) ended() *refusal {
	if errors.Is(p.ctx.Err(), context.DeadlineExceeded) {
		return refused(wire.ReasonDeadline, "deadline passed in the queue")
	}
	return refused(wire.ReasonCancelled, "cancelled in the queue")
}

// agree returns the configuration in force if it is the one that the entry routed by. It waits a moment for a newer one.
func (a *Agent) agree(ctx context.Context, routedBy uint64, send func(wire.Message)) (*view, *refusal) {
	deadline := time.NewTimer(a.ConfigWait)
	defer deadline.Stop()
	for {
		changed := a.Configuration.Changed()
		v := a.current()
		switch {
		case v != nil && routedBy == v.version():
			return v, nil
		case v != nil && routedBy < v.version():
			return nil, refused(wire.ReasonOldConfig, "routed by an older configuration")
		case a.Configuration.Wants(routedBy):
			send(wire.ConfigWant{Version: a.Configuration.Version()})
		}
		select {
		case <-changed:
		case <-deadline.C:
			return nil, refused(wire.ReasonOldConfig, "the agent lacks the configuration of the entry")
		case <-ctx.Done():
			return nil, refused(wire.ReasonCancelled, "cancelled before it was queued")
		}
	}
}

// fits returns why a prompt may not run by the configuration.
func (p *prompt) fits(v *view) *refusal {
	switch {
	case v.endpoint == nil:
		return refused(wire.ReasonLeaving, "the endpoint is not in the configuration")
	case v.leaving:
		return refused(wire.ReasonLeaving, "the endpoint or its failure domain is leaving")
	case len(p.Prompt) == 0 || p.MaxTokens <= len(p.Given):
		return refused(wire.ReasonBadRequest, "no prompt, or no tokens to generate")
	case v.model == nil || p.Model != v.model.Name:
		return refused(wire.ReasonUnknownModel, "the endpoint does not serve the model")
	case !entitled(v.organisations[p.Organisation], p.Model):
		return refused(wire.ReasonNotEntitled, "the organisation may not use the model")
	case p.WeightVersion != v.model.Version:
		return refused(wire.ReasonWrongVersion, "the weight version is not the one in force")
	}
	return nil
}

// check returns why a prompt may not run by the configuration and the state of the endpoint. It is called at the arrival
// and again right before the submission.
func (a *Agent) check(v *view, p *prompt) *refusal {
	if r := p.fits(v); r != nil {
		return r
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.status.serves(v) {
		return a.status.refusal()
	}
	switch a.table.State(now, p.Fingerprint) {
	case quarantine.Quarantined:
		r := refused(wire.ReasonQuarantined, "the request crashed several endpoints")
		r.retryAfter = a.table.Remaining(now, p.Fingerprint)
		return r
	case quarantine.Suspect:
		if a.suspects > 0 {
			return refused(wire.ReasonSuspectRunning, "another suspect of a crash is running")
		}
	}
	return nil
}

// enqueue queues a prompt by the work that it brings: the prompt tokens that no cache holds, and the answer. By its whole
// length, a few cached prompts in the queue looked like half a minute of work to the entries, and long cached ones waited
// behind short ones that take more time. Tokens already given are computed instead of generated.
func (a *Agent) enqueue(p *prompt) (*fairqueue.Item[*prompt], *refusal) {
	deadline, _ := p.ctx.Deadline()
	a.mu.Lock()
	defer a.mu.Unlock()
	// A configuration that came since the check has been applied to the queue already.
	if r := p.fits(a.current()); r != nil {
		return nil, r
	}
	item, evicted, err := a.queue.Push(time.Now(), fairqueue.Request[*prompt]{
		Organisation: p.Organisation, Priority: p.Priority, Deadline: deadline, Value: p,
		Cost: float64(max(0, len(p.Prompt)-p.heldTokens-p.fetchedTokens) + p.MaxTokens),
	})
	if evicted != nil {
		r := refused(wire.ReasonBusy, "the queue is full and the organisation is above its share")
		r.retryAfter = a.queue.RetryAfter()
		evicted.Value.decided <- r
	}
	if err != nil {
		r := refused(wire.ReasonBusy, err.Error())
		if a.allowance.Cold() {
			r.reason = wire.ReasonCold
		}
		var full *fairqueue.FullError
		if errors.As(err, &full) {
			r.retryAfter = full.RetryAfter
		}
		return nil, r
	}
	tell(a.wake)
	return item, nil
}
