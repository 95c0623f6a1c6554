package main

import (
	"time"

	"primrosecourse/pkg/settings"
)

// scenario is a fault, or a change of the load, during the measured time.
type scenario struct {
	Name string
	// At is the start of the fault, relative to the start of the measured time, and For is its duration.
	At, For    time.Duration
	Begin, End func(*world)
	// Without reports whether an arrival is left out.
	Without func(*arrival) bool
}

const (
	steadyName       = "steady"
	domainName       = "domain leaves and returns"
	withoutLargeName = "without large organisations"
	// leaveNotice is the time between the change of the failure domain to Leaving and the loss of its instances.
	leaveNotice = 30 * time.Second
	// recoveryTime is the time after the end of a fault that is still measured.
	recoveryTime = 5 * time.Minute
)

// scenarios returns all scenarios, with times in proportion to the measured time. With the default of two hours, faults
// begin after 20 minutes and last 30 minutes, 10 minutes or 1 minute. The affected failure domain is the first one, which
// has the most model endpoints.
func scenarios(measured time.Duration) []*scenario {
	start, duration, tenMinutes, minute := measured/6, measured/4, measured/12, measured/120
	return []*scenario{
		{Name: steadyName},
		{Name: domainName, At: start, For: duration, Begin: domainLeaves, End: domainReturns},
		{Name: "store dies", At: start, For: duration,
			Begin: func(w *world) {
				w.stores[0].down = true
				w.stores[0].cache.clear()
			},
			End: func(w *world) { w.stores[0].down = false }},
		{Name: "links at a tenth", At: start, For: duration,
			Begin: func(w *world) { setLinkRates(w, 0.1) }, End: func(w *world) { setLinkRates(w, 1) }},
		{Name: "domain cold at once", At: start, For: minute, Begin: func(w *world) {
			for _, a := range w.inDomain(w.deployment.FailureDomains[0].Name) {
				a.restartEngine()
			}
		}},
		{Name: "platform down", At: start, For: tenMinutes, Begin: func(w *world) {
			// The configuration stays available, since entries read it from each other; one entry restarts during the outage.
			w.clock.after(minute, w.entries[0].reset)
		}},
		{Name: "cache events lost", At: start, For: minute,
			Begin: func(w *world) { setDropEvents(w, true) }, End: func(w *world) { setDropEvents(w, false) }},
		{Name: withoutLargeName, Without: func(a *arrival) bool { return isLarge(a.org) }},
	}
}

func domainLeaves(w *world) {
	w.setDomain(0, settings.Leaving)
	w.clock.after(leaveNotice, func() {
		for _, a := range w.inDomain(w.deployment.FailureDomains[0].Name) {
			a.stop()
		}
	})
}

func domainReturns(w *world) {
	for _, a := range w.inDomain(w.deployment.FailureDomains[0].Name) {
		a.down = false
	}
	w.setDomain(0, settings.Active)
}

func setLinkRates(w *world, share float64) {
	for _, s := range w.stores {
		s.rate = s.fullRate * share
	}
}

func setDropEvents(w *world, drop bool) {
	for _, a := range w.agentList {
		a.engine.cache.dropEvents = drop
	}
}
