package placement

import (
	"time"

	"primrosecourse/pkg/site"
)

// Reason tells why an endpoint was chosen, or why none was.
type Reason uint8

// The reasons.
const (
	// Home means that the endpoint probably holds the first parts of the prompt.
	Home Reason = iota
	// Holder means that the endpoint is known to keep the first parts of the prompt.
	Holder
	// Spill means that waiting at the home would take longer than reading the whole prompt.
	Spill
	// LeastLoad means that the request has no home.
	LeastLoad
	// Probe means that a suspect endpoint is tried again.
	Probe
	// NoEndpoint means that no endpoint may get work.
	NoEndpoint
	// AllCold means that cold endpoints have as much as they bear.
	AllCold
	// TooLate means that the wait would exceed the time left.
	TooLate
)

// Ask describes a request to be placed.
type Ask struct {
	Service string
	// Homes are the endpoints that probably hold the first parts of the prompt, the first one most likely.
	Homes []string
	// Parts returns the parts that the prompt shares with others, as an endpoint would keep them. Nil if there are none. The result is
	// not changed.
	Parts func(e *site.Endpoint) []Part
	// Tokens is the length of the prompt, Shared what of it may be cached.
	Tokens int
	Shared int
	// Stored is how many of the shared tokens any endpoint can fetch, FetchTime how long that takes over idle links.
	Stored    int
	FetchTime time.Duration
	// Left is the time in which an answer is of use.
	Left time.Duration
	// Gateways is the number of processes that share the limits of endpoints.
	Gateways int
	// Tried are the endpoints that this request has been sent to.
	Tried []string
	// Domain is the failure domain of this process, preferred when all else is equal.
	Domain string

	// everyone makes all endpoints considered.
	everyone bool
}

// Choice is a chosen endpoint.
type Choice struct {
	Endpoint *site.Endpoint
	Reason   Reason
	// Wait is the expected time until the endpoint begins with the prompt, Unread the tokens that it probably must read.
	Wait   time.Duration
	Unread int
	// Considered is the number of endpoints that might have been chosen.
	Considered int
}

// Refusal tells why no endpoint was chosen.
type Refusal struct {
	Reason Reason
	// RetryAfter is when a place is likely to be free.
	RetryAfter time.Duration
}

const (
	// remoteCost is what a request to another failure domain costs beside its way, so that equal endpoints are taken nearby.
	remoteCost = 3 * time.Millisecond
	// runCost is what each request under way at an engine costs another one, by the longer steps of a larger batch.
	runCost = 2 * time.Millisecond
	// plainRunCost is the same at a plain endpoint, where a request waits for a slot once all are taken.
	plainRunCost = 5 * time.Millisecond
	// errorCost is what a request costs more at an endpoint whose answers all fail, if those of its fellows do not.
	errorCost = time.Second
	// fullCost makes an endpoint that refused of late a late choice.
	fullCost = 2 * time.Second
	// suspectCost makes a suspect endpoint the last choice, unless its pause has passed.
	suspectCost = 10 * time.Second
	// sampleSize is the number of endpoints that are considered beside the homes.
	sampleSize = 4
	// probeShare is the part of requests that may try a suspect endpoint.
	probeShare = 0.1
)

// homeShares are the parts of the shared tokens that the homes are expected to hold, by their place.
var homeShares = [...]float64{0.9, 0.4}

// Choose returns the endpoint for a request among candidates, which may get work, or why there is none.
func (t *Table) Choose(now time.Time, a *Ask, candidates []*site.Endpoint) (Choice, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.choose(now, a, candidates)
}

// sampleShare returns the part of the endpoints that are considered beside the homes. Gateways know each other's loads with a
// delay; if all of them took the least loaded endpoint of all, each one that is free would get a prompt from many of them at
// once.
func (t *Table) sampleShare(a *Ask, n int) float64 {
	if a.everyone || n <= sampleSize {
		return 1
	}
	return float64(sampleSize) / float64(n)
}

