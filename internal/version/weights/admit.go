package weights

import (
	"cmp"
	"slices"
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/staleness"
	"primrosecourse/pkg/waves"
)

// pendingUpdate is an endpoint that does not have the named version of a model yet but an older one.
type pendingUpdate struct {
	waves.Candidate
	endpoint *site.Endpoint
	model    string
	version  uint64
}

// pendingUpdates returns an update for each ready endpoint and each of its models that lacks the named version, whether
// the model is cold or loaded, in the order of waves.Compare.
func (r *Rollout) pendingUpdates() (list []pendingUpdate) {
	snapshot := r.View.Current()
	if snapshot.Configuration == nil {
		return nil
	}
	now := time.Now()
	for _, service := range snapshot.Configuration.Services {
		if service.Engine == nil {
			continue
		}
		for _, e := range snapshot.Endpoints[service.Name] {
			if e.State != site.Ready {
				continue
			}
			for _, m := range e.Models {
				from, named := max(m.Version, r.confirmed[confirmationKey(e, m.Model)]), snapshot.Versions[m.Model]
				if from >= named {
					continue
				}
				p := pendingUpdate{Candidate: waves.Candidate{Endpoint: e.ID, From: from}, endpoint: e, model: m.Model, version: named}
				if r.Loads != nil {
					p.Held = r.Loads.Held(now, e.ID)
				}
				list = append(list, p)
			}
		}
	}
	slices.SortFunc(list, func(a, b pendingUpdate) int { return waves.Compare(a.Candidate, b.Candidate) })
	return list
}

// collectResults removes the updates that have ended and records their versions and times.
func (r *Rollout) collectResults() {
	for id, u := range r.updates {
		select {
		case version := <-u.result:
			delete(r.updates, id)
			if version > 0 {
				r.confirmed[confirmationKey(u.endpoint, u.model)] = version
			}
			if at := u.acceptedAt.Load(); version > 0 && at != nil {
				r.times.Add(time.Since(*at))
			}
		default:
		}
	}
}

// admitUpdates adds pending updates to those in progress and returns the added ones, for each service until its concurrency is reached. Orders
// without an answer may take effect later, so all updates in progress, whether they count or not, number at most twice the concurrency.
func (r *Rollout) admitUpdates(pending []pendingUpdate) (admitted []*endpointUpdate) {
	if !r.Lease.Valid() {
		return nil
	}
	now := time.Now()
	paces := map[string]*servicePace{}
	withheld := 0
	for _, p := range pending {
		service := p.endpoint.Service
		pace := paces[service]
		if pace == nil {
			pace = r.pace(now, service, pending)
			paces[service] = pace
		}
		if pace.occupied >= pace.concurrency || pace.inProgress >= 2*pace.concurrency || r.updates[p.Endpoint] != nil {
			continue
		}
		if !r.Lease.MayOrder(p.Endpoint) {
			withheld++
			continue
		}
		u := &endpointUpdate{endpoint: p.endpoint, model: p.model, startedAt: now, result: make(chan uint64, 1)}
		r.updates[p.Endpoint] = u
		pace.occupied++
		pace.inProgress++
		admitted = append(admitted, u)
	}
	if len(admitted) > 0 || withheld > r.withheld {
		first := pending[0]
		if len(admitted) > 0 {
			first = pending[slices.IndexFunc(pending, func(p pendingUpdate) bool { return p.endpoint == admitted[0].endpoint })]
		}
		pace := paces[first.endpoint.Service]
		event.Info(r.Log, event.WeightUpdatesAdmitted, "model", first.model, "from", first.From, "version", first.version, "admitted", len(admitted), "withheld", withheld,
			"pending", len(pending), "changing", pace.occupied, "limit", pace.concurrency, "updateMs", pace.state.UpdateTime.Milliseconds(),
			"waitMs", pace.state.Wait.Milliseconds(),
			"sinceMs", r.View.ReplacedFor(first.model, first.From).Milliseconds())
	}
	r.withheld = withheld
	return admitted
}

// servicePace is how many updates of a service may be in progress, and how many are.
type servicePace struct {
	state                             waves.State
	concurrency, occupied, inProgress int
}

// pace returns the pace of the updates of a service, of which pending has those that are in progress or not begun.
func (r *Rollout) pace(now time.Time, service string, pending []pendingUpdate) *servicePace {
	snapshot := r.View.Current()
	s := waves.State{}
	limit := cmp.Or(r.Staleness.LastSend(), staleness.Rule{Limit: defaultLimit}.LastSend())
	version := uint64(0)
	for _, p := range pending {
		if p.endpoint.Service != service || r.updates[p.Endpoint] != nil {
			continue
		}
		if len(s.Pending) == 0 || version != p.From {
			version = p.From
			s.Pending = append(s.Pending, waves.Backlog{Remaining: limit - r.View.ReplacedFor(p.model, p.From)})
		}
		s.Pending[len(s.Pending)-1].Endpoints++
	}
	var accepted []time.Duration
	serving := 0
	for _, e := range snapshot.Endpoints[service] {
		if e.State != site.Ready {
			continue
		}
		s.Endpoints++
		if u := r.updates[e.ID]; u != nil {
			if elapsed, ok := u.elapsed(now); ok {
				accepted = append(accepted, elapsed)
			}
			continue
		}
		if r.Loads != nil {
			s.Wait += r.Loads.Wait(now, service, e.ID)
			serving++
		}
	}
	if serving > 0 {
		s.Wait /= time.Duration(serving)
	}
	s.UpdateTime = r.times.Typical(accepted)
	p := &servicePace{}
	for _, u := range r.updates {
		if u.endpoint.Service == service {
			p.inProgress++
			if elapsed, counts := u.elapsed(now); counts {
				s.Updating = append(s.Updating, elapsed)
			}
		}
	}
	p.state, p.occupied = s, s.Occupied()
	p.concurrency = waves.Pace{TolerableWait: tolerableWait(snapshot.Configuration, service)}.Concurrency(s)
	return p
}

const (
	// tolerableWaitShare is the share of the shortest target time of a service's routes that a prompt may wait on average. The rest is
	// left for its prefill, and for the prompts that wait longer than the average.
	tolerableWaitShare = 0.25
	// defaultTolerableWait is used for services whose routes have no target time.
	defaultTolerableWait = 100 * time.Millisecond
)

// tolerableWait returns the mean wait of prompts above which a service counts as loaded.
func tolerableWait(c *site.Configuration, service string) time.Duration {
	shortest := time.Duration(0)
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Target <= 0 || !slices.ContainsFunc(route.Shares, func(s site.Share) bool { return s.Service == service }) {
			continue
		}
		if shortest == 0 || route.Target < shortest {
			shortest = route.Target
		}
	}
	if shortest == 0 {
		return defaultTolerableWait
	}
	return time.Duration(tolerableWaitShare * float64(shortest))
}
