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

// entryCount is the number of entries among which arrivals are spread at random. Each has its own soft state.
const entryCount = 3

// world is the state of one run: a deployment under one strategy of choosing endpoints and one scenario.
type world struct {
	clock      clock
	plan       *plan
	deployment settings.Deployment
	agents     map[string]*agent
	agentList  []*agent // in the order of the deployment
	stores     []*store
	entries    []*entry
	choose     chooser
	meter      *meter
}

// simulate runs the arrivals until no event is left and returns the measurements.
func simulate(p *plan, arrivals []*arrival, s *scenario, choice string) *meter {
	w := &world{plan: p, agents: make(map[string]*agent), choose: choosers[choice]}
	w.deployment = p.deployment
	w.deployment.FailureDomains = slices.Clone(p.deployment.FailureDomains)
	w.meter = newMeter(w, s)
	w.build(choice == boundName)
	end := p.WarmUp + p.Measured
	for _, a := range w.agentList {
		w.clock.every(time.Second, end+2*time.Minute, a.readCacheEvents)
	}
	if s.Begin != nil {
		w.clock.at(p.WarmUp+s.At, func() { s.Begin(w) })
	}
	if s.End != nil {
		w.clock.at(p.WarmUp+s.At+s.For, func() { s.End(w) })
	}
	for _, a := range arrivals {
		if s.Without != nil && s.Without(a) {
			continue
		}
		e := w.entries[int(a.random>>8)%entryCount]
		r := &request{arrival: a, world: w, entry: e, firstTokenAt: -1}
		w.meter.arrived++
		w.clock.at(a.sentAt+clientHop, func() { e.receive(r) })
	}
	w.clock.run()
	for _, a := range w.agentList {
		w.meter.Excess += a.engine.excess
		w.meter.unfinished += a.engine.running() + a.queue.Len()
	}
	return w.meter
}

func (w *world) build(unlimited bool) {
	d := &w.deployment
	for range entryCount {
		w.entries = append(w.entries, &entry{world: w})
	}
	for _, e := range w.entries {
		e.reset()
		e.configure()
	}
	for _, s := range d.Stores {
		rate := float64(s.LinkBytesPerSecond)
		w.stores = append(w.stores, &store{clock: &w.clock, name: s.Name, rate: rate, fullRate: rate,
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
			batch: e.BatchLimit, coldLimit: e.ColdLimit, cache: newCache(w.plan.EngineBlocks), unlimited: unlimited,
			incarnation: 1}
		w.agents[e.Name] = a
		w.agentList = append(w.agentList, a)
	}
}

// storeOf returns the store that rendezvous hashing gives for a block, or nil if there is no store.
func (w *world) storeOf(id prefix.ID) (best *store) {
	var highest uint64
	for i, s := range w.stores {
		x := (id.Uint64() ^ uint64(i+1)*0x9e3779b97f4a7c15) * 0xd1b54a32d192ed03
		if x ^= x >> 29; best == nil || x > highest {
			best, highest = s, x
		}
	}
	return best
}

// inDomain returns the agents of the failure domain with this name.
func (w *world) inDomain(name string) (list []*agent) {
	for _, a := range w.agentList {
		if a.endpoint.FailureDomain == name {
			list = append(list, a)
		}
	}
	return list
}

// setDomain changes the state of a failure domain. Its agents apply the change at once, the entries one after the other at
// intervals of 300 ms.
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
