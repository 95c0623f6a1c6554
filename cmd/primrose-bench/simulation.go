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

// simulation is the state of one simulated run: a deployment under one strategy of choosing endpoints and one scenario.
type simulation struct {
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
	sim := &simulation{plan: p, agents: make(map[string]*agent), choose: choosers[choice]}
	sim.deployment = p.deployment
	sim.deployment.FailureDomains = slices.Clone(p.deployment.FailureDomains)
	sim.meter = newMeter(sim, s)
	sim.build(choice == boundName)
	end := p.WarmUp + p.Measured
	for _, a := range sim.agentList {
		sim.clock.every(time.Second, end+2*time.Minute, a.readCacheEvents)
	}
	if s.Begin != nil {
		sim.clock.at(p.WarmUp+s.At, func() { s.Begin(sim) })
	}
	if s.End != nil {
		sim.clock.at(p.WarmUp+s.At+s.For, func() { s.End(sim) })
	}
	for _, a := range arrivals {
		if s.Without != nil && s.Without(a) {
			continue
		}
		e := sim.entries[int(a.random>>8)%entryCount]
		r := &request{arrival: a, sim: sim, entry: e, firstTokenAt: -1}
		sim.meter.arrived++
		sim.clock.at(a.sentAt+clientHopDelay, func() { e.receive(r) })
	}
	sim.clock.run()
	for _, a := range sim.agentList {
		sim.meter.Excess += a.engine.excess
		sim.meter.unfinished += a.engine.running() + a.queue.Len()
	}
	return sim.meter
}

func (sim *simulation) build(unlimited bool) {
	d := &sim.deployment
	for range entryCount {
		sim.entries = append(sim.entries, &entry{sim: sim})
	}
	for _, e := range sim.entries {
		e.reset()
		e.configure()
	}
	for _, s := range d.Stores {
		rate := float64(s.LinkBytesPerSecond)
		sim.stores = append(sim.stores, &store{clock: &sim.clock, name: s.Name, rate: rate, fullRate: rate,
			cache: newCache(sim.plan.StoreBlocks), meter: sim.meter})
	}
	shares := make(map[string]float64)
	for _, o := range d.Organisations {
		shares[o.Name] = o.Share
	}
	models := sim.entries[0].models
	for _, e := range d.Endpoints {
		if e.Kind != settings.ModelEndpoint {
			continue
		}
		m := models[e.Model]
		a := &agent{sim: sim, endpoint: e, index: make(map[prefix.ID]bool), tracker: retention.New(),
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
		a.engine = &engine{clock: &sim.clock, agent: a, prefill: m.PrefillTokensPerSecond, decode: m.DecodeTokensPerSecond,
			batch: e.BatchLimit, coldLimit: e.ColdLimit, cache: newCache(sim.plan.EngineBlocks), unlimited: unlimited,
			incarnation: 1}
		sim.agents[e.Name] = a
		sim.agentList = append(sim.agentList, a)
	}
}

// storeOf returns the store that rendezvous hashing selects for a block, or nil if there is none.
func (sim *simulation) storeOf(id prefix.ID) (best *store) {
	var highest uint64
	for i, s := range sim.stores {
		x := (id.Uint64() ^ uint64(i+1)*0x9e3779b97f4a7c15) * 0xd1b54a32d192ed03
		if x ^= x >> 29; best == nil || x > highest {
			best, highest = s, x
		}
	}
	return best
}

// inDomain returns the agents of the failure domain with this name.
func (sim *simulation) inDomain(name string) (list []*agent) {
	for _, a := range sim.agentList {
		if a.endpoint.FailureDomain == name {
			list = append(list, a)
		}
	}
	return list
}

// setDomain changes the state of a failure domain. Its agents apply the change at once, the entries one after the other at
// intervals of 300 ms.
func (sim *simulation) setDomain(i int, state settings.TargetState) {
	f := &sim.deployment.FailureDomains[i]
	f.State = state
	if state == settings.Active {
		f.ReturnedAt = sim.clock.time()
	}
	for _, a := range sim.inDomain(f.Name) {
		a.leaving = state == settings.Leaving
	}
	for i, e := range sim.entries {
		sim.clock.after(time.Duration(i+1)*300*time.Millisecond, e.configure)
	}
}
