package agent

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/engine"
	"primrosecourse/pkg/fairqueue"
	"primrosecourse/pkg/prefix"
	"primrosecourse/pkg/quarantine"
	"primrosecourse/pkg/warmup"
	"primrosecourse/pkg/wire"
)

const (
	// healthTimeout bounds a health read; the engine is on the same machine.
	healthTimeout = time.Second
	// submitTimeout bounds the wait for the engine's answer to a submission.
	submitTimeout = 5 * time.Second
	// pollInterval is how often an engine is asked for its state while work waits for a place.
	pollInterval = 50 * time.Millisecond
	// idleInterval is how often an engine is asked for its state while no work waits.
	idleInterval = time.Second
)

// dispatch submits prompts to the engine, one at a time, until ctx is done. Only this goroutine reports the engine's
// signs to the allowance: signs from two goroutines could arrive out of order and bring a dead incarnation back.
func (a *Agent) dispatch(ctx context.Context) {
	defer a.refuseQueued(func() *refusal { return refused(wire.ReasonDraining, "the agent stops") })
	var seen *view
	for ctx.Err() == nil {
		changed := a.Configuration.Changed()
		if v := a.current(); v != nil && v != seen {
			seen = v
			a.refuseUnfit(v)
		}
		wait := a.sign(ctx)
		if p := a.next(ctx); p != nil {
			a.submit(p)
			continue
		}
		select {
		case <-a.wake:
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// sign reads the engine's state if a submission needs it, and returns the time after which to look again.
func (a *Agent) sign(ctx context.Context) time.Duration {
	v := a.current()
	a.mu.Lock()
	if v != nil && v.endpoint != nil {
		a.allowance.SetLimits(v.endpoint.BatchLimit, v.endpoint.ColdLimit)
		a.queue.SetLength(v.snapshot.Deployment.Limits.QueueLength)
		a.table.SetTime(v.snapshot.Deployment.Limits.QuarantineTime)
	}
	wanted := a.queue.Len() > 0
	needed := a.allowance.NeedsSign(time.Now())
	a.mu.Unlock()
	if !needed {
		if wanted {
			return pollInterval
		}
		return idleInterval
	}
	h, err := a.health(ctx)
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		a.engineDown(err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.allowance.Lost()
		tell(a.recheck)
	} else if a.allowance.Observe(time.Now(), warmup.Sign{
		Incarnation: h.Incarnation, Warm: h.Warm, Capacity: h.Capacity, Running: h.Running,
	}) {
		a.turnedCold(h.Incarnation)
	}
	if a.queue.Len() > 0 {
		return pollInterval
	}
	return idleInterval
}

// turnedCold is called with the mutex held.
func (a *Agent) turnedCold(incarnation uint64) {
	a.count("engine.cold")
	event.Info(a.Log, event.EngineTurnedCold, "Incarnation", incarnation, "Allowance", a.allowance.Limit())
	tell(a.recheck) // it may have restarted with other weights
}

// next takes the next prompt out of the queue if the engine may be given one, else nil. Prompts that may not run are
// refused.
func (a *Agent) next(ctx context.Context) *prompt {
	v := a.current()
	for {
		a.mu.Lock()
		if a.stopping {
			a.mu.Unlock()
			return nil
		}
		if v == nil || !a.status.serves(v) {
			status := a.status
			a.mu.Unlock()
			a.refuseQueued(status.refusal)
			return nil
		}
		if !a.allowance.Fresh(time.Now()) || a.allowance.Free() == 0 {
			a.mu.Unlock()
			return nil
		}
		item, expired := a.queue.Pop(time.Now())
		a.mu.Unlock()
		for _, e := range expired {
			e.Value.decided <- refused(wire.ReasonDeadline, "deadline passed in the queue")
		}
		if item == nil {
			return nil
		}
		p := item.Value
		p.enginePriority = item.EnginePriority()
		if p.ctx.Err() != nil {
			p.decided <- p.ended()
			continue
		}
		if r := a.check(v, p); r != nil {
			p.decided <- r
			continue
		}
		p.ids = prefix.Chain(p.Organisation, v.model.Version, p.Prompt, v.blockTokens())
		a.register(ctx, p)
		return p
	}
}

// refuseUnfit refuses queued prompts that a new configuration does not allow, so that they go elsewhere at once.
func (a *Agent) refuseUnfit(v *view) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, item := range a.queue.Filter(func(item *fairqueue.Item[*prompt]) bool { return item.Value.fits(v) == nil }) {
		item.Value.decided <- item.Value.fits(v)
	}
}

// refuseQueued empties the queue.
func (a *Agent) refuseQueued(why func() *refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		item, expired := a.queue.Pop(time.Now())
		for _, e := range expired {
			e.Value.decided <- refused(wire.ReasonDeadline, "deadline passed in the queue")
		}
		if item == nil {
			return
		}
		item.Value.decided <- why()
	}
}

// register counts a prompt as submitted. Its identifier at the engine is that of the request, unless a run of the same
// request has not ended yet, which happens when an entry lost its connection and came back.
func (a *Agent) register(ctx context.Context, p *prompt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	p.id = p.RequestID
	if p.id == "" || a.active[p.id] != nil {
		p.id = fmt.Sprintf("%s#%x.%d", p.RequestID, a.Incarnation, a.sequence)
	}
	a.active[p.id] = p
	p.runCtx, p.cutRun = context.WithCancel(ctx)
	if a.table.State(time.Now(), p.Fingerprint) == quarantine.Suspect {
		p.suspect = true
		a.suspects++
	}
}

// submit gives a prompt to the engine and decides it.
func (a *Agent) submit(p *prompt) {
	req := engine.Request{
		RequestID: p.id, Model: p.Model, Version: p.WeightVersion, Prompt: p.Prompt, Given: p.Given,
		MaxTokens: p.MaxTokens, Priority: p.enginePriority, Blocks: make([]string, len(p.ids)),
	}
	for i, id := range p.ids {
		req.Blocks[i] = id.String()
	}
	timeout := time.AfterFunc(submitTimeout, p.cutRun)
	run, err := a.Engine.Generate(p.runCtx, req)
	timeout.Stop()
	if err != nil {
		p.decided <- a.notAccepted(p, err)
		return
	}
	p.run, p.started = run, time.Now()
	a.mu.Lock()
	if a.allowance.Accepted(p.started, run.Accepted.Incarnation) {
		a.turnedCold(run.Accepted.Incarnation)
	}
	p.prefillTokens = max(0, len(p.Prompt)+len(p.Given)-run.Accepted.CachedTokens)
	a.mu.Unlock()
	p.decided <- nil
}

// notAccepted turns the error of a submission into a refusal.
func (a *Agent) notAccepted(p *prompt, err error) *refusal {
	a.mu.Lock()
	known := a.allowance.Incarnation()
	a.mu.Unlock()
	r := refused(wire.ReasonEngineDown, err.Error())
	switch {
	case errors.Is(err, engine.ErrBusy):
		a.count("engine.busy")
		r.reason = wire.ReasonBusy
	case errors.Is(err, engine.ErrWrongVersion):
		r.reason = wire.ReasonWrongVersion
	case errors.Is(err, engine.ErrBadRequest):
		r = refused(wire.ReasonBadRequest, err.Error())
	case errors.Is(err, engine.ErrNotSent):
	default:
		r.outcome = wire.OutcomeUnknown
		if p.runCtx.Err() == nil && a.crashed(known) {
			a.suspect(p)
		}
	}
	tell(a.recheck)
	a.unregister(p, func() { a.allowance.Lost() })
	return r
}

// unregister counts a prompt as ended and wakes the dispatcher. With the mutex held it calls update.
func (a *Agent) unregister(p *prompt, update func()) {
	p.cutRun()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.active, p.id)
	if p.suspect {
		a.suspects--
	}
	update()
	tell(a.wake)
}

func (a *Agent) health(ctx context.Context) (engine.Health, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	return a.Engine.Health(ctx)
}
