package placement

import (
	"math"
	"time"

	"primrosecourse/pkg/site"
)

// Endpoints that share their machines with others state how slow they are at the moment. The rules of this file apply to services of which
// at least one endpoint states that; the others are placed as if the file was not there.

const (
	// maxConsidered is the number of endpoints of a service without engines up to which all are considered. If few of them have slots to
	// spare, a sample of four misses these most of the time.
	maxConsidered = 32
	// defaultServiceTime is how long a request to a service without engines is assumed to run until that is known, and serviceTimeWeight
	// the weight of one answer in its moving average.
	defaultServiceTime = 50 * time.Millisecond
	serviceTimeWeight  = 0.05
	// serviceTimeCost is the cost of the time for which a request runs at an endpoint that takes the usual time, so that the costs of errors and
	// refusals keep their proportion to it however long requests run.
	serviceTimeCost = 50 * time.Millisecond
	// loadShare is the cost of an endpoint all of whose slots are taken, as a multiple of serviceTimeCost and of the slowness. What is known of the
	// requests there is old, so that a slot that seems free may be taken.
	loadShare = 2
	// spreadShare is the scale of the random part of a cost, as a multiple of serviceTimeCost. It spreads requests that many gateways place by the
	// same reports. With a uniform one of 0.3, 25 gateways at 30 servers overran the fastest between two reports, and the 99th percentile of the waits was
	// 464 ms against 161 ms with a sample of four (a trial of TestUnevenServers).
	spreadShare = 1
)

// serviceTime is how long a request runs at the endpoints of a service without engines that take the usual time.
type serviceTime struct{ mean time.Duration }

func (t *Table) serviceTime(service string) *serviceTime {
	s := t.serviceTimes[service]
	if s == nil {
		s = &serviceTime{mean: defaultServiceTime}
		t.serviceTimes[service] = s
	}
	return s
}

// statesSlowness reports whether any of the endpoints has stated how slow it is. The caller must hold mu.
func (t *Table) statesSlowness(now time.Time, endpoints []*site.Endpoint) bool {
	if !t.slownessStated {
		return false
	}
	for _, e := range endpoints {
		if s := t.states[e.ID]; s != nil {
			if _, ok := s.report.StatesSlowness(now); ok {
				return true
			}
		}
	}
	return false
}

// unevenCost returns the expected wait for a slot and the cost at an endpoint of a service without engines. The caller must hold mu.
func (t *Table) unevenCost(now time.Time, r *Request, e *site.Endpoint, s *endpointState, peers Load, failing bool) (wait, cost time.Duration) {
	slots := s.report.Slots()
	if slots <= 0 {
		slots = max(1, e.Slots)
	}
	n := s.report.Occupancy(now, s.inFlight, peers.InFlight)
	slowness := s.report.Slowness(now)
	if failing {
		// An endpoint that fails at once is not attractive for being fast.
		slowness = max(1, slowness)
	}
	runs := t.serviceTime(r.Service).mean
	relativeWait := max(0, n-float64(slots)+1) / float64(slots) * slowness
	relative := relativeWait + slowness*(1+loadShare*min(1, n/float64(slots)))
	// With this distribution (Gumbel's), the probability of a choice falls exponentially with the cost: endpoints whose costs differ little get about
	// equal shares, however many there are.
	relative += spreadShare * math.Log(-math.Log(max(minRandom, t.Random())))
	return time.Duration(relativeWait * float64(runs)), time.Duration(relative * float64(serviceTimeCost))
}

// minRandom keeps a random number of 0 from an infinite cost.
const minRandom = 1e-9

// noteSent records in a request for which the endpoint was chosen whether the time until its answer is that for which it runs. The caller
// must hold mu.
func (t *Table) noteSent(now time.Time, e *site.Endpoint, r *Request, s *endpointState) {
	r.sentAt = time.Time{}
	if _, ok := s.report.StatesSlowness(now); !r.Plain || !ok {
		return
	}
	peers, _ := t.peerTotals(now, e.ID)
	if slots := s.report.Slots(); slots > 0 && s.report.Occupancy(now, s.inFlight, peers.InFlight) < float64(slots) {
		r.sentAt = now
	}
}

// noteAnswered updates the time for which requests run from one that probably did not wait. The caller must hold mu.
func (t *Table) noteAnswered(now time.Time, e *site.Endpoint, r *Request, s *endpointState) {
	if r.sentAt.IsZero() {
		return
	}
	took := time.Duration(float64(now.Sub(r.sentAt)) / s.report.Slowness(now))
	times := t.serviceTime(e.Service)
	times.mean += time.Duration(float64(took-times.mean) * serviceTimeWeight)
}

// applyPeerSlowness records how slow endpoints stated to another gateway to be. Each of many gateways sends few requests to an endpoint, and
// would know only what that stated a second ago. The caller must hold mu.
func (t *Table) applyPeerSlowness(now time.Time, loads []Load) {
	for _, l := range loads {
		if s := t.states[l.Endpoint]; s != nil && l.Slowness > 0 {
			s.report.ObserveSlowness(now.Add(-max(0, l.SlownessAgo)), l.Slowness)
			t.slownessStated = true
		}
	}
}

// Slowness returns the highest and the mean smoothed slowness of endpoints, 1 for the usual time, and false if none has stated it.
func (t *Table) Slowness(now time.Time, endpoints []*site.Endpoint) (highest, mean float64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range endpoints {
		s := t.states[e.ID]
		if s == nil {
			continue
		}
		if _, stated := s.report.StatesSlowness(now); stated {
			slowness := s.report.Slowness(now)
			highest, mean, n = max(highest, slowness), mean+slowness, n+1
		}
	}
	return highest, mean / float64(max(1, n)), n > 0
}
