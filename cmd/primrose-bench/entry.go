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
	// clientHopDelay is the one-way delay between a caller and an entry.
	clientHopDelay = time.Millisecond
	// maxAttempts is the limit of attempts per request; it equals the real entry's limit for one round over the endpoints.
	maxAttempts = 6
	// retryBurst is the burst of the retry budget. It is the default of package retry; the burst of the real entry is 100.
	retryBurst = 10
)

// request is the state of an arrival within one run.
type request struct {
	*arrival
	sim      *simulation
	entry    *entry
	tried    []string // endpoints of earlier attempts
	attempts int
	// deliveredTokens counts the answer tokens that the caller has received; firstTokenAt is the time at which the first
	// one arrived, negative before.
	deliveredTokens int
	firstTokenAt    time.Duration
	accepted        bool // whether an entry has learned that an engine accepted a run for the request
	// cachedTokens is the length of the prompt prefix that the agent expects in the engine's cache. fetchedTokens is the
	// length of the blocks after this prefix that the agent has imported from stores.
	cachedTokens  int
	fetchedTokens int
	slowTokens    float64         // tokens that came more than tokenIntervalTarget after the previous one
	finishes      int             // number of times that the request finished; more than 1 is a fault of the simulation
	chosen        routing.Weighed // choice of the policy for the latest attempt; empty under other strategies
}

func (r *request) deadline() time.Duration {
	return r.sentAt + r.sim.deployment.Limits.RequestTimeout
}

// computedBefore returns the number of leading prompt tokens that count as already computed by some engine: seenTokens, or all
// tokens of a resumed request, whose prompt includes the delivered tokens.
func (r *request) computedBefore() int {
	if r.deliveredTokens > 0 {
		return r.tokens + r.deliveredTokens
	}
	return r.seenTokens
}

// entry combines the decision packages as the real entry does. It learns the load of endpoints only from its own attempts and
// the responses of agents; only the offline bound reads the engines.
type entry struct {
	sim      *simulation
	hints    *routing.Hints
	loads    *routing.Loads
	affinity *routing.Affinity
	budget   *retry.Budget
	buckets  map[string]*rate.Limiter
	rings    *routing.RingSet
	models   map[string]settings.Model
	// rotation counts the decisions that rotate among endpoints.
	rotation int
}

// reset discards the hints, loads, affinity, retry budget and token buckets, as a restart does.
func (e *entry) reset() {
	e.hints, e.loads, e.affinity = routing.NewHints(0), routing.NewLoads(), routing.NewAffinity()
	e.budget = &retry.Budget{Ratio: e.sim.deployment.Limits.RetryRatio, Burst: retryBurst}
	e.buckets = make(map[string]*rate.Limiter)
	for _, o := range e.sim.deployment.Organisations {
		if o.RequestsPerSecond > 0 {
			share := o.RequestsPerSecond / float64(len(e.sim.entries))
			e.buckets[o.Name] = rate.NewLimiter(rate.Limit(share), max(1, int(2*share)))
		}
	}
}

// configure applies the configuration in force.
func (e *entry) configure() {
	d := &e.sim.deployment
	e.rings = routing.Rings(d, d.FailureDomains[0].Region, e.rings)
	e.models = make(map[string]settings.Model)
	for _, m := range d.Models {
		e.models[m.Name] = m
	}
}

// router returns the router for a model with the current state of the entry.
func (e *entry) router(model string) *routing.Router {
	ring := e.rings.Models[model]
	link := int64(0)
	for _, s := range e.sim.deployment.Stores {
		link = max(link, s.LinkBytesPerSecond)
	}
	return &routing.Router{Ring: ring, Loads: e.loads, Hints: e.hints, Affinity: e.affinity,
		Costs:      routing.Costs{Policy: e.sim.deployment.Policy, Model: e.models[model], LinkBytesPerSecond: link},
		BatchLimit: func(i int) int { return e.rings.Endpoints[ring.Endpoint(i).Name].BatchLimit }}
}

// receive admits a request from a caller, or refuses it if it is over the rate of its organisation.
func (e *entry) receive(r *request) {
	now := e.sim.clock.time()
	if b := e.buckets[r.org.Name]; b != nil && !b.AllowN(now, 1) {
		e.finish(r, false)
		return
	}
	e.budget.Request(now)
	e.attempt(r)
}

// attempt sends the request to the next endpoint. It finishes the request instead if the answer is complete, if the attempts or
// the time are used up, or if there is no endpoint to try.
func (e *entry) attempt(r *request) {
	if r.deliveredTokens >= r.answerTokens {
		e.finish(r, true)
		return
	}
	if r.attempts >= maxAttempts || e.sim.clock.now >= r.deadline() {
		e.finish(r, false)
		return
	}
	name, ok := e.sim.choose(e, r)
	if !ok {
		e.finish(r, false)
		return
	}
	r.attempts++
	r.tried = append(r.tried, name)
	e.loads.Sent(name, r.tokens+r.deliveredTokens-min(r.tokens+r.deliveredTokens, r.chosen.Cached))
	a := e.sim.agents[name]
	e.sim.clock.after(hopDelay, func() { a.receive(r) })
}

// retry makes another attempt if the retry budget allows it. Otherwise the request fails.
func (e *entry) retry(r *request) {
	if !e.budget.Retry(e.sim.clock.time()) {
		e.finish(r, false)
		return
	}
	e.attempt(r)
}

