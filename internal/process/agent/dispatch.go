package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/engine"
	"primrosecourse/pkg/fairqueue"
	"primrosecourse/pkg/intake"
	"primrosecourse/pkg/prefix"
	"primrosecourse/pkg/quarantine"
	"primrosecourse/pkg/warmup"
	"primrosecourse/pkg/wire"
)

const (
	// healthTimeout bounds a health check; the engine is on the same machine.
	healthTimeout = time.Second
	// submitTimeout bounds the wait for the engine to accept or refuse a submission.
	submitTimeout = 5 * time.Second
	// pollInterval is the maximum time that the dispatcher sleeps between two passes while prompts are queued.
	pollInterval = 50 * time.Millisecond
	// idleInterval is the maximum time that the dispatcher sleeps while the queue is empty.
	idleInterval = time.Second
	// maxRateAge is the age of a status report from which the rate that it states is asked for again. The acceptance of a run states none.
	maxRateAge = 250 * time.Millisecond
	// triesPerRun is how often the dispatcher tries to submit a prompt in the mean time between two runs that the engine accepts, while the rate
	// that it stated forbids more.
	triesPerRun = 4
)

// dispatch submits prompts to the engine, one at a time, until ctx is done, and then refuses the queued ones. Only this
// goroutine calls Observe and Accepted of the allowance, which set the engine's incarnation: calls from two goroutines
// could come out of order, so that an old incarnation would replace the current one.
func (a *Agent) dispatch(ctx context.Context) {
	defer a.refuseQueued(func() *refusal { return newRefusal(wire.ReasonDraining, "the agent stops") })
	var lastConfig *localConfig
	for ctx.Err() == nil {
		changed := a.Configuration.Changed()
		if cfg := a.currentConfig(); cfg != nil && cfg != lastConfig {
			lastConfig = cfg
			a.refuseDisallowed(cfg)
		}
		wait := a.refreshAllowance(ctx)
		a.rateWait = wait
		if p := a.nextPrompt(ctx); p != nil {
			a.submit(p)
			continue
		}
		wait = min(wait, a.rateWait)
		select {
		case <-a.wake:
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// refreshAllowance applies the configured limits and checks the engine's health if the next submission needs a recent
// report. It returns the maximum time until the next pass of the dispatcher.
func (a *Agent) refreshAllowance(ctx context.Context) time.Duration {
	cfg := a.currentConfig()
	a.mu.Lock()
	if cfg != nil && cfg.endpoint != nil {
		a.allowance.SetLimits(cfg.endpoint.BatchLimit, cfg.endpoint.ColdLimit)
		a.queue.SetLength(cfg.snapshot.Deployment.Limits.QueueLength)
		a.marks.SetMarkLifetime(cfg.snapshot.Deployment.Limits.QuarantineTime)
	}
	waiting := a.queue.Len() > 0
	needed := a.allowance.NeedsReport(time.Now()) || (waiting && time.Since(a.reportedAt) >= maxRateAge)
	a.mu.Unlock()
	if !needed {
		if waiting {
			return pollInterval
		}
		return idleInterval
	}
	asked := time.Now()
	h, err := a.health(ctx)
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		a.setEngineDown(err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.allowance.Lost()
		notify(a.recheck)
	} else if a.allowance.Observe(time.Now(), warmup.Report{
		Incarnation: h.Incarnation, Warm: h.Warm, Capacity: h.Capacity, Running: h.Running,
	}) {
		a.intake.Retain(func(string) bool { return false }) // an earlier incarnation stated the rate
		a.recordColdEngine(h.Incarnation)
	}
	if err == nil {
		a.reportedAt = asked
		a.recordRate(asked, h)
	}
	if a.queue.Len() > 0 {
		return pollInterval
	}
	return idleInterval
}

// engineIntake is the name of the engine in Agent.intake.
const engineIntake = "engine"

// recordRate records the rate of runs that a report of the engine states.
func (a *Agent) recordRate(asked time.Time, h engine.Health) {
	s := intake.Statement{HasRate: h.RateLimited, Rate: h.MaxRate, Invalid: h.RateLimited && !(h.MaxRate >= 0)}
	if change := a.intake.Observe(time.Now(), asked, engineIntake, s); change.Notable {
		event.Info(a.Log, event.EngineRateLimited, "PerSecond", change.After, "Before", change.Before, "Incarnation", h.Incarnation)
	}
}

// recordColdEngine logs and counts that the engine has a new incarnation, and wakes reconcileLoop. The caller must hold
// mu.
func (a *Agent) recordColdEngine(incarnation uint64) {
	a.count("engine.cold")
	event.Info(a.Log, event.EngineTurnedCold, "Incarnation", incarnation, "Allowance", a.allowance.Limit())
	notify(a.recheck) // the engine may have restarted with other weights
}

// nextPrompt removes the next prompt from the queue and registers it as a run. It returns nil if the queue is empty or no
// run can start now. Prompts that must not run are refused; these are all queued prompts while the engine does not serve
// what the configuration says.
func (a *Agent) nextPrompt(ctx context.Context) *prompt {
	cfg := a.currentConfig()
	for {
		a.mu.Lock()
		if a.stopping {
			a.mu.Unlock()
			return nil
		}
		if cfg == nil || !a.status.serves(cfg) {
			status := a.status
			a.mu.Unlock()
			a.refuseQueued(status.refusal)
			return nil
		}
		if !a.allowance.Fresh(time.Now()) || a.allowance.Free() == 0 || a.queue.Len() == 0 {
			a.mu.Unlock()
			return nil
		}
		if d := a.intake.Admit(time.Now(), engineIntake, 1, rand.Float64()); !d.Admitted {
			a.count("engine.rateLimited")
			a.rateWait = time.Duration(float64(time.Second) / (triesPerRun * d.Rate))
			a.mu.Unlock()
			return nil
		}
		item, expired := a.queue.Pop(time.Now())
		a.mu.Unlock()
		for _, e := range expired {
			e.Value.decision <- newRefusal(wire.ReasonDeadline, "deadline passed in the queue")
		}
		if item == nil {
			return nil
		}
		p := item.Value
		p.enginePriority = item.EnginePriority()
		if p.ctx.Err() != nil {
			p.decision <- p.contextRefusal()
			continue
		}
		if r := a.checkPrompt(cfg, p); r != nil {
			p.decision <- r
			continue
		}
		p.blockIDs = prefix.Chain(p.Organisation, cfg.model.Version, p.Prompt, cfg.blockTokens())
		a.register(ctx, p)
		return p
	}
}

// refuseDisallowed refuses queued prompts that a new configuration does not allow, so that entries can route them
// elsewhere at once.
func (a *Agent) refuseDisallowed(cfg *localConfig) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, item := range a.queue.Filter(func(item *fairqueue.Item[*prompt]) bool { return item.Value.checkConfig(cfg) == nil }) {
		item.Value.decision <- item.Value.checkConfig(cfg)
	}
}

// refuseQueued refuses every prompt in the queue with makeRefusal, and those whose deadline has passed with
// ReasonDeadline.
func (a *Agent) refuseQueued(makeRefusal func() *refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		item, expired := a.queue.Pop(time.Now())
		for _, e := range expired {
			e.Value.decision <- newRefusal(wire.ReasonDeadline, "deadline passed in the queue")
		}
		if item == nil {
			return
		}
		item.Value.decision <- makeRefusal()
	}
}

// register adds a prompt to the active runs. The run has the identifier of the request, unless the request has none or an
// earlier run of the same request has not ended, which happens when an entry lost its connection and reconnected.
func (a *Agent) register(ctx context.Context, p *prompt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runCount++
	p.runID = p.RequestID
	if p.runID == "" || a.active[p.runID] != nil {
		p.runID = fmt.Sprintf("%s#%x.%d", p.RequestID, a.Incarnation, a.runCount)
	}
	a.active[p.runID] = p
	p.runCtx, p.cancelRun = context.WithCancel(ctx)
	if a.marks.State(time.Now(), p.Fingerprint) == quarantine.Suspect {
		p.suspect = true
		a.suspects++
	}
}

// submit sends a prompt to the engine and the result to p.decision.
func (a *Agent) submit(p *prompt) {
	req := engine.Request{
		RequestID: p.runID, Model: p.Model, Version: p.WeightVersion, Prompt: p.Prompt, Given: p.Given,
		MaxTokens: p.MaxTokens, Priority: p.enginePriority, Blocks: make([]string, len(p.blockIDs)),
	}
	for i, id := range p.blockIDs {
		req.Blocks[i] = id.String()
	}
	a.intake.Sent(time.Now(), engineIntake)
	timeout := time.AfterFunc(submitTimeout, p.cancelRun)
	run, err := a.Engine.Generate(p.runCtx, req)
	timeout.Stop()
	if err != nil {
		p.decision <- a.submissionRefusal(p, err)
		return
	}
	p.run, p.started = run, time.Now()
	a.mu.Lock()
	if a.allowance.Accepted(p.started, run.Accepted.Incarnation) {
		a.recordColdEngine(run.Accepted.Incarnation)
	}
	p.prefillTokens = max(0, len(p.Prompt)+len(p.Given)-run.Accepted.CachedTokens)
	a.mu.Unlock()
	p.decision <- nil
}

// submissionRefusal removes a run whose submission failed and returns the refusal for the error.
func (a *Agent) submissionRefusal(p *prompt, err error) *refusal {
	a.mu.Lock()
	incarnation := a.allowance.Incarnation()
	a.mu.Unlock()
	r := newRefusal(wire.ReasonEngineDown, err.Error())
	switch {
	case errors.Is(err, engine.ErrBusy):
		a.count("engine.busy")
		r.reason = wire.ReasonBusy
	case errors.Is(err, engine.ErrWrongVersion):
		r.reason = wire.ReasonWrongVersion
	case errors.Is(err, engine.ErrBadRequest):
		r = newRefusal(wire.ReasonBadRequest, err.Error())
	case errors.Is(err, engine.ErrNotSent):
	default:
		r.outcome = wire.OutcomeUnknown
		if p.runCtx.Err() == nil && a.crashed(incarnation) {
			a.markSuspect(p)
		}
	}
	notify(a.recheck)
	a.unregister(p, func() { a.allowance.Lost() })
	return r
}

// unregister removes a run, calls update while it holds mu, and wakes the dispatcher.
func (a *Agent) unregister(p *prompt, update func()) {
	p.cancelRun()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.active, p.runID)
	if p.suspect {
		a.suspects--
	}
	update()
	notify(a.wake)
}

func (a *Agent) health(ctx context.Context) (engine.Health, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	return a.Engine.Health(ctx)
}
