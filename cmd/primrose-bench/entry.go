package main

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"primrosecourse/pkg/retry"
	"primrosecourse/pkg/routing"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

const (
	// clientHop is the one-way delay between a caller and an entry.
	clientHop = time.Millisecond
	// maxAttempts is that of the entry process.
	maxAttempts = 6
	// retryBurst is that of the entry process.
	retryBurst = 10
)

// request is an arrival on its way through one run.
type request struct {
	*arrival
	world    *world
	entry    *entry
	tried    []string
	attempts int
	// given counts the tokens that the caller has; first is when the first one arrived, negative before.
	given int
	first time.Duration
	taken bool
	// cached is what the agent expected the engine to hold, fetched what it imported beside it.
	cached   int
	fetched  int
	slow     float64
	finished int
	chosen   routing.Weighed
}

func (r *request) deadline() time.Duration { return r.at + r.world.deployment.Limits.RequestTimeout }

// held returns the number of leading prompt tokens that some engine computed before.
func (r *request) held() int {
	if r.given > 0 {
		return r.tokens + r.given
	}
	return r.prior
}

// entry composes the decision packages as the entry process does. What it knows of endpoints comes from replies only.
type entry struct {
	world    *world
	hints    *routing.Hints
	loads    *routing.Loads
	affinity *routing.Affinity
	budget   *retry.Budget
	buckets  map[string]*rate.Limiter
	rings    *routing.RingSet
	models   map[string]settings.Model
	turn     int
}

// forget drops all soft state, as a restart does.
func (e *entry) forget() {
	e.hints, e.loads, e.affinity = routing.NewHints(0), routing.NewLoads(), routing.NewAffinity()
	e.budget = &retry.Budget{Ratio: e.world.deployment.Limits.RetryRatio, Burst: retryBurst}
	e.buckets = make(map[string]*rate.Limiter)
	for _, o := range e.world.deployment.Organisations {
		if o.RequestsPerSecond > 0 {
			share := o.RequestsPerSecond / float64(len(e.world.entries))
			e.buckets[o.Name] = rate.NewLimiter(rate.Limit(share), max(1, int(2*share)))
		}
	}
}

// configure takes the configuration in force.
func (e *entry) configure() {
	d := &e.world.deployment
	e.rings = routing.Rings(d, d.FailureDomains[0].Region, e.rings)
	e.models = make(map[string]settings.Model)
	for _, m := range d.Models {
		e.models[m.Name] = m
	}
}

func (e *entry) router(model string) *routing.Router {
	ring := e.rings.Models[model]
	link := int64(0)
	for _, s := range e.world.deployment.Stores {
		link = max(link, s.LinkBytesPerSecond)
	}
	return &routing.Router{Ring: ring, Loads: e.loads, Hints: e.hints, Affinity: e.affinity,
		Costs:      routing.Costs{Policy: e.world.deployment.Policy, Model: e.models[model], LinkBytesPerSecond: link},
		BatchLimit: func(i int) int { return e.rings.Endpoints[ring.Endpoint(i).Name].BatchLimit }}
}

// arrive takes a request from a caller.
func (e *entry) arrive(r *request) {
	now := e.world.clock.time()
	if b := e.buckets[r.org.Name]; b != nil && !b.AllowN(now, 1) {
		e.finish(r, false)
		return
	}
	e.budget.Request(now)
	e.attempt(r)
}

func (e *entry) attempt(r *request) {
	if r.given >= r.answer {
		e.finish(r, true)
		return
	}
	if r.attempts >= maxAttempts || e.world.clock.now >= r.deadline() {
		e.finish(r, false)
		return
	}
	name, ok := e.world.choose(e, r)
	if !ok {
		e.finish(r, false)
		return
	}
	r.attempts++
	r.tried = append(r.tried, name)
	e.loads.Sent(name, r.tokens+r.given-min(r.tokens+r.given, r.chosen.Cached))
	a := e.world.agents[name]
	e.world.clock.after(hop, func() { a.arrive(r) })
}

// retry sends the request elsewhere within the budget.
func (e *entry) retry(r *request) {
	if !e.budget.Retry(e.world.clock.time()) {
		e.finish(r, false)
		return
	}
	e.attempt(r)
}

func (e *entry) unreachable(r *request, a *agent) {
	e.loads.Down(a.endpoint.Name, e.world.clock.time())
	e.attempt(r)
}

func (e *entry) refused(r *request, a *agent, reason wire.Reason, load wire.LoadState) {
	e.loads.Report(a.endpoint.Name, load, e.world.clock.time())
	switch reason {
	case wire.ReasonDeadline:
		e.finish(r, false)
	case wire.ReasonLeaving, wire.ReasonDraining:
		e.attempt(r)
	default:
		e.retry(r)
	}
}

