package registry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/site"
)

// departure is the incarnation of an endpoint that has left, and when it was seen to.
type departure struct {
	startedAt time.Time
	at        time.Time
}

func (r *Registry) applyEndpoints(changes []Change[*site.Endpoint]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	missingUntil := r.endpointFollower.regained(now).Add(MissingTime)
	for _, c := range changes {
		old := r.endpoints[c.Name]
		switch {
		case c.Copied && !r.isNews(old, c):
		case c.Removed && old != nil && now.Before(missingUntil) && old.State == site.Ready:
			r.keepMissing(c.Name, missingUntil)
			event.Info(r.Log, event.EndpointMissing, "endpoint", c.Name, "revision", c.Revision, "keptMs", missingUntil.Sub(now).Milliseconds())
		case c.Removed || c.Err != nil:
			r.recordDeparture(old, now)
			delete(r.endpoints, c.Name)
			delete(r.missingUntil, c.Name)
			if old != nil {
				event.Info(r.Log, event.EndpointRemoved, "endpoint", c.Name, "revision", c.Revision)
			}
		default:
			delete(r.missingUntil, c.Name)
			c.Value.DrainingSince = drainingSince(old, c.Value, now)
			if r.Builds != nil && (old == nil || !old.StartedAt.Equal(c.Value.StartedAt)) {
				r.Builds.Restarted(now, c.Name, c.Value.Build)
			}
			r.endpoints[c.Name] = c.Value
			r.holdBuild(c.Value)
			if old == nil || old.State != c.Value.State || !old.StartedAt.Equal(c.Value.StartedAt) || c.Value.ColdRemaining > 0 {
				event.Info(r.Log, event.EndpointListed, "endpoint", c.Name, "service", c.Value.Service, "state", c.Value.State.String(), "build", c.Value.Build,
					"failureDomain", c.Value.FailureDomain, "coldMs", c.Value.ColdRemaining.Milliseconds(), "revision", c.Revision)
			}
		}
	}
	r.markEndpointsListed()
	if len(changes) > 0 {
		r.publishEndpoints()
	}
}

// drainingSince returns when an endpoint was seen to begin to drain, zero if that was not seen.
func drainingSince(old, e *site.Endpoint, now time.Time) time.Time {
	switch {
	case e.State != site.Draining || old == nil || !old.StartedAt.Equal(e.StartedAt):
		return time.Time{}
	case old.State == site.Ready:
		return now
	}
	return old.DrainingSince
}

// isNews reports whether an endpoint that was read from a restored store is newer than what was known: a later incarnation, one that has begun
// to leave, is cold or has later weights, or one that was neither known nor seen to leave. The caller must hold mu.
func (r *Registry) isNews(old *site.Endpoint, c Change[*site.Endpoint]) bool {
	switch {
	case c.Removed || c.Err != nil:
		return false
	case old == nil:
		left, ok := r.departed[c.Name]
		return !ok || c.Value.StartedAt.After(left.startedAt)
	case c.Value.StartedAt.After(old.StartedAt):
		return true
	}
	begunToLeave := old.State == site.Ready && c.Value.State != site.Ready
	return c.Value.StartedAt.Equal(old.StartedAt) && (begunToLeave || c.Value.ColdRemaining > 0 || hasNewerWeights(c.Value, old))
}

// hasNewerWeights reports whether an endpoint serves a later weight version of a model than another state of it.
func hasNewerWeights(e, old *site.Endpoint) bool {
	for _, m := range e.Models {
		if before, ok := old.Version(m.Model); ok && m.Version > before {
			return true
		}
	}
	return false
}

// recordDeparture records that an endpoint, nil for none, has left. The caller must hold mu.
func (r *Registry) recordDeparture(e *site.Endpoint, now time.Time) {
	for id, d := range r.departed {
		if now.Sub(d.at) > departureRetention {
			delete(r.departed, id)
		}
	}
	if e != nil {
		r.departed[e.ID] = departure{startedAt: e.StartedAt, at: now}
	}
}

func (r *Registry) publishEndpoints() {
	byService := map[string][]*site.Endpoint{}
	for _, e := range r.endpoints {
		if _, held := r.heldBuilds[build{e.Service, e.Build}]; held {
			continue
		}
		byService[e.Service] = append(byService[e.Service], e)
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b *site.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	r.next.Endpoints = byService
	r.next.EndpointsRevision++
	r.publish()
}

// keepMissing keeps a missing endpoint until a time. The caller must hold mu.
func (r *Registry) keepMissing(id string, until time.Time) {
	r.missingUntil[id] = until
	select {
	case r.missingChanged <- struct{}{}:
	default:
	}
}

// dropMissing drops the endpoints that did not come back after an outage, each at its time, until ctx is done.
func (r *Registry) dropMissing(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.missingChanged:
		case <-timer.C:
		}
		if next := r.dropMissingAt(time.Now()); !next.IsZero() {
			timer.Reset(time.Until(next))
		}
	}
}

// dropMissingAt drops the endpoints whose time has come and returns the time of the next one, zero if there is none.
func (r *Registry) dropMissingAt(now time.Time) (next time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	dropped := false
	for id, until := range r.missingUntil {
		if now.Before(until) {
			if next.IsZero() || until.Before(next) {
				next = until
			}
			continue
		}
		r.recordDeparture(r.endpoints[id], now)
		delete(r.missingUntil, id)
		delete(r.endpoints, id)
		dropped = true
		event.Info(r.Log, event.EndpointRemoved, "endpoint", id, "reason", "did not come back after an outage of the store")
	}
	if dropped {
		r.publishEndpoints()
	}
	return next
}
