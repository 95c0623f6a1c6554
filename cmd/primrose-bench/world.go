package main

import (
	"slices"
	"time"

	"primrosecourse/pkg/fairqueue"
	"primrosecourse/pkg/prefix"
	"primrosecourse/pkg/retention"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/warmup"
)

// entries is the number of entries that share the arrivals, each with its own knowledge.
const entries = 3

// world is one run: a deployment, a way of choosing and a scenario.
type world struct {
	clock      clock
	plan       *plan
	deployment settings.Deployment
	agents     map[string]*agent
	order      []*agent // as in the deployment
	stores     []*store
	entries    []*entry
	choose     chooser
	meter      *meter
}

// simulate runs the arrivals to their end and returns what was measured.
func simulate(p *plan, list []*arrival, s *scenario, choice string) *meter {
	w := &world{plan: p, agents: make(map[string]*agent), choose: choosers[choice]}
	w.deployment = p.deployment
	w.deployment.FailureDomains = slices.Clone(p.deployment.FailureDomains)
	w.meter = newMeter(w, s)
	w.build(choice == boundName)
	end := p.WarmUp + p.Measured
	for _, a := range w.order {
		w.clock.every(time.Second, end+2*time.Minute, a.follow)
	}
	if s.Begin != nil {
		w.clock.at(p.WarmUp+s.At, func() { s.Begin(w) })
	}
	if s.End != nil {
		w.clock.at(p.WarmUp+s.At+s.For, func() { s.End(w) })
	}
	for _, a := range list {
		if s.Without != nil && s.Without(a) {
			continue
		}
		e := w.entries[int(a.random>>8)%entries]
		r := &request{arrival: a, world: w, entry: e, first: -1}
		w.meter.arrived++
		w.clock.at(a.at+clientHop, func() { e.arrive(r) })
	}
	w.clock.run()
	for _, a := range w.order {
		w.meter.Excess += a.engine.excess
		w.meter.left += a.engine.running() + a.queue.Len()
	}
	return w.meter
}

func (w *world) build(unlimited bool) {
	d := &w.deployment
	for range entries {
		w.entries = append(w.entries, &entry{world: w})
	}
	for _, e := range w.entries {
		e.forget()
		e.configure()
	}
	for _, s := range d.Stores {
		rate := float64(s.LinkBytesPerSecond)
		w.stores = append(w.stores, &store{clock: &w.clock, name: s.Name, rate: rate, full: rate,
			cache: newCache(w.plan.StoreBlocks), meter: w.meter})
	}
	shares := make(map[string]float64)
	for _, o := range d.Organisations {
		shares[o.Name] = o.Share
	}
	models := w.entries[0].models
	for _, e := range d.Endpoints {
		if e.Kind != settings.ModelEndpoint {
			continue
		}
		m := models[e.Model]
		a := &agent{world: w, endpoint: e, index: make(map[prefix.ID]bool), tracker: retention.New(),
			links: make(map[string]*retention.LinkRate),
			queue: fairqueue.New[*request](fairqueue.Settings{Length: d.Limits.QueueLength,
				Share: func(o string) float64 { return shares[o] }}),
			allowance: warmup.New(warmup.Settings{BatchLimit: e.BatchLimit, ColdLimit: e.ColdLimit}),
			costs: retention.Costs{PrefillTokensPerSecond: m.PrefillTokensPerSecond, BytesPerToken: m.BytesPerToken,
				FirstTokenWeight: d.Policy.FirstTokenWeight, RecomputeWeight: d.Policy.RecomputeWeight,
				LinkWeight: d.Policy.LinkWeight}}
		for _, s := range d.Stores {
			a.links[s.Name] = &retention.LinkRate{Configured: float64(s.LinkBytesPerSecond)}
		}
		a.engine = &engine{clock: &w.clock, agent: a, prefill: m.PrefillTokensPerSecond, decode: m.DecodeTokensPerSecond,
			batch: e.BatchLimit, coldCap: e.ColdLimit, cache: newCache(w.plan.EngineBlocks), unlimited: unlimited,
			incarnation: 1}
		w.agents[e.Name] = a
		w.order = append(w.order, a)
	}
}

// storeOf returns the store of a block by rendezvous hashing.
func (w *world) storeOf(id prefix.ID) (best *store) {
	var most uint64
	for i, s := range w.stores {
		x := (id.Uint64() ^ uint64(i+1)*0x9e3779b97f4a7c15) * 0xd1b54a32d192ed03
		if x ^= x >> 29; best == nil || x > most {
			best, most = s, x
		}
	}
	return best
}

// inDomain returns the agents of a failure domain.
func (w *world) inDomain(name string) (list []*agent) {
	for _, a := range w.order {
		if a.endpoint.FailureDomain == name {
			list = append(list, a)
		}
	}
	return list
}

// setDomain changes the state of a failure domain: agents know at once, entries within a second of each other.
func (w *world) setDomain(i int, state settings.TargetState) {
	f := &w.deployment.FailureDomains[i]
	f.State = state
	if state == settings.Active {
		f.ReturnedAt = w.clock.time()
	}
	for _, a := range w.inDomain(f.Name) {
		a.leaving = state == settings.Leaving
	}
	for i, e := range w.entries {
		w.clock.after(time.Duration(i+1)*300*time.Millisecond, e.configure)
	}
}