func (e *entry) accepted(u *run, a *agent, load wire.LoadState) {
	r, now := u.request, e.world.clock.time()
	r.taken = true
	e.loads.Report(a.endpoint.Name, load, now)
	e.affinity.Observe(r.chosen.Place, u.hit-r.fetched, len(r.chain)*r.world.plan.block)
	e.hints.Add(r.chain, r.org.SharedBlocks, a.endpoint.Name, now)
}

func (e *entry) firstToken(u *run) {
	if u.request.first < 0 {
		u.request.first = e.world.clock.now + clientHop
	}
}

func (e *entry) ended(u *run, a *agent, load wire.LoadState) {
	e.loads.Report(a.endpoint.Name, load, e.world.clock.time())
	u.request.slow += a.engine.slow - u.slow
	u.request.given = u.request.answer
	e.finish(u.request, true)
}

// broken resumes a run that was cut with the tokens that the caller has.
func (e *entry) broken(u *run, a *agent) {
	if r := u.request; u.end > 0 {
		r.given = min(r.answer, r.given+1+int(a.engine.progress-u.begun))
		r.slow += 1 + a.engine.slow - u.slow
	}
	e.retry(u.request)
}

func (e *entry) finish(r *request, whole bool) {
	r.finished++
	e.world.clock.after(clientHop, func() { e.world.meter.finish(r, whole) })
}

// chooser picks the endpoint of an attempt; false means that there is none left.
type chooser func(e *entry, r *request) (string, bool)

// names of the ways of choosing that one run compares.
const (
	policyName = "policy"
	boundName  = "offline bound"
)

var chooserNames = []string{policyName, "round robin", "least loaded", "prefix hashing", boundName}

var choosers = map[string]chooser{
	policyName: func(e *entry, r *request) (string, bool) {
		m := e.models[r.model]
		p := routing.Prompt{Key: routing.PlacementKey(r.org.Name, "", r.chain, r.org.SharedBlocks), Chain: r.chain,
			Tokens: r.tokens + r.given, Random: r.random}
		d := e.router(m.Name).Route(e.world.clock.time(), p, r.tried)
		if len(d.Weighed) == 0 {
			return "", false
		}
		r.chosen = d.Weighed[0]
		return r.chosen.Endpoint, true
	},
	"round robin": func(e *entry, r *request) (string, bool) {
		names := e.left(r)
		e.turn++
		return pick(names, e.turn)
	},
	"least loaded": func(e *entry, r *request) (string, bool) {
		return e.least(r, func(name string) float64 {
			o := e.loads.Get(name)
			switch o.Load.State {
			case wire.StateDown, wire.StateDraining, wire.StateLeaving:
				return 1e9
			}
			return float64(o.Load.Running+o.Load.Queued+o.Unreported) / float64(max(1, o.Load.Allowance))
		})
	},
	"prefix hashing": func(e *entry, r *request) (string, bool) {
		ring, key := e.rings.Models[r.model], r.random
		if k := routing.PlacementKey(r.org.Name, "", r.chain, r.org.SharedBlocks); k.Source != routing.KeyNone {
			key = k.Hash
		}
		for _, i := range ring.Append(nil, key, e.world.clock.time(), ring.Len()) {
			if name := ring.Endpoint(i).Name; !slices.Contains(r.tried, name) {
				return name, true
			}
		}
		return "", false
	},
	boundName: func(e *entry, r *request) (string, bool) {
		return e.least(r, func(name string) float64 {
			a := e.world.agents[name]
			if a.down || a.leaving {
				return 1e9
			}
			a.engine.advance()
			left := 0.0
			for _, u := range a.engine.waiting {
				left += u.left
			}
			return left + a.queue.Cost() + float64(a.engine.running())
		})
	},
}

func (e *entry) left(r *request) (names []string) {
	ring := e.rings.Models[r.model]
	for i := range ring.Len() {
		if name := ring.Endpoint(i).Name; !slices.Contains(r.tried, name) {
			names = append(names, name)
		}
	}
	return names
}

// least returns the endpoint with the lowest load, in turn among equal ones.
func (e *entry) least(r *request, load func(name string) float64) (string, bool) {
	names := e.left(r)
	var best []string
	lowest := 0.0
	for _, name := range names {
		l := load(name)
		if len(best) == 0 || l < lowest {
			best, lowest = best[:0], l
		}
		if l == lowest {
			best = append(best, name)
		}
	}
	e.turn++
	return pick(best, e.turn)
}

func pick(names []string, turn int) (string, bool) {
	if len(names) == 0 {
		return "", false
	}
	return names[turn%len(names)], true
}
