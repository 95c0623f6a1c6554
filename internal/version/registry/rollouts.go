package registry

import (
	"encoding/json"
	"maps"
	"strings"
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/bootclock"
	"primrosecourse/pkg/rollout"
	"primrosecourse/pkg/site"
)

const (
	// rolloutsWatchTimeout is how long a watch of rollouts waits. A gateway may learn of an order late, since the endpoints of a new build are
	// held back until a read of the orders that began after they were listed.
	rolloutsWatchTimeout = 5 * time.Second
	// orderWatchTimeout is how long a watch of shared objects waits while a rollout is active: nothing is sent to its target unless its state
	// was confirmed recently.
	orderWatchTimeout = 400 * time.Millisecond
	// promptWatchTimeout is how long a watch waits that is to confirm a kind at once.
	promptWatchTimeout = 5 * time.Millisecond
)

// build is a build of a service.
type build struct{ service, build string }

// RolloutStateName returns the name of the shared object with the state of a service's rollout.
func RolloutStateName(service string) string { return rolloutPrefix + service }

// RolloutCountsName returns the name of the shared object in which a gateway reports what it counts for rollouts.
func RolloutCountsName(gateway string) string { return rolloutCountsPrefix + gateway }

// StoredRollout is what the store has of the state of a service's rollout, as far as this gateway knows.
type StoredRollout struct {
	// Revision is that of the object, 0 if there is none; SeenAt is when it was seen to change.
	Revision uint64
	SeenAt   time.Time
	// Undone is set if the object contradicts a final state, which is then to be written again.
	Undone bool
}

// StoredRollout returns what the store has of the state of a service's rollout.
func (r *Registry) StoredRollout(service string) StoredRollout {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.storedRollouts[service]
}

// RolloutReport is the last report of a gateway on its rollouts, which must not be modified, and when it was seen.
type RolloutReport struct {
	*rollout.Report
	SeenAt time.Time
}

// RolloutReports returns the last reports of all gateways on their rollouts, by gateway.
func (r *Registry) RolloutReports() map[string]RolloutReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.rolloutReports)
}

// SharedAge returns how long ago the store last confirmed the shared objects, or the time since the boot of the machine if it never did.
func (r *Registry) SharedAge() time.Duration {
	r.init()
	return bootclock.Now() - r.sharedFollower.lastComplete()
}

// KnowsRollouts reports whether the rollouts and their states have been read, the rollouts by a call that began after the endpoints had been
// listed for the first time.
func (r *Registry) KnowsRollouts() bool {
	r.init()
	return r.rolloutFollower == nil || (r.rolloutsConfirmed.Load() && r.sharedFollower.lastComplete() > 0)
}

// markEndpointsListed records the first list of endpoints. The caller must hold mu.
func (r *Registry) markEndpointsListed() {
	if !r.endpointsListedAt.IsZero() {
		return
	}
	r.endpointsListedAt = time.Now()
	if r.rolloutFollower != nil {
		r.rolloutFollower.prompt()
	}
}

func (r *Registry) newRolloutFollower() *follower[*site.Rollout] {
	if r.Rollouts == nil {
		return nil
	}
	return &follower[*site.Rollout]{kind: "Rollout", source: r.Rollouts, watchTimeout: rolloutsWatchTimeout, log: r.Log, apply: r.applyRollouts}
}

// sharedTimeout returns how long a watch of shared objects waits.
func (r *Registry) sharedTimeout() time.Duration {
	s := r.Current()
	for _, o := range s.Rollouts {
		if o.State == site.RolloutActive {
			return orderWatchTimeout
		}
	}
	return sharedWatchTimeout
}

func (r *Registry) applyRollouts(changes []Change[*site.Rollout]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if began := r.rolloutFollower.stepBegan; !r.endpointsListedAt.IsZero() && began.After(r.endpointsListedAt) {
		r.rolloutsConfirmed.Store(true)
	}
	published := r.releaseBuilds(r.rolloutFollower.stepBegan)
	if len(changes) == 0 && !published {
		return
	}
	rollouts := maps.Clone(r.next.Rollouts)
	if rollouts == nil {
		rollouts = map[string]*site.Rollout{}
	}
	for _, c := range changes {
		r.applyRollout(rollouts, c)
	}
	r.next.Rollouts = rollouts
	if published {
		r.publishEndpoints()
		return
	}
	r.publish()
}

