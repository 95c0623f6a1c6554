package loadreport

import (
	"math"
	"time"
)

// Statement is the load that an endpoint states.
type Statement struct {
	// Running and Waiting are the requests there, of all gateways, and Slots those that can run at the same time.
	Running, Waiting, Slots int
	// Slowness is how long work takes on the endpoint's machine at this moment, in percent of the usual time; 0 if it is not stated.
	Slowness int
}

const (
	// smoothingTime is the time constant of the moving average of the slowness. The figure changes several times in it, so that a single
	// jump moves no gateway's choices by much, and what lasts for a second, as long as some requests, is followed.
	smoothingTime = 500 * time.Millisecond
	// freshTime is how long a slowness counts in full, staleTime the time constant with which its difference from the usual then decays. An
	// endpoint that gets no requests because it was slow states nothing more, and has to be tried again.
	freshTime = 500 * time.Millisecond
	staleTime = 2 * time.Second
	// occupancyTime is the time constant of the weight of stated requests against those that gateways count. It is about the time between
	// two exchanges of the gateways' loads.
	occupancyTime = 200 * time.Millisecond
	// minSlowness and maxSlowness clamp a stated slowness, so that a single outlier does not outweigh the others in the average.
	minSlowness = 0.25
	maxSlowness = 8
)

// Report is what an endpoint stated. The zero value stands for an endpoint that has stated nothing.
type Report struct {
	last Statement
	at   time.Time
	// ownThen is the number of own requests in flight there at the time of the last statement.
	ownThen int
	// slowness is the moving average, 1 for the usual time, as of slownessAt.
	slowness   float64
	slownessAt time.Time
}

// Observe records a statement. own is the number of own requests in flight at the endpoint.
func (r *Report) Observe(now time.Time, s Statement, own int) {
	r.last, r.at, r.ownThen = s, now, own
	r.ObserveSlowness(now, s.Slowness)
}

// ObserveSlowness records a slowness that the endpoint stated at a time, in percent, to this gateway or another one. It is ignored if it is not
// positive or if a later one is known.
func (r *Report) ObserveSlowness(at time.Time, percent int) {
	if percent <= 0 || !at.After(r.slownessAt) {
		return
	}
	age := smoothingTime // the first statement is averaged with the usual time
	if r.slownessAt.IsZero() {
		r.slowness = 1
	} else {
		r.slowness, age = r.Slowness(at), at.Sub(r.slownessAt)
	}
	stated := min(maxSlowness, max(minSlowness, float64(percent)/100))
	r.slowness += (stated - r.slowness) * (1 - decay(age, smoothingTime))
	r.slownessAt = at
}

// Stated returns the slowness that the endpoint last stated to this gateway itself, in percent, and how long ago. It returns 0 if that is not
// known.
func (r *Report) Stated(now time.Time) (percent int, ago time.Duration) {
	return r.last.Slowness, now.Sub(r.at)
}

// StatesSlowness reports whether the endpoint has ever stated its slowness, and how long ago it last did.
func (r *Report) StatesSlowness(now time.Time) (ago time.Duration, ok bool) {
	if r.slownessAt.IsZero() {
		return 0, false
	}
	return now.Sub(r.slownessAt), true
}

// Slowness returns the smoothed slowness: the factor by which work takes longer than usual, 1 if that is not known.
func (r *Report) Slowness(now time.Time) float64 {
	if r.slownessAt.IsZero() {
		return 1
	}
	return 1 + (r.slowness-1)*decay(now.Sub(r.slownessAt)-freshTime, staleTime)
}

// Slots returns the number of slots by the last statement, 0 if none is known.
func (r *Report) Slots() int { return r.last.Slots }

// Occupancy estimates the requests at the endpoint, running or waiting, from the own requests in flight there, those that the other gateways
// report and the last statement. The statement counts own and other gateways' requests, too, so that it is not added to them but takes their
// place, corrected by the own requests sent and ended since, with a weight that falls with its age. The result is never below own.
func (r *Report) Occupancy(now time.Time, own, peers int) float64 {
	counted := float64(own + peers)
	if r.at.IsZero() {
		return counted
	}
	stated := float64(max(r.last.Running+r.last.Waiting, r.ownThen) + own - r.ownThen)
	return max(float64(own), counted+(stated-counted)*decay(now.Sub(r.at), occupancyTime))
}

// decay returns the weight that is left of something after a time.
func decay(age, constant time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / constant.Seconds())
}
