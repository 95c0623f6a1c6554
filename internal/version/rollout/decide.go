package rollout

import (
	"context"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/version/registry"
	"primrosecourse/pkg/rollout"
	"primrosecourse/pkg/site"
)

const (
	// grantInterval is the least time between two states of an order that differ in the allowances alone, except during a shift, and stateInterval the time after
	// which the state is written even if nothing changed, so that others know its age and that somebody decides.
	grantInterval = 200 * time.Millisecond
	stateInterval = 500 * time.Millisecond
	// takeoverDelay is the time without a write after which the second gateway in the order decides, and rankDelay how much longer each
	// further one waits. maxRank limits the wait.
	takeoverDelay = 1200 * time.Millisecond
	rankDelay     = 400 * time.Millisecond
	maxRank       = 5
	// echoTime is how long after a write the decider waits until it sees the state that it wrote.
	echoTime = time.Second
	// maxSharedAge is the age of the reports above which nothing is decided.
	maxSharedAge = 2 * time.Second
	// reportRetention is how long a gateway that is not listed counts as present after its last report.
	reportRetention = 3 * time.Second
	// recordInterval is about the time between two attempts to record a verdict.
	recordInterval = 300 * time.Millisecond
)

// decider writes the states and verdicts of orders.
type decider struct {
	*Controller
	services map[string]*progress
	// cold has the entries of endpoints that were cold when these were written, with the time at which this gateway saw them.
	cold map[string]coldEntry
}

// coldEntry is an entry of a cold endpoint.
type coldEntry struct {
	revision uint64
	seenAt   time.Time
}

// isCold reports whether an endpoint is still cold. Its entry may not be written again when it no longer is.
func (d *decider) isCold(e *site.Endpoint, now time.Time) bool {
	if e.ColdRemaining == 0 {
		delete(d.cold, e.ID)
		return false
	}
	if d.cold[e.ID].revision != e.Revision {
		d.cold[e.ID] = coldEntry{e.Revision, now}
	}
	return now.Sub(d.cold[e.ID].seenAt) < e.ColdRemaining
}

// progress is what the decider does for the order of a service.
type progress struct {
	order rollout.Order
	// wroteAt is when this gateway last wrote the state, awaited the revision that it then got.
	wroteAt time.Time
	awaited uint64
	// finalSince is since when the state is final, recordAt when the next attempt to record it may be made.
	finalSince time.Time
	recordAt   time.Time
}

func (d *decider) step(ctx context.Context) {
	if !d.View.KnowsRollouts() {
		return
	}
	s := d.View.Current()
	for _, r := range active(s) {
		p := d.services[r.Service]
		if p == nil || p.order != r.Order() {
			p = &progress{order: r.Order()}
			d.services[r.Service] = p
		}
		d.decide(ctx, s, r, p)
	}
	for _, r := range s.Rollouts {
		if d.View.StoredRollout(r.Service).Undone && d.View.Rank(registry.RolloutStateName(r.Service)) == 0 {
			d.writeAgain(ctx, s, r)
		}
	}
}

// decide makes what is due for an order.
func (d *decider) decide(ctx context.Context, s *site.Snapshot, r *site.Rollout, p *progress) {
	now := time.Now()
	state := s.RolloutStates[r.Service]
	if !state.IsOf(p.order) {
		state = nil
	}
	rank := min(maxRank, d.View.Rank(registry.RolloutStateName(r.Service)))
	in := d.input(s, r, p, state, now)
	if state != nil && state.Stage.IsFinal() {
		if p.finalSince.IsZero() {
			p.finalSince = now
		}
		if now.Sub(p.finalSince) >= time.Duration(rank)*rankDelay {
			d.record(ctx, r, p, state, in, now)
		}
		return
	}
	if !r.Recorded && rank == 0 {
		d.recordState(ctx, r, p, site.RolloutActive, now)
	}
	if d.View.SharedAge() > maxSharedAge || !d.isDue(p, state, rank, now) {
		return
	}
	next := rollout.Decide(state, in)
	if isDue, quick := differs(state, next); !isDue && now.Sub(p.wroteAt) < stateInterval || !quick && now.Sub(p.wroteAt) < grantInterval && next.Stage != rollout.Shift {
		return
	}
	d.write(ctx, p, state, next, in, now)
}

// isDue reports whether this gateway may decide now.
func (d *decider) isDue(p *progress, state *rollout.State, rank int, now time.Time) bool {
	stored := d.View.StoredRollout(p.order.Service)
	if stored.Revision < p.awaited && now.Sub(p.wroteAt) < echoTime {
		return false
	}
	since := d.firstSeen(p.order, now)
	if state != nil && stored.SeenAt.After(since) {
		since = stored.SeenAt
	}
	return rank == 0 || now.Sub(since) >= takeoverDelay+time.Duration(rank-1)*rankDelay
}

// differs reports whether a state is to be written, and whether it is at once.
func differs(state, next *rollout.State) (due, quick bool) {
	if state == nil || state.Stage != next.Stage || state.Number != next.Number {
		return true, true
	}
	same := state.Share == next.Share && slices.Equal(state.Endpoints, next.Endpoints) && maps.Equal(state.Scarce, next.Scarce) && state.LoadedMs == next.LoadedMs && state.Loaded == next.Loaded &&
		reflect.DeepEqual(state.Allowed, next.Allowed)
	return !same, false
}

