package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/engine"
	"primrosecourse/pkg/wire"
)

// RoleServe is the role of an engine that computes prompts and generates.
const RoleServe = "Serve"

// engineStatus is what the keeper last found out about the engine.
type engineStatus struct {
	known          bool // the engine answered
	model, version string
	role           string
	detail         string
}

// serves reports whether the engine serves what the configuration says.
func (s engineStatus) serves(v *view) bool {
	return s.known && s.role == RoleServe && v.model != nil && s.model == v.model.Name && s.version == v.model.Version
}

func (s engineStatus) refusal() *refusal {
	if s.known {
		return refused(wire.ReasonWrongVersion, "the engine does not serve the weight version in force yet")
	}
	return refused(wire.ReasonEngineDown, s.detail)
}

const (
	// downRetry is the time between two looks at an engine that does not answer, orderRetry that after a failed order.
	downRetry  = 100 * time.Millisecond
	orderRetry = 200 * time.Millisecond
)

// keep reads back what the engine serves and orders what the configuration says, until ctx is done.
func (a *Agent) keep(ctx context.Context) {
	for ctx.Err() == nil {
		changed := a.Configuration.Changed()
		wait := a.reconcile(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-a.recheck:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// reconcile looks at the engine once and gives at most one order. It returns the time after which to look again.
func (a *Agent) reconcile(ctx context.Context) time.Duration {
	v := a.current()
	h, err := a.health(ctx)
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		a.engineDown(err)
		return downRetry
	}
	s := engineStatus{known: true, model: h.Model, version: h.Version, role: h.Role}
	changed := a.setStatus(s)
	if v == nil || v.model == nil {
		return a.ReconcileInterval
	}
	if s.serves(v) {
		if changed || a.served != s {
			event.Info(a.Log, event.EngineServing, "Model", h.Model, "Version", h.Version, "Role", h.Role)
		}
		a.served = s
		return a.ReconcileInterval
	}
	a.served = engineStatus{}
	event.Info(a.Log, event.EngineDiffers, "Model", h.Model, "Version", h.Version, "Role", h.Role,
		"WantModel", v.model.Name, "WantVersion", v.model.Version, "WantRole", RoleServe)
	return a.order(ctx, s)
}

func (a *Agent) engineDown(err error) {
	if a.setStatus(engineStatus{detail: "the engine cannot be reached"}) {
		event.Error(a.Log, err, event.EngineDown)
	}
}

// setStatus reports whether the status changed.
func (a *Agent) setStatus(s engineStatus) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := a.status != s
	a.status = s
	tell(a.wake)
	return changed
}

// order gives the engine the order that brings it nearer to the configuration in force.
func (a *Agent) order(ctx context.Context, s engineStatus) time.Duration {
	select {
	case <-a.epochOK:
	case <-time.After(orderRetry):
		return 0 // no order without an epoch, but the engine may come to serve what it should meanwhile
	case <-ctx.Done():
		return 0
	}
	// A shutdown waits for an order under way, and none is given after it began.
	if !a.begin() {
		return a.ReconcileInterval
	}
	defer a.work.Done()
	v := a.current()
	o := engine.Order{Kind: "SetRole", Role: RoleServe, Epoch: a.epoch}
	if s.model != v.model.Name || s.version != v.model.Version {
		release, err := a.permit(ctx)
		if err != nil {
			return 0
		}
		defer release()
		// The configuration may have changed while the agent waited for the permit.
		if v = a.current(); v.model == nil {
			return 0
		}
		o = engine.Order{Kind: "LoadVersion", Model: v.model.Name, Version: v.model.Version, Epoch: a.epoch}
	}
	started := time.Now()
	err := a.Engine.Order(ctx, o)
	switch {
	case ctx.Err() != nil:
		return 0
	case errors.Is(err, engine.ErrOldEpoch):
		event.Error(a.Log, err, event.AgentFenced, "Epoch", a.epoch)
		a.fence.Do(func() { close(a.fenced) })
		return a.ReconcileInterval
	case err != nil:
		a.count("orders.failed")
		event.Error(a.Log, err, event.EngineOrderFailed, "Kind", o.Kind, "Version", o.Version)
		return orderRetry
	}
	a.count("orders")
	event.Info(a.Log, event.EngineOrdered, "Kind", o.Kind, "Model", o.Model, "Version", o.Version, "Role", o.Role,
		"Epoch", o.Epoch, "Duration", time.Since(started).String())
	return 0 // read back at once
}