// applyRollout applies the change of a rollout. The caller must hold mu.
func (r *Registry) applyRollout(rollouts map[string]*site.Rollout, c Change[*site.Rollout]) {
	var known *site.Rollout
	for _, o := range rollouts {
		if o.Name == c.Name {
			known = o
		}
	}
	switch {
	case c.Copied && known != nil, c.Err != nil && !c.Removed:
		// What was known before a restore, or before the object became unreadable, stays in force.
		return
	case c.Removed:
		if known != nil {
			delete(rollouts, known.Service)
			event.Info(r.Log, event.RolloutOrdered, "service", known.Service, "target", known.Target, "removed", true, "revision", c.Revision)
		}
		return
	}
	next := c.Value
	if other := rollouts[next.Service]; other != nil && other.Name != next.Name && other.Revision > next.Revision {
		return
	}
	if known != nil && known.Service != next.Service {
		delete(rollouts, known.Service)
	}
	if known != nil && known.Order() == next.Order() && known.State != site.RolloutActive {
		// A decision is final, also if a restored store has lost it.
		next.State = known.State
	}
	rollouts[next.Service] = next
	event.Info(r.Log, event.RolloutOrdered, "service", next.Service, "target", next.Target, "durationMs", next.Duration.Milliseconds(),
		"state", next.State.String(), "recorded", next.Recorded, "created", next.Created, "revision", c.Revision)
}

// applyRolloutState applies the state of a service's rollout. The caller must hold mu.
func (r *Registry) applyRolloutState(c Change[json.RawMessage], now time.Time) error {
	service := strings.TrimPrefix(c.Name, rolloutPrefix)
	known := r.next.RolloutStates[service]
	stored := StoredRollout{Revision: c.Revision, SeenAt: now}
	if c.Removed {
		stored.Revision = 0
	}
	var next *rollout.State
	if !c.Removed {
		next = &rollout.State{}
		if err := json.Unmarshal(c.Value, next); err != nil {
			r.storedRollouts[service] = stored
			return err
		}
	}
	sameOrder := known != nil && next != nil && next.Target == known.Target && next.Created == known.Created
	if known != nil && known.Stage.IsFinal() && (next == nil || sameOrder && next.Stage != known.Stage) {
		stored.Undone = true
		next = known
	}
	r.storedRollouts[service] = stored
	states := maps.Clone(r.next.RolloutStates)
	if states == nil {
		states = map[string]*rollout.State{}
	}
	if states[service] = next; next == nil {
		delete(states, service)
	}
	r.next.RolloutStates = states
	return nil
}

// applyRolloutCounts applies the report of a gateway. The caller must hold mu.
func (r *Registry) applyRolloutCounts(c Change[json.RawMessage], now time.Time) error {
	gateway := strings.TrimPrefix(c.Name, rolloutCountsPrefix)
	if c.Removed {
		delete(r.rolloutReports, gateway)
		return nil
	}
	report := &rollout.Report{}
	if err := json.Unmarshal(c.Value, report); err != nil {
		return err
	}
	r.rolloutReports[gateway] = RolloutReport{Report: report, SeenAt: now}
	return nil
}

// countsForActive reports whether a gateway's report counts for an active order. The caller must hold mu.
func (r *Registry) countsForActive(gateway string) bool {
	report, ok := r.rolloutReports[gateway]
	if !ok {
		return false
	}
	for service, counted := range report.Report.Services {
		if order := r.next.Rollouts[service]; order != nil && order.State == site.RolloutActive && counted.IsOf(order.Order()) {
			return true
		}
	}
	return false
}

// holdBuild keeps the endpoints of a build out of the snapshot if it is new beside other builds of its service, until the rollouts have been
// confirmed: an order may exist that this gateway does not know yet, and its target gets few requests. The builds of the first list are not
// held: the gateway takes no requests before KnowsRollouts, and a plan of builds without some of them would move streams. The caller must hold mu.
func (r *Registry) holdBuild(e *site.Endpoint) {
	key := build{e.Service, e.Build}
	if _, held := r.heldBuilds[key]; held || r.rolloutFollower == nil || r.endpointsListedAt.IsZero() {
		return
	}
	others := false
	for _, other := range r.endpoints {
		switch {
		case other.Service != e.Service || other.ID == e.ID:
		case other.Build == e.Build:
			return
		default:
			others = true
		}
	}
	if order := r.next.Rollouts[e.Service]; !others || (order != nil && order.Target == e.Build) {
		return
	}
	r.heldBuilds[key] = time.Now()
	r.rolloutFollower.prompt()
}

// releaseBuilds ends the holds that began before a call that confirmed the rollouts. The caller must hold mu.
func (r *Registry) releaseBuilds(confirmed time.Time) (released bool) {
	for key, since := range r.heldBuilds {
		if since.Before(confirmed) {
			delete(r.heldBuilds, key)
			released = true
		}
	}
	if len(r.heldBuilds) > 0 {
		r.rolloutFollower.prompt()
	}
	return released
}