// input returns what a decision on an order is based on.
func (d *decider) input(s *site.Snapshot, r *site.Rollout, p *progress, state *rollout.State, now time.Time) *rollout.Input {
	in := &rollout.Input{Order: p.order, Bounds: d.Bounds, Age: now.Sub(d.firstSeen(p.order, now)), Reports: map[string]*rollout.ServiceReport{}}
	if state != nil {
		stored := d.View.StoredRollout(r.Service)
		in.Age = max(in.Age, time.Duration(state.AgeMs)*time.Millisecond+now.Sub(stored.SeenAt))
	}
	others, ok := d.View.OtherGateways()
	in.Unknown = !ok
	in.Gateways = append([]string{d.Name}, others...)
	for name, report := range d.View.RolloutReports() {
		counted := report.Services[r.Service]
		if !counted.IsOf(p.order) {
			continue
		}
		in.Reports[name] = counted
		if now.Sub(report.SeenAt) < reportRetention && !slices.Contains(in.Gateways, name) {
			in.Gateways = append(in.Gateways, name)
		}
	}
	slices.Sort(in.Gateways)
	for _, e := range s.Endpoints[r.Service] {
		switch {
		case e.State != site.Ready || s.Evacuated[e.FailureDomain]:
		case e.Build != r.Target:
			in.Olds++
		case !d.isCold(e, now):
			in.Targets = append(in.Targets, e.ID)
		}
	}
	return in
}

// write stores a state if the store still has the one that it follows.
func (d *decider) write(ctx context.Context, p *progress, state, next *rollout.State, in *rollout.Input, now time.Time) {
	service := p.order.Service
	revision := d.View.StoredRollout(service).Revision
	wrote, err := d.Objects.Put(ctx, registry.RolloutStateName(service), revision, next)
	p.wroteAt = time.Now()
	// After a failed or lost write the next decision follows what the store then has.
	p.awaited = revision + 1
	if err == nil {
		p.awaited = wrote
	}
	changed := state == nil || state.Stage != next.Stage || state.Number != next.Number
	if !changed && err == nil {
		return
	}
	requests, sent := uint64(0), uint64(0)
	for _, r := range in.Reports {
		requests += r.Requests
		sent += r.Sent
	}
	reason := ""
	if err != nil {
		reason = event.Shorten(err.Error())
	}
	event.Info(d.Log, event.RolloutDecided, "service", service, "target", next.Target, "stage", next.Stage.String(), "number", next.Number,
		"why", next.Reason, "ageMs", next.AgeMs, "share", next.Share, "requests", requests, "sent", sent, "gateways", len(in.Gateways),
		"targets", len(in.Targets), "olds", in.Olds, "tookMs", time.Since(now).Milliseconds(), "reason", reason)
}

// writeAgain writes a final state again that the store has lost.
func (d *decider) writeAgain(ctx context.Context, s *site.Snapshot, r *site.Rollout) {
	state := s.RolloutStates[r.Service]
	p := d.services[r.Service]
	if !state.IsOf(r.Order()) || !state.Stage.IsFinal() {
		return
	}
	if p == nil {
		p = &progress{order: r.Order()}
		d.services[r.Service] = p
	}
	if time.Since(p.wroteAt) < echoTime {
		return
	}
	p.wroteAt = time.Now()
	_, err := d.Objects.Put(ctx, registry.RolloutStateName(r.Service), d.View.StoredRollout(r.Service).Revision, state)
	event.Info(d.Log, event.ObjectRewritten, "kind", "Shared", "name", registry.RolloutStateName(r.Service), "reason", message(err))
}

// record records a final state on the platform once all gateways act on it. That of a completed order waits until none has requests at the old
// endpoints. A roll-back is recorded without gateways that can't have confirmed an earlier state of late, which send nothing to the target.
func (d *decider) record(ctx context.Context, r *site.Rollout, p *progress, state *rollout.State, in *rollout.Input, now time.Time) {
	switch {
	case state.Stage == rollout.RolledBack && (rollout.Confirmed(state, in) || now.Sub(p.finalSince) >= part(d.RollbackTime, grantPart+marginPart)):
		d.recordState(ctx, r, p, site.RolloutRolledBack, now)
	case state.Stage == rollout.Committed && rollout.Confirmed(state, in):
		d.recordState(ctx, r, p, site.RolloutCompleted, now)
	}
}

// recordState records a state on the platform. It reads what is recorded first, since an earlier write may have been carried out late.
func (d *decider) recordState(ctx context.Context, r *site.Rollout, p *progress, state site.RolloutState, now time.Time) {
	if now.Before(p.recordAt) {
		return
	}
	p.recordAt = now.Add(recordInterval/2 + rand.N(recordInterval))
	stored, err := d.Status.Get(ctx, r.Name)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return
	case err != nil:
	case stored.Order() != r.Order(), stored.State != site.RolloutActive, stored.Recorded && stored.State == state:
		return
	default:
		err = d.Status.Put(ctx, stored, state)
	}
	event.Info(d.Log, event.RolloutRecorded, "service", r.Service, "target", r.Target, "state", state.String(), "tookMs", time.Since(now).Milliseconds(),
		"reason", message(err))
}

func message(err error) string {
	if err == nil {
		return ""
	}
	return event.Shorten(err.Error())
}