// retryUnreachable makes another attempt after the agent could not be reached. It does not use the retry budget.
func (e *entry) retryUnreachable(r *request, a *agent) {
	e.loads.Down(a.endpoint.Name, e.sim.clock.time())
	e.attempt(r)
}

// refused handles a refusal by an agent. A request past its deadline fails. After a refusal by an agent that is leaving or
// draining, the next attempt does not use the retry budget.
func (e *entry) refused(r *request, a *agent, reason wire.Reason, load wire.LoadState) {
	e.loads.Report(a.endpoint.Name, load, e.sim.clock.time())
	switch reason {
	case wire.ReasonDeadline:
		e.finish(r, false)
	case wire.ReasonLeaving, wire.ReasonDraining:
		e.attempt(r)
	default:
		e.retry(r)
	}
}

// accepted records that the engine has admitted a run.
func (e *entry) accepted(u *run, a *agent, load wire.LoadState) {
	r, now := u.request, e.sim.clock.time()
	r.accepted = true
	e.loads.Report(a.endpoint.Name, load, now)
	e.affinity.Observe(r.chosen.Place, u.hitTokens-r.fetchedTokens, len(r.chain)*r.sim.plan.blockTokens)
	e.hints.Add(r.chain, r.org.SharedBlocks, a.endpoint.Name, now)
}

// firstToken records the time of the first token of a request.
func (e *entry) firstToken(u *run) {
	if u.request.firstTokenAt < 0 {
		u.request.firstTokenAt = e.sim.clock.now + clientHopDelay
	}
}

// runEnded finishes the request of a complete run.
func (e *entry) runEnded(u *run, a *agent, load wire.LoadState) {
	e.loads.Report(a.endpoint.Name, load, e.sim.clock.time())
	u.request.slowTokens += a.engine.slowSteps - u.slowStepsAtFirst
	u.request.deliveredTokens = u.request.answerTokens
	e.finish(u.request, true)
}

// interrupted retries the request of a run that was cut off. The next attempt resumes after the tokens that the caller has
// already received; if there are any from this run, the first token of that attempt counts as slow.
func (e *entry) interrupted(u *run, a *agent) {
	if r := u.request; u.lastStep > 0 {
		r.deliveredTokens = min(r.answerTokens, r.deliveredTokens+1+int(a.engine.steps-u.firstStep))
		r.slowTokens += 1 + a.engine.slowSteps - u.slowStepsAtFirst
	}
	e.retry(u.request)
}

// finish records the result of a request. Complete is true if the caller received the whole answer.
func (e *entry) finish(r *request, complete bool) {
	r.finishes++
	e.sim.clock.after(clientHopDelay, func() { e.sim.meter.finish(r, complete) })
}

// chooser is a strategy that selects the endpoint of an attempt. It returns false if no endpoint is left to try.
type chooser func(e *entry, r *request) (string, bool)

// Names of the strategy under test and of the lower bound on recomputed tokens.
const (
	policyName = "policy"
	boundName  = "offline bound"
)

// chooserNames lists the strategies in the order of the output.
var chooserNames = []string{policyName, "round robin", "least loaded", "prefix hashing", boundName}

// choosers contains the strategies by name. The load 1e9 ranks unavailable endpoints last.
var choosers = map[string]chooser{
	policyName: func(e *entry, r *request) (string, bool) {
		m := e.models[r.model]
		p := routing.Prompt{Key: routing.PlacementKey(r.org.Name, "", r.chain, r.org.SharedBlocks), Chain: r.chain,
			Tokens: r.tokens + r.deliveredTokens, Random: r.random}
		d := e.router(m.Name).Route(e.sim.clock.time(), p, r.tried)
		if len(d.Weighed) == 0 {
			return "", false
		}
		r.chosen = d.Weighed[0]
		return r.chosen.Endpoint, true
	},
	"round robin": func(e *entry, r *request) (string, bool) {
		names := e.untried(r)
		e.rotation++
		return pickNth(names, e.rotation)
	},
	"least loaded": func(e *entry, r *request) (string, bool) {
		return e.leastLoaded(r, func(name string) float64 {
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
		for _, i := range ring.Append(nil, key, e.sim.clock.time(), ring.Len()) {
			if name := ring.Endpoint(i).Name; !slices.Contains(r.tried, name) {
				return name, true
			}
		}
		return "", false
	},
	boundName: func(e *entry, r *request) (string, bool) {
		return e.leastLoaded(r, func(name string) float64 {
			a := e.sim.agents[name]
			if a.down || a.leaving {
				return 1e9
			}
			a.engine.advance()
			remaining := 0.0
			for _, u := range a.engine.waiting {
				remaining += u.remainingTokens
			}
			return remaining + a.queue.Cost() + float64(a.engine.running())
		})
	},
}

// untried returns the endpoints of the model that the request has not tried yet.
func (e *entry) untried(r *request) (names []string) {
	ring := e.rings.Models[r.model]
	for i := range ring.Len() {
		if name := ring.Endpoint(i).Name; !slices.Contains(r.tried, name) {
			names = append(names, name)
		}
	}
	return names
}

// leastLoaded returns the endpoint with the lowest load and rotates among equally loaded ones.
func (e *entry) leastLoaded(r *request, load func(name string) float64) (string, bool) {
	names := e.untried(r)
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
	e.rotation++
	return pickNth(best, e.rotation)
}

// pickNth returns the n-th name, counted cyclically, or false if there is none.
func pickNth(names []string, n int) (string, bool) {
	if len(names) == 0 {
		return "", false
	}
	return names[n%len(names)], true
}
