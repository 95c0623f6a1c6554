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

// prompt is the state of one request in the agent.
type prompt struct {
	wire.Submit
	ctx  context.Context
	send func(wire.Message)
	// decision receives one value after the prompt has left the queue, unless admit removed it: nil once run is set, else
	// the refusal.
	decision chan *refusal

	// Set by the dispatcher before the decision.
	runID     string // identifier of the run at the engine
	run       *engine.Run
	runCtx    context.Context
	cancelRun context.CancelFunc // ends runCtx and thereby closes the stream from the engine
	suspect   bool
	blockIDs  []prefix.ID
	// enginePriority is the priority of the run at the engine, which the queue has computed.
	enginePriority int

	// expectedCachedTokens is the number of prompt tokens that were expected in the engine's cache when the prompt arrived,
	// fetchedTokens the number imported in addition.
	expectedCachedTokens int
	fetchedTokens        int
	// prefillTokens is the number of tokens that the engine has to prefill. It is 0 before the acceptance and after the
	// first token.
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
	p := &prompt{Submit: m, ctx: ctx, send: send, decision: make(chan *refusal, 1)}
	if !a.beginWork() {
		p.refuse(a, newRefusal(wire.ReasonDraining, "the agent stops"))
		return
	}
	defer a.work.Done()
	if r := a.admit(p); r != nil {
		p.refuse(a, r)
		return
	}
	a.streamAnswer(p)
}

func (p *prompt) refuse(a *Agent, r *refusal) {
	p.send(a.refusedMessage(event.PromptRefused, r, p.Stream, p.RequestID, p.Organisation))
}

// beginWork adds to work unless the agent is draining, and reports whether it did. If so, the caller must call work.Done.
func (a *Agent) beginWork() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return false
	}
	a.work.Add(1)
	return true
}

// admit checks and queues a prompt and waits until the engine has accepted it. It returns nil in this case, else the
// refusal.
func (a *Agent) admit(p *prompt) *refusal {
	cfg, r := a.awaitConfig(p.ctx, p.ConfigVersion, p.send)
	if r == nil {
		r = a.checkPrompt(cfg, p)
	}
	if r != nil {
		return r
	}
	if a.Blocks != nil {
		ids := prefix.Chain(p.Organisation, p.WeightVersion, p.Prompt, cfg.blockTokens())
		p.expectedCachedTokens = a.Blocks.CachedTokens(p.WeightVersion, ids)
		p.fetchedTokens = a.Blocks.Prepare(p.ctx, p.WeightVersion, p.Organisation, ids)
	}
	item, r := a.enqueue(p)
	if r != nil {
		return r
	}
	select {
	case r = <-p.decision:
		return r
	case <-p.ctx.Done():
	}
	a.mu.Lock()
	removed := a.queue.Remove(item)
	a.mu.Unlock()
	if !removed {
		// The prompt has left the queue and its decision follows. A submission in progress is not abandoned, since the
		// engine might then run a request that the agent does not count.
		return <-p.decision
	}
	return p.contextRefusal()
}

// contextRefusal is the refusal of a prompt whose context ended before it ran.
func (p *prompt) contextRefusal() *refusal {
	if errors.Is(p.ctx.Err(), context.DeadlineExceeded) {
		return newRefusal(wire.ReasonDeadline, "deadline passed in the queue")
	}
	return newRefusal(wire.ReasonCancelled, "cancelled in the queue")
}

// awaitConfig returns the localConfig of the version that the entry routed the request with. If that version is not in
// force yet, it requests it from the entry with send and waits up to ConfigWait. It returns a refusal if a newer version
// is in force, or if the wait or ctx ends first.
func (a *Agent) awaitConfig(ctx context.Context, routedVersion uint64, send func(wire.Message)) (*localConfig, *refusal) {
	deadline := time.NewTimer(a.ConfigWait)
	defer deadline.Stop()
	for {
		changed := a.Configuration.Changed()
		cfg := a.currentConfig()
		switch {
		case cfg != nil && routedVersion == cfg.version():
			return cfg, nil
		case cfg != nil && routedVersion < cfg.version():
			return nil, newRefusal(wire.ReasonOldConfig, "routed by an older configuration")
		case a.Configuration.StartFetch(routedVersion):
			send(wire.ConfigWant{Version: a.Configuration.Version()})
		}
		select {
		case <-changed:
		case <-deadline.C:
			return nil, newRefusal(wire.ReasonOldConfig, "the agent lacks the configuration of the entry")
		case <-ctx.Done():
			return nil, newRefusal(wire.ReasonCancelled, "cancelled before it was queued")
		}
	}
}

