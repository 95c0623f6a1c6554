package loads

import "time"

// planHeardTime is how long what another gateway stated on the plan of builds counts. It is longer than the time between two messages of a
// gateway without load.
const planHeardTime = 1500 * time.Millisecond

// planReport is the number of the plan of builds that a gateway stated, or the highest one in a failure domain.
type planReport struct {
	number uint64
	at     time.Time
}

// AgreesOnPlan reports whether the other gateways seem to know no later plan of builds than the one with the given number: none of those
// heard lately stated one, and at least half were heard, where another failure domain counts as one. A gateway that is cut off from the
// others does not agree.
func (e *Exchange) AgreesOnPlan(now time.Time, number uint64) bool {
	same, others := split(e.Peers.Peers(), e.Domain)
	e.mu.Lock()
	defer e.mu.Unlock()
	heard := 0
	for _, r := range e.plans {
		if now.Sub(r.at) > planHeardTime {
			continue
		}
		if r.number > number {
			return false
		}
		heard++
	}
	return 2*heard >= len(same)+len(others)
}

func (e *Exchange) hearPlan(source string, number uint64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.plans == nil {
		e.plans = map[string]planReport{}
	}
	e.plans[source] = planReport{number: number, at: now}
}

// plan returns the number of the plan that this gateway knows, 0 if there is none.
func (e *Exchange) plan() uint64 {
	if e.Plan == nil {
		return 0
	}
	return e.Plan()
}

// domainPlan returns the highest number of a plan that this gateway or one of the members of its domain knows.
func (e *Exchange) domainPlan(now time.Time, members map[string]bool) uint64 {
	number := e.plan()
	e.mu.Lock()
	defer e.mu.Unlock()
	for name := range members {
		if r := e.plans[name]; now.Sub(r.at) <= planHeardTime {
			number = max(number, r.number)
		}
	}
	return number
}
