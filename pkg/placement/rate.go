package placement

import (
	"time"
)

const (
	// scarceCost is added at an endpoint for which more requests are wanted than it takes, if it has nothing of the prompt cached, so that its
	// places are left to prompts that would be read again elsewhere.
	scarceCost = 50 * time.Millisecond
	// rateInterval is about the time between two tries of a request that waits for a place at a limited endpoint.
	rateInterval = 25 * time.Millisecond
	// minRateWait and maxRateWait bound the time after which a request is told to come back.
	minRateWait = 250 * time.Millisecond
	maxRateWait = 5 * time.Second
	// noPause stands for no endpoint that pauses.
	noPause = time.Duration(1<<63 - 1)
)

// candidate is an endpoint that can take a request.
type candidate struct {
	choice Choice
	cost   time.Duration
}

// cheapestAdmitted returns the candidate with the lowest cost among those that take the request, no endpoint if there is none. It adds
// those that do not to notAdmitted. The caller must hold mu.
func (t *Table) cheapestAdmitted(now time.Time, r *Request) Choice {
	remaining := t.considered
	for len(remaining) > 0 {
		best := 0
		for i := range remaining {
			if remaining[i].cost < remaining[best].cost {
				best = i
			}
		}
		choice := remaining[best].choice
		admit := t.Intake.Admit
		if r.explained != nil {
			admit = t.Intake.WouldAdmit
		}
		d := admit(now, choice.Endpoint.ID, r.Gateways, t.Random())
		if d.Admitted {
			return choice
		}
		r.notAdmitted = append(r.notAdmitted, choice.Endpoint.ID)
		if wait := rateWait(d.Rate, d.Wanted); r.rateWait == 0 || wait < r.rateWait {
			r.rateWait = wait
		}
		remaining[best] = remaining[len(remaining)-1]
		remaining = remaining[:len(remaining)-1]
	}
	return Choice{}
}

// rateWait returns the expected time until a request that tries once in rateInterval is admitted.
func rateWait(rate, wanted float64) time.Duration {
	tries := max(1, wanted/rate)
	return min(maxRateWait, time.Duration(tries*float64(rateInterval)))
}
