package main

import (
	"time"

	"primrosecourse/pkg/settings"
)

// scenario describes a run with a fault in the measured time, with some arrivals left out in all of the run, or with neither.
type scenario struct {
	Name string
	// At is the start of the fault, relative to the start of the measured time, and For is its duration.
	At, For time.Duration
	// Begin starts the fault, and End ends it. Begin is nil without a fault, and End also for a fault that ends by itself.
	Begin, End func(*simulation)
	// Without reports whether an arrival is left out.
	Without func(*arrival) bool
}

const (
	steadyName       = "steady"
	domainName       = "domain leaves and returns"
	withoutLargeName = "without large organisations"
	// leaveNotice is the time between the change of the failure domain to Leaving and the loss of its instances.
	leaveNotice = 30 * time.Second
	// measuredAfterFault is the time after the end of a fault that is still measured.
	measuredAfterFault = 5 * time.Minute
)

// scenarios returns all scenarios. The times at which faults begin and end are in proportion to the measured time: with its
// default of two hours, faults begin after 20 minutes and last 30 minutes, 10 minutes or 1 minute. The affected failure
// domain is the first one; none has more endpoints of the long model.
func scenarios(measured time.Duration) []*scenario {
	start, duration, tenMinutes, minute := measured/6, measured/4, measured/12, measured/120
	return []*scenario{
		{Name: steadyName},
		{Name: domainName, At: start, For: duration, Begin: domainLeaves, End: domainReturns},
		{Name: "store dies", At: start, For: duration,
			Begin: func(sim *simulation) {
				sim.stores[0].down = true
				sim.stores[0].cache.clear()
			},
			End: func(sim *simulation) { sim.stores[0].down = false }},
		{Name: "links at a tenth", At: start, For: duration,
			Begin: func(sim *simulation) { setLinkRates(sim, 0.1) }, End: func(sim *simulation) { setLinkRates(sim, 1) }},
		{Name: "domain cold at once", At: start, For: minute, Begin: func(sim *simulation) {
			for _, a := range sim.inDomain(sim.deployment.FailureDomains[0].Name) {
				a.restartEngine()
			}
		}},
		{Name: "platform down", At: start, For: tenMinutes, Begin: func(sim *simulation) {
			// The configuration stays available, since entries read it from each other; one entry restarts during the outage.
			sim.clock.after(minute, sim.entries[0].reset)
		}},
		{Name: "cache events lost", At: start, For: minute,
			Begin: func(sim *simulation) { setDropEvents(sim, true) }, End: func(sim *simulation) { setDropEvents(sim, false) }},
		{Name: withoutLargeName, Without: func(a *arrival) bool { return isLarge(a.org) }},
	}
}

func domainLeaves(sim *simulation) {
	sim.setDomain(0, settings.Leaving)
	sim.clock.after(leaveNotice, func() {
		for _, a := range sim.inDomain(sim.deployment.FailureDomains[0].Name) {
			a.stop()
		}
	})
}

func domainReturns(sim *simulation) {
	for _, a := range sim.inDomain(sim.deployment.FailureDomains[0].Name) {
		a.down = false
	}
	sim.setDomain(0, settings.Active)
}

func setLinkRates(sim *simulation, share float64) {
	for _, s := range sim.stores {
		s.rate = s.fullRate * share
	}
}

func setDropEvents(sim *simulation, drop bool) {
	for _, a := range sim.agentList {
		a.engine.cache.dropEvents = drop
	}
}