// checkConfig returns the refusal of a prompt that the configuration does not allow, else nil.
func (p *prompt) checkConfig(cfg *localConfig) *refusal {
	switch {
	case cfg.endpoint == nil:
		return newRefusal(wire.ReasonLeaving, "the endpoint is not in the configuration")
	case cfg.leaving:
		return newRefusal(wire.ReasonLeaving, "the endpoint or its failure domain is leaving")
	case len(p.Prompt) == 0 || p.MaxTokens <= len(p.Given):
		return newRefusal(wire.ReasonBadRequest, "no prompt, or no tokens to generate")
	case cfg.model == nil || p.Model != cfg.model.Name:
		return newRefusal(wire.ReasonUnknownModel, "the endpoint does not serve the model")
	case !mayUseModel(cfg.organisations[p.Organisation], p.Model):
		return newRefusal(wire.ReasonNotEntitled, "the organisation may not use the model")
	case p.WeightVersion != cfg.model.Version:
		return newRefusal(wire.ReasonWrongVersion, "the weight version is not the one in force")
	}
	return nil
}

// checkPrompt returns the refusal of a prompt that the configuration or the state of the endpoint does not allow, else
// nil. It is called when the prompt arrives and again right before the submission.
func (a *Agent) checkPrompt(cfg *localConfig, p *prompt) *refusal {
	if r := p.checkConfig(cfg); r != nil {
		return r
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.status.serves(cfg) {
		return a.status.refusal()
	}
	switch a.marks.State(now, p.Fingerprint) {
	case quarantine.Quarantined:
		r := newRefusal(wire.ReasonQuarantined, "the request crashed several endpoints")
		r.retryAfter = a.marks.Remaining(now, p.Fingerprint)
		return r
	case quarantine.Suspect:
		if a.suspects > 0 {
			return newRefusal(wire.ReasonSuspectRunning, "another suspect of a crash is running")
		}
	}
	return nil
}

// enqueue queues a prompt with its expected work as the cost: the prompt tokens that are not cached, and the answer.
// If the cost were the whole prompt length, a few cached prompts would appear to the entries as half a minute of work,
// and long cached prompts would wait behind short ones that take more time. Given tokens are part of the answer and of
// MaxTokens; they are prefilled instead of generated.
func (a *Agent) enqueue(p *prompt) (*fairqueue.Item[*prompt], *refusal) {
	deadline, _ := p.ctx.Deadline()
	a.mu.Lock()
	defer a.mu.Unlock()
	// A configuration that arrived after the first check may already have been applied to the queue, without this prompt.
	if r := p.checkConfig(a.currentConfig()); r != nil {
		return nil, r
	}
	item, evicted, err := a.queue.Push(time.Now(), fairqueue.Request[*prompt]{
		Organisation: p.Organisation, Priority: p.Priority, Deadline: deadline, Value: p,
		Cost: float64(max(0, len(p.Prompt)-p.expectedCachedTokens-p.fetchedTokens) + p.MaxTokens),
	})
	if evicted != nil {
		r := newRefusal(wire.ReasonBusy, "the queue is full and the organisation is above its share")
		r.retryAfter = a.queue.RetryAfter()
		evicted.Value.decision <- r
	}
	if err != nil {
		r := newRefusal(wire.ReasonBusy, err.Error())
		if a.allowance.Cold() {
			r.reason = wire.ReasonCold
		}
		var full *fairqueue.FullError
		if errors.As(err, &full) {
			r.retryAfter = full.RetryAfter
		}
		return nil, r
	}
	notify(a.wake)
	return item, nil
}
