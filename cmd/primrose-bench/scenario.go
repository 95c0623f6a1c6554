package main

import (
	"time"

	"primrosecourse/pkg/settings"
)

// scenario is a fault during the measured time.
type scenario struct {
	Name string
	// At is when the fault begins, from the start of the measured time, and For how long it lasts.
	At, For    time.Duration
	Begin, End func(*world)
	// Without leaves arrivals out.
	Without func(*arrival) bool
}

const (
	steadyName       = "steady"
	domainName       = "domain leaves and returns"
	withoutLargeName = "without large organisations"
	// notice is the time between the order to leave and the loss of the instances.
	notice = 30 * time.Second
	// aftermath is the time after a fault that is measured with it.
	aftermath = 5 * time.Minute
)

// scenarios returns the scenarios. Their times are parts of the measured time and stand for those of the full two hours:
// faults begin after 20 minutes and last 30, 10 or 1. The failure domain at fault is the first one, which has the most model
// endpoints.
func scenarios(measured time.Duration) []*scenario {
	at, duration, tenMinutes, minute := measured/6, measured/4, measured/12, measured/120
	return []*scenario{
		{Name: steadyName},
		{Name: domainName, At: at, For: duration, Begin: domainLeaves, End: domainReturns},
		{Name: "store dies", At: at, For: duration,
			Begin: func(w *world) {
				w.stores[0].dead = true
				w.stores[0].cache.clear()
			},
			End: func(w *world) { w.stores[0].dead = false }},
		{Name: "links at a tenth", At: at, For: duration,
			Begin: func(w *world) { setLinks(w, 0.1) }, End: func(w *world) { setLinks(w, 1) }},
		{Name: "domain cold at once", At: at, For: minute, Begin: func(w *world) {
			for _, a := range w.inDomain(w.deployment.FailureDomains[0].Name) {
				a.cut()
			}
		}},
		{Name: "platform down", At: at, For: tenMinutes, Begin: func(w *world) {
			// The configuration stays, which the entries take from each other; one of them restarts meanwhile.
			w.clock.after(minute, w.entries[0].forget)
		}},
		{Name: "cache events lost", At: at, For: minute,
			Begin: func(w *world) { setLosing(w, true) }, End: func(w *world) { setLosing(w, false) }},
		{Name: withoutLargeName, Without: func(a *arrival) bool { return large(a.org) }},
	}
}

func domainLeaves(w *world) {
	w.setDomain(0, settings.Leaving)
	w.clock.after(notice, func() {
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

func setLinks(w *world, share float64) {
	for _, s := range w.stores {
		s.rate = s.full * share
	}
}

func setLosing(w *world, losing bool) {
	for _, a := range w.order {
		a.engine.cache.losing = losing
	}
}
