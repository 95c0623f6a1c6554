package rollout

import (
	"context"
	"encoding/json"
	"reflect"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/version/registry"
	"primrosecourse/pkg/rollout"
	"primrosecourse/pkg/site"
)

const (
	// reportInterval is the time between two reports of a gateway while an order is active, and gatewayInterval what it is for each gateway
	// at least, so that all together make 100 writes a second. A bad target is to be found well before 50 bad answers.
	reportInterval  = 400 * time.Millisecond
	gatewayInterval = 10 * time.Millisecond
	// shiftInterval and shiftGatewayInterval are the same during a shift, which takes about half a second and in which allowances are used up
	// soon.
	shiftInterval        = 100 * time.Millisecond
	shiftGatewayInterval = 4 * time.Millisecond
	// minReportInterval is the least time between two reports. Those that others wait for are made at once.
	minReportInterval = 50 * time.Millisecond
)

// reporter writes the reports of this gateway.
type reporter struct {
	*Controller

	// revision is that of the object, 0 if there is none. inStore is set once it is known.
	revision uint64
	inStore  bool
	// last is the last stored report, failed is set if the last call failed.
	last   *rollout.Report
	failed bool
	// lastTry is when the last call for a report began.
	lastTry time.Time

	mu sync.Mutex
	// storedAt is when the content of the last stored report was taken.
	storedAt time.Time
}

// age returns how old the last stored report is.
func (p *reporter) age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.storedAt.IsZero() {
		return time.Hour
	}
	return time.Since(p.storedAt)
}

// step restores the counts of new orders and writes a report if one is due.
func (p *reporter) step(ctx context.Context) {
	if !p.View.KnowsRollouts() {
		return
	}
	s := p.View.Current()
	orders := active(s)
	for _, r := range orders {
		if !p.ledger.Restored(r.Order()) && !p.restore(ctx, r.Order()) {
			return
		}
	}
	if len(orders) == 0 {
		return
	}
	now := time.Now()
	next := p.report(orders)
	interval := max(reportInterval, time.Duration(s.Gateways)*gatewayInterval)
	if shifts(next) {
		interval = max(shiftInterval, time.Duration(s.Gateways)*shiftGatewayInterval)
	}
	if since := now.Sub(p.lastTry); since < minReportInterval || (since < interval && !p.isUrgent(next)) {
		return
	}
	if p.lastTry = now; p.put(ctx, next) {
		p.last = next
		p.mu.Lock()
		p.storedAt = now
		p.mu.Unlock()
	}
}

func (p *reporter) report(orders []*site.Rollout) *rollout.Report {
	next := &rollout.Report{Services: map[string]*rollout.ServiceReport{}}
	for _, r := range orders {
		if counted := p.ledger.Report(r.Order()); counted != nil {
			next.Services[r.Service] = counted
		}
	}
	return next
}

// shifts reports whether an order is in the stage Shift.
func shifts(r *rollout.Report) bool {
	for _, counted := range r.Services {
		if counted.Stage == rollout.Shift {
			return true
		}
	}
	return false
}

// isUrgent reports whether others wait for a report: this gateway acts on another stage, or has no more requests at the old builds.
func (p *reporter) isUrgent(next *rollout.Report) bool {
	if p.last == nil || p.failed {
		return false
	}
	for service, r := range next.Services {
		last := p.last.Services[service]
		if last == nil || last.Stage != r.Stage || last.Number != r.Number {
			return true
		}
		if waiting := r.Stage == rollout.Shift || r.Stage == rollout.Committed; waiting && (last.OldInFlight == 0) != (r.OldInFlight == 0) {
			return true
		}
	}
	return false
}

// restore takes over what earlier incarnations of this gateway counted for an order. It first stores a report, so that the others know this
// gateway before it reads the state by which it begins to send.
func (p *reporter) restore(ctx context.Context, o rollout.Order) bool {
	if time.Since(p.lastTry) < minReportInterval {
		return false
	}
	p.lastTry = time.Now()
	value, revision, err := p.Objects.Get(ctx, registry.RolloutCountsName(p.Name))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return false
	}
	p.revision, p.inStore = revision, true
	stored := &rollout.Report{}
	if err != nil || json.Unmarshal(value, stored) != nil || stored.Services == nil {
		stored = &rollout.Report{Services: map[string]*rollout.ServiceReport{}}
	}
	earlier := stored.Services[o.Service]
	if !earlier.IsOf(o) {
		earlier = &rollout.ServiceReport{Target: o.Target, Created: o.Created}
	}
	announced := *earlier
	announced.Stage, announced.Number = rollout.Canary, 0
	stored.Services[o.Service] = &announced
	if !p.put(ctx, stored) {
		return false
	}
	allowed := uint64(0)
	value, _, err = p.Objects.Get(ctx, registry.RolloutStateName(o.Service))
	state := &rollout.State{}
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return false
	case json.Unmarshal(value, state) == nil && state.IsOf(o):
		allowed = state.Allowed[p.Name]
		p.ledger.Follow(o, state, true)
	}
	p.ledger.Restore(o, earlier, allowed)
	return true
}

// put writes the object of this gateway. After a conflict or a write whose outcome is not known, it reads the object and, unless that has the report
// by then, writes again once.
func (p *reporter) put(ctx context.Context, r *rollout.Report) bool {
	name := registry.RolloutCountsName(p.Name)
	var err error
	for range 2 {
		if !p.inStore {
			value, revision, getErr := p.Objects.Get(ctx, name)
			if getErr != nil && !errors.Is(getErr, platform.ErrNotFound) {
				err = getErr
				break
			}
			p.revision, p.inStore = revision, true
			if stored := (&rollout.Report{}); err != nil && json.Unmarshal(value, stored) == nil && reflect.DeepEqual(stored, r) {
				p.failed = false
				return true
			}
		}
		var next uint64
		if next, err = p.Objects.Put(ctx, name, p.revision, r); err == nil {
			p.revision, p.failed = next, false
			return true
		}
		p.inStore = false
	}
	if !p.failed && ctx.Err() == nil {
		event.Info(p.Log, event.RolloutReportFailed, "reason", event.Shorten(err.Error()))
	}
	p.failed = true
	return false
}
