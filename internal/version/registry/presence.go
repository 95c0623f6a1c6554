package registry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"primrosecourse/internal/process/bootclock"
)

// presenceTime is how long after the start of a successful heartbeat a gateway relies on being counted by the others. It is shorter than
// memberTimeout, so that they count it for longer.
const presenceTime = memberTimeout - 2*time.Second

// presence is the time in which each list of the gateways that is up to date has this gateway as one that is present, as bootclock times. It has a lock
// of its own, since requests ask for it.
type presence struct {
	mu           sync.Mutex
	since, until time.Duration
}

// extend records a heartbeat whose call began at began and was acknowledged at now. It reports whether the time begins anew.
func (p *presence) extend(began, now time.Duration) (anew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if anew = now >= p.until; anew {
		p.since = now
	}
	p.until = began + presenceTime
	return anew
}

// end records that the object of this gateway is about to be removed.
func (p *presence) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.since, p.until = 0, 0
}

// at returns the start of the presence, and whether it lasts at now.
func (p *presence) at(now time.Duration) (since time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.since, now < p.until
}

// extendPresence records a heartbeat whose call began at began and was just acknowledged. The weight versions are confirmed at once if the presence
// begins, so that this gateway knows which ones were not named before.
func (r *Registry) extendPresence(began time.Duration) {
	if r.presence.extend(began, bootclock.Now()) {
		r.versionFollower.prompt()
	}
}

// PresentSince returns the bootclock time since which all other gateways that list the gateways up to date count this one as present. ok is false if
// they may not do so now.
func (r *Registry) PresentSince() (at time.Duration, ok bool) { return r.presence.at(bootclock.Now()) }

// currentGateways are the other gateways by a list that was up to date when its call began.
type currentGateways struct {
	names   []string
	askedAt time.Duration
}

// GatewaysAt returns the names of the other gateways that were present at a bootclock time: any other one had no object in the store then, or no
// heartbeat for memberTimeout. ok is false if the gateways were never listed up to date, or the store has been restored from a copy so recently that
// the list may lack some. ListGateways asks for a new list.
func (r *Registry) GatewaysAt() (names []string, at time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.currentGateways == nil {
		return nil, 0, false
	}
	return r.currentGateways.names, r.currentGateways.askedAt, true
}

// ListGateways makes the gateways be listed up to date, at most once in membersListInterval. The list costs the store ten times as much
// as the ones that are made periodically.
func (r *Registry) ListGateways() {
	r.init()
	select {
	case r.listSignal <- struct{}{}:
	default:
	}
}

// listCurrent lists the gateways up to date when ListGateways has been called, until ctx is done.
func (r *Registry) listCurrent(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.listSignal:
		}
		asked, began := bootclock.Now(), time.Now()
		changes, revision, err := r.CurrentMembers.List(ctx)
		if err == nil {
			r.setCurrent(changes, revision, asked, began)
		}
		sleep(ctx, membersListInterval)
	}
}

// setCurrent records a list of the gateways that was up to date when its call began, at asked and began by the two clocks. Objects that can't be decoded
// count as those of gateways that are present. The list doesn't replace those that may be older, from which it would only differ for seconds.
func (r *Registry) setCurrent(changes []Change[json.RawMessage], revision uint64, asked time.Duration, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeMembersEra(revision, time.Now())
	if !r.membersRestoredAt.IsZero() && began.Sub(r.membersRestoredAt) < memberTimeout {
		r.currentGateways = nil
		return
	}
	names := []string{}
	for _, c := range changes {
		m := r.members[c.Name]
		unchanged := m.revision == c.Revision && began.Sub(m.lastSeen) > memberTimeout
		if c.Name != r.Name && !unchanged {
			names = append(names, c.Name)
		}
	}
	r.currentGateways = &currentGateways{names: names, askedAt: asked}
}