func (t *Table) choose(now time.Time, a *Ask, candidates []*site.Endpoint) (Choice, *Refusal) {
	best := Choice{}
	bestCost := time.Duration(1<<62 - 1)
	meanErrors := t.meanErrors(candidates)
	coldest, skipped, considered := false, false, 0
	soonest := lastSuspicion
	drawn := t.sampleShare(a, len(candidates))
	for _, e := range candidates {
		s := t.state(e)
		if contains(a.Tried, e.ID) {
			continue
		}
		here := t.expect(now, a, e, s)
		if drawn < 1 && !here.candidate && t.Random() > drawn {
			skipped = true
			continue
		}
		if !s.cold.Allows(now, a.Gateways) {
			coldest = true
			continue
		}
		if s.suspect {
			open := s.suspectAt.Add(s.pause)
			if s.probing || now.Before(open) {
				soonest = min(soonest, max(0, open.Sub(now)))
				continue
			}
		}
		considered++
		cost, choice := t.cost(now, a, e, s, here, meanErrors)
		if cost < bestCost {
			best, bestCost = choice, cost
		}
	}
	best.Considered = considered
	if best.Endpoint == nil && skipped {
		all := *a
		all.everyone = true
		return t.choose(now, &all, candidates)
	}
	switch {
	case best.Endpoint != nil && a.Left > 0 && best.Wait > a.Left:
		return Choice{Considered: considered}, &Refusal{Reason: TooLate, RetryAfter: t.spread(best.Wait / 2)}
	case best.Endpoint != nil:
		return best, nil
	case coldest:
		return best, &Refusal{Reason: AllCold, RetryAfter: t.spread(300 * time.Millisecond)}
	}
	return best, &Refusal{Reason: NoEndpoint, RetryAfter: t.spread(max(200*time.Millisecond, soonest))}
}

// spread returns a time between d and twice d, so that refused callers do not come back together.
func (t *Table) spread(d time.Duration) time.Duration {
	return d + time.Duration(t.Random()*float64(d))
}

func (t *Table) meanErrors(candidates []*site.Endpoint) float64 {
	if len(candidates) == 0 {
		return 0
	}
	sum := 0.0
	for _, e := range candidates {
		sum += t.state(e).errors
	}
	return sum / float64(len(candidates))
}

// expected is what of a prompt an endpoint probably keeps.
type expected struct {
	reason Reason
	// here is the part of the shared tokens that is kept, missing the number of those that must be read.
	here    float64
	missing int
	// candidate tells that the endpoint is considered without being drawn.
	candidate bool
}

// expect returns what an endpoint keeps of the prompt, by the word on it or else by its place among the homes.
func (t *Table) expect(now time.Time, a *Ask, e *site.Endpoint, s *state) (x expected) {
	x.reason = LeastLoad
	if len(a.Homes) > 0 {
		x.reason = Spill
	}
	for i, home := range a.Homes {
		if home == e.ID {
			x.reason, x.candidate = Home, true
			x.here = homeShares[min(i, len(homeShares)-1)]
		}
	}
	x.missing = int((1 - x.here) * float64(a.Shared-a.Stored))
	if a.Parts == nil || a.Shared <= 0 {
		return x
	}
	if tokens, known := s.keeps(now, a.Parts(e)); known {
		x.here = float64(tokens) / float64(a.Shared)
		x.missing = a.Shared - max(tokens, a.Stored)
		if tokens > 0 {
			x.reason, x.candidate = Holder, true
		}
	}
	return x
}

// cost returns the expected time to the first piece at an endpoint, with penalties.
func (t *Table) cost(now time.Time, a *Ask, e *site.Endpoint, s *state, x expected, meanErrors float64) (time.Duration, Choice) {
	perSecond := t.rate(a.Service).perSecond
	reason := x.reason
	unread := a.Tokens - a.Shared + x.missing
	inFlight, pending, known := t.others(now, e.ID)
	wait := time.Duration((s.pending + pending) / perSecond * float64(time.Second))
	cost := wait + time.Duration(float64(unread)/perSecond*float64(time.Second)) + time.Duration((1-x.here)*float64(a.FetchTime))
	perRun := plainRunCost
	if a.Tokens > 0 {
		perRun = runCost
	}
	underWay := s.inFlight + inFlight
	if !known {
		underWay = s.reportedUnderWay(now)
	}
	cost += perRun * time.Duration(underWay)
	if e.FailureDomain != a.Domain {
		cost += remoteCost
	}
	if over := s.errors - 1.5*meanErrors - 0.1; over > 0 {
		cost += time.Duration(over * float64(errorCost))
	}
	if now.Before(s.fullUntil) {
		cost += fullCost
	}
	if s.suspect {
		reason = Probe
		if t.Random() > probeShare {
			cost += suspectCost
		}
	}
	// Equal endpoints are taken in turn.
	cost += time.Duration(t.Random() * float64(time.Millisecond))
	return cost, Choice{Endpoint: e, Reason: reason, Wait: wait, Unread: unread}
}

// reportedUnderWay estimates the requests at an endpoint without the word of other processes: the endpoint's last report
// loses weight with age against what this process has there.
func (s *state) reportedUnderWay(now time.Time) int {
	age := now.Sub(s.reported)
	if s.reported.IsZero() || age > reportAge {
		return s.inFlight
	}
	weight := 1 - float64(age)/float64(reportAge)
	return max(s.inFlight, int(weight*float64(s.running+2*s.waiting)))
}

func contains(ids []string, id string) bool {
	for _, i := range ids {
		if i == id {
			return true
		}
	}
	return false
}
