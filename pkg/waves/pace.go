package waves

import (
	"math"
	"time"
)

// State is the progress of the updates of one service.
type State struct {
	// Endpoints is the number of endpoints of the service that serve or are being updated.
	Endpoints int
	// Pending are the endpoints that have replaced weights and are not being updated, by their weights, the oldest first.
	Pending []Backlog
	// Updating is the time since the start of each update in progress.
	Updating []time.Duration
	// UpdateTime is the typical time of one update, from its order until the endpoint serves the new weights. It must be positive.
	UpdateTime time.Duration
	// Wait is the mean time for which a prompt waits at the endpoints that serve.
	Wait time.Duration
}

// Backlog are the endpoints of a service that have the same replaced weights.
type Backlog struct {
	Endpoints int
	// Remaining is the time after which no request may begin on these weights. It may be negative.
	Remaining time.Duration
}

// Pace decides how many endpoints of a service may be updated at the same time.
type Pace struct {
	// TolerableWait is the wait of prompts above which the service counts as loaded.
	TolerableWait time.Duration
}

const (
	// usualDivisor, lateDivisor and maxDivisor divide the number of endpoints: a fifth of them is updated at a time, a quarter if the
	// remaining time calls for more than that, and half once endpoints take no requests until they are updated. Updates take longer if
	// more than about a fifth of the endpoints load weights at the same time, so that a higher concurrency gains little before that.
	usualDivisor = 5
	lateDivisor  = 4
	maxDivisor   = 2
	// loadedDivisor applies while the service is loaded.
	loadedDivisor = 10
	// minConcurrency lets updates go on at small services and if one of two endpoints is slow.
	minConcurrency = 2
	// heldTimes is the number of typical update times after which an update no longer counts towards the concurrency. Such an endpoint
	// is slow to finish its requests, and must not block the updates of others.
	heldTimes = 2
	// minHeldTime is the shortest time for which an update counts.
	minHeldTime = 2500 * time.Millisecond
	// minRemainingShare is the part of an update that is reckoned to be left while it is in progress.
	minRemainingShare = 0.2
)

// Concurrency returns how many endpoints may be updated at the same time, at least minConcurrency.
func (p Pace) Concurrency(s State) int {
	usual := max(minConcurrency, s.Endpoints/usualDivisor)
	upper := max(minConcurrency, divideUp(s.Endpoints, maxDivisor))
	required, late := s.required()
	if late {
		return upper
	}
	if s.Wait > p.TolerableWait && required <= upper {
		return max(minConcurrency, s.Endpoints/loadedDivisor)
	}
	more := max(usual, divideUp(s.Endpoints, lateDivisor))
	if required <= more {
		return usual
	}
	return more
}

// Occupied returns how many of the updates in progress count towards the concurrency.
func (s State) Occupied() (n int) {
	for _, elapsed := range s.Updating {
		if elapsed < max(minHeldTime, heldTimes*s.UpdateTime) {
			n++
		}
	}
	return n
}

// required returns the concurrency at which all updates end while requests may still begin on the weights that they replace. late is set if
// that time has passed for some of them: these endpoints take no requests, and nothing is gained by postponing their updates.
func (s State) required() (concurrency int, late bool) {
	work := time.Duration(0)
	for _, elapsed := range s.Updating {
		work += max(s.UpdateTime-elapsed, time.Duration(minRemainingShare*float64(s.UpdateTime)))
	}
	for _, b := range s.Pending {
		if b.Endpoints == 0 {
			continue
		}
		if b.Remaining <= 0 {
			return 0, true
		}
		work += time.Duration(b.Endpoints) * s.UpdateTime
		concurrency = max(concurrency, int(math.Ceil(work.Seconds()/b.Remaining.Seconds())))
	}
	return concurrency, false
}

func divideUp(n, divisor int) int { return (n + divisor - 1) / divisor }
