package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/engine"
	"primrosecourse/pkg/wire"
)

// RoleServe is the role of an engine that prefills prompts and generates answers.
const RoleServe = "Serve"

// engineStatus is the result of the last health check of the engine.
type engineStatus struct {
	reachable      bool // the engine answered
	model, version string
	role           string
	detail         string
}

// serves reports whether the engine has the configured model and weight version, and the role RoleServe.
func (s engineStatus) serves(cfg *localConfig) bool {
	return s.reachable && s.role == RoleServe && cfg.model != nil && s.model == cfg.model.Name && s.version == cfg.model.Version
}

func (s engineStatus) refusal() *refusal {
	if s.reachable {
		return newRefusal(wire.ReasonWrongVersion, "the engine does not serve the weight version in force yet")
	}
	return newRefusal(wire.ReasonEngineDown, s.detail)
}

const (
	// healthRetryInterval is the time between two health checks of an engine that does not answer. orderRetryInterval
	// is the time before a failed order is retried, and the wait for the epoch before the engine is checked again.
	healthRetryInterval = 100 * time.Millisecond
	orderRetryInterval  = 200 * time.Millisecond
)

// reconcileLoop makes the engine serve what the configuration says, until ctx is done.
func (a *Agent) reconcileLoop(ctx context.Context) {
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

// reconcile checks the engine once and sends at most one order. It returns the maximum time until the next check.
func (a *Agent) reconcile(ctx context.Context) time.Duration {
	cfg := a.currentConfig()
	h, err := a.health(ctx)
	if ctx.Err() != nil {
		return 0
	}
	if err != nil {
		a.setEngineDown(err)
		return healthRetryInterval
	}
	s := engineStatus{reachable: true, model: h.Model, version: h.Version, role: h.Role}
	changed := a.setStatus(s)
	if cfg == nil || cfg.model == nil {
		return a.ReconcileInterval
	}
	if s.serves(cfg) {
		if changed || a.lastServing != s {
			event.Info(a.Log, event.EngineServing, "Model", h.Model, "Version", h.Version, "Role", h.Role)
		}
		a.lastServing = s
		return a.ReconcileInterval
	}
	a.lastServing = engineStatus{}
	event.Info(a.Log, event.EngineDiffers, "Model", h.Model, "Version", h.Version, "Role", h.Role,
		"WantModel", cfg.model.Name, "WantVersion", cfg.model.Version, "WantRole", RoleServe)
	return a.sendOrder(ctx, s)
}

func (a *Agent) setEngineDown(err error) {
	if a.setStatus(engineStatus{detail: "the engine cannot be reached"}) {
		event.Error(a.Log, err, event.EngineDown)
	}
}

// setStatus records the status and reports whether it changed.
func (a *Agent) setStatus(s engineStatus) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := a.status != s
	a.status = s
	notify(a.wake)
	return changed
}

// sendOrder sends the next order that is needed for the engine to serve what the configuration says: LoadVersion for
// the weights, then SetRole. It returns the maximum time until the next check.
func (a *Agent) sendOrder(ctx context.Context, s engineStatus) time.Duration {
	select {
	case <-a.epochRaised:
	case <-time.After(orderRetryInterval):
		return 0 // no order without an epoch, but check again: the engine may have loaded the weights meanwhile
	case <-ctx.Done():
		return 0
	}
	// A shutdown waits for an order in progress, and no order starts after the shutdown began.
	if !a.beginWork() {
		return a.ReconcileInterval
	}
	defer a.work.Done()
	cfg := a.currentConfig()
	if cfg == nil || cfg.model == nil { // withdrawn while this agent waited for an epoch
		return a.ReconcileInterval
	}
	o := engine.Order{Kind: "SetRole", Role: RoleServe, Epoch: a.epoch}
	if s.model != cfg.model.Name || s.version != cfg.model.Version {
		release, err := a.acquireLoadPermit(ctx)
		if err != nil {
			return 0
		}
		defer release()
		// The configuration may have changed during the wait for the permit.
		if cfg = a.currentConfig(); cfg == nil || cfg.model == nil {
			return 0
		}
		o = engine.Order{Kind: "LoadVersion", Model: cfg.model.Name, Version: cfg.model.Version, Epoch: a.epoch}
	}
	started := time.Now()
	err := a.Engine.Order(ctx, o)
	switch {
	case ctx.Err() != nil:
		return 0
	case errors.Is(err, engine.ErrOldEpoch):
		event.Error(a.Log, err, event.AgentFenced, "Epoch", a.epoch)
		a.fenceOnce.Do(func() { close(a.fenced) })
		return a.ReconcileInterval
	case err != nil:
		a.count("orders.failed")
		event.Error(a.Log, err, event.EngineOrderFailed, "Kind", o.Kind, "Version", o.Version)
		return orderRetryInterval
	}
	a.count("orders")
	event.Info(a.Log, event.EngineOrdered, "Kind", o.Kind, "Model", o.Model, "Version", o.Version, "Role", o.Role,
		"Epoch", o.Epoch, "Duration", time.Since(started).String())
	return 0 // check the result at once
}
