package placement

import (
	"time"

	"primrosecourse/pkg/site"
)

// Reason is why an endpoint was chosen, or why none was.
type Reason uint8

// The reasons for a choice or a refusal.
const (
	// Home means that the endpoint is a home of the prompt, which probably has the first parts of the prompt cached unless a recent
	// report says otherwise.
	Home Reason = iota
	// Holder means that the endpoint is reported to have the first parts of the prompt cached.
	Holder
	// Spill means that the request has homes, but that another endpoint, which is no holder, has a lower cost or no home can take the
	// request. Usually the wait at the homes is longer than the additional prefill elsewhere.
	Spill
	// LeastLoad means that the request has no home and that the endpoint, which is no holder, has the lowest cost of those considered.
	LeastLoad
	// Probe means that a suspect endpoint is tried again.
	Probe
	// NoEndpoint means that no endpoint can take the request.
	NoEndpoint
	// AllCold means that at least one cold endpoint is at the limit of its request rate and no other endpoint is left.
	AllCold
	// NoMemory means that no endpoint that can take the request has room for its prompt.
	NoMemory
	// OldWeights means that the endpoints that can take the request serve replaced weights for too long already.
	OldWeights
	// RateLimited means that at least one endpoint gets as many requests as it stated that it takes and no other endpoint is left.
	RateLimited
	// Paused means that at least one endpoint wants no requests from this gateway for some time and no other endpoint is left.
	Paused
	// TooLate means that the expected wait at the endpoint with the lowest cost exceeds the remaining time of the request.
	TooLate
)

// Request describes a request to be placed.
type Request struct {
	Service string
	// Homes are the endpoints that probably have the first parts of the prompt cached, the most likely one first.
	Homes []string
	// Parts returns the parts that the prompt may share with other prompts, with the cache keys that apply at endpoint e. The caller
	// must not modify the result. The field is nil if there are no such parts.
	Parts func(e *site.Endpoint) []Part
	// Tokens is the length of the prompt in tokens, Shared the length of its parts that may be cached.
	Tokens int
	Shared int
	// Stored is how many of the shared tokens each endpoint can fetch from KV stores, FetchTime how long that takes over idle links.
	Stored    int
	FetchTime time.Duration
	// StoredAt, if it is not nil, replaces Stored and FetchTime by what an endpoint can fetch. It must not call the table.
	StoredAt func(e *site.Endpoint) (tokens int, fetch time.Duration)
	// Remaining is the time within which an answer is still of use; 0 or less for no limit.
	Remaining time.Duration
	// Gateways is the number of gateways that share the request rate of a cold endpoint.
	Gateways int
	// Memory is the number of tokens that an engine of the service has room for, 0 if unknown.
	Memory int
	// Tried are the endpoints to which this request was already sent.
	Tried []string
	// MayBegin reports whether the request may be sent to an endpoint at which its first token is expected after firstToken. The field is nil if
	// it may be sent to all.
	MayBegin func(e *site.Endpoint, firstToken time.Duration) bool
	// Replaced reports whether an endpoint serves weights that another version replaces. What it prefills is lost when it loads the new weights, so
	// that the prefill counts twice: now, and once more when the prompt returns. The field is nil if no version of the model is named.
	Replaced func(e *site.Endpoint) bool
	// Plain is set for a service without engines.
	Plain bool
	// Reserved are endpoints whose room is left to other requests.
	Reserved []string
	// Domain is the failure domain of this gateway. Endpoints in it are preferred when all else is equal.
	Domain string

	// considerAll disables the sampling of endpoints. uneven is set if endpoints of the service state how slow they are.
	considerAll bool
	uneven      bool
	// sentAt is when the request was sent, zero if the time until its answer says nothing about how long requests run.
	sentAt time.Time
	// notAdmitted are the endpoints that would have been chosen but get as many requests as they take. rateWait is the expected time until
	// one of them can take the request.
	notAdmitted []string
	rateWait    time.Duration
	// explained gets what the choice depends on; nil for a choice that is not to be explained.
	explained *[]Explained
}

// Choice is a chosen endpoint.
type Choice struct {
	Endpoint *site.Endpoint
	Reason   Reason
	// Wait is the expected time until the endpoint starts to prefill the prompt, PrefillTokens the number of tokens that it probably must
	// prefill.
	Wait          time.Duration
	PrefillTokens int
	// FirstToken is the expected time until the first token: the wait, the fetch of stored parts and the prefill.
	FirstToken time.Duration
	// Stored is how many of the shared tokens the endpoint can fetch from KV stores.
	Stored int
	// Slowness is the smoothed slowness of the endpoint, 1 for the usual time and 0 if it has not stated any, SlownessAgo the age of the last
	// statement.
	Slowness    float64
	SlownessAgo time.Duration
	// Considered is the number of endpoints whose costs were compared, and NotAdmitted the number of those with a lower cost that get as many
	// requests as they take.
	Considered  int
	NotAdmitted int
}

// Refusal is why no endpoint was chosen.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which capacity is likely to be free.
	RetryAfter time.Duration
	// Wait is, if the reason is RateLimited, the expected time until an endpoint can take the request.
	Wait time.Duration
	// Closest is, if the reason is NoMemory, the endpoint at which the least must come free until it has room for the prompt, empty if
	// all are suspect or reserved.
	Closest string
}

const (
	// remoteCost is added for an endpoint in another failure domain, so that of otherwise equal endpoints a near one is chosen. The
	// network latency is not counted separately.
	remoteCost = 3 * time.Millisecond
	// engineRequestCost is the delay that each request in flight at an engine adds to another one, because the steps of a larger
	// batch take longer.
	engineRequestCost = 2 * time.Millisecond
	// plainRequestCost is the same for requests without a prompt, which wait for a slot once all slots are taken.
	plainRequestCost = 5 * time.Millisecond
	// errorCost is multiplied by the amount by which the error share of an endpoint exceeds 1.5 times the mean of all candidates, itself
	// included, plus 0.1. If one of n endpoints fails every request and the others fail none, the extra cost is
	// (0.9 - 1.5/n) s, or none for n = 1.
	errorCost = time.Second
	// fullCost makes an endpoint that refused a request recently one of the last choices.
	fullCost = 2 * time.Second
	// suspectCost makes a suspect endpoint the last choice, except for the share of requests that probe it.
	suspectCost = 10 * time.Second
	// sampleSize is about the mean number of endpoints that are considered in addition to those that probably have a part of the prompt
	// cached. If there are no more candidates than this, all are considered.
	sampleSize = 4
	// oldWeightsWait is about the time that an endpoint takes to load weights.
	oldWeightsWait = time.Second
	// probeShare is the share of requests for which suspectCost is not added once the back-off time of a suspect endpoint is over.
	probeShare = 0.1
)

// Choose returns the endpoint for a request, or the reason why there is none. candidates are the endpoints of the service that may get
// work.
func (t *Table) Choose(now time.Time, r *Request, candidates []*site.Endpoint) (Choice, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.notAdmitted, r.rateWait = r.notAdmitted[:0], 0
	r.uneven = t.statesSlowness(now, candidates)
	return t.choose(now, r, candidates)
}

// sampleShare returns the probability with which an endpoint is considered if it probably has nothing of the prompt cached.
// Gateways learn of each other's loads with a delay. If all of them took the least loaded endpoint, each idle endpoint would
// get prompts from many gateways at once.
func (t *Table) sampleShare(r *Request, n int) float64 {
	if r.considerAll || n <= sampleSize || (r.uneven && r.Plain && n <= maxConsidered) {
		return 1
	}
	return float64(sampleSize) / float64(n)
}

func (t *Table) choose(now time.Time, r *Request, candidates []*site.Endpoint) (Choice, *Refusal) {
	meanErrorShare := t.meanErrorShare(candidates)
	coldLimited, memoryLimited, oldWeights, unsampled := false, false, false, false
	timeToProbe, shortestPause := maxSuspectPause, noPause
	closest, least := "", 0.0
	probability := t.sampleShare(r, len(candidates))
	t.considered = t.considered[:0]
	for _, e := range candidates {
		s := t.endpointState(e)
		if contains(r.Tried, e.ID) || contains(r.notAdmitted, e.ID) {
			r.explain(e, "Tried", 0, Choice{})
			continue
		}
		prefix := t.estimateCachedPrefix(now, r, e, s)
		if probability < 1 && !prefix.alwaysConsidered && t.Random() > probability {
			unsampled = true
			continue
		}
		leaving, pause := t.Intake.Closed(now, e.ID)
		if leaving {
			r.explain(e, "Leaving", 0, Choice{})
			continue
		}
		if pause > 0 {
			shortestPause = min(shortestPause, pause)
			r.explain(e, "Paused", 0, Choice{})
			continue
		}
		if !s.cold.Allows(now, r.Gateways) {
			coldLimited = true
			r.explain(e, "Cold", 0, Choice{})
			continue
		}
		if contains(r.Reserved, e.ID) {
			memoryLimited = true
			r.explain(e, "NoMemory", 0, Choice{})
			continue
		}
		if missing := t.missingRoom(now, r, e.ID, s); missing > 0 {
			memoryLimited = true
			if !s.suspect && (closest == "" || missing < least) {
				closest, least = e.ID, missing
			}
			continue
		}
		if s.suspect {
			probeAt := s.suspectAt.Add(s.suspectPause)
			if s.probing || now.Before(probeAt) {
				timeToProbe = min(timeToProbe, max(0, probeAt.Sub(now)))
				r.explain(e, "Suspect", 0, Choice{})
				continue
			}
		}
		cost, choice := t.cost(now, r, e, s, prefix, meanErrorShare)
		if r.MayBegin != nil && !r.MayBegin(e, choice.FirstToken) {
			oldWeights = true
			r.explain(e, "OldWeights", cost, choice)
			continue
		}
		r.explain(e, "", cost, choice)
		t.considered = append(t.considered, candidate{choice: choice, cost: cost})
	}
	considered := len(t.considered)
	best := t.cheapestAdmitted(now, r)
	best.Considered, best.NotAdmitted = considered, len(r.notAdmitted)
	if best.Endpoint == nil && unsampled {
		all := *r
		all.considerAll = true
		return t.choose(now, &all, candidates)
	}
	switch {
	case best.Endpoint != nil && r.Remaining > 0 && best.Wait > r.Remaining:
		return Choice{Considered: considered}, &Refusal{Reason: TooLate, RetryAfter: t.spread(best.Wait / 2)}
	case best.Endpoint != nil:
		return best, nil
	case memoryLimited:
		return best, &Refusal{Reason: NoMemory, RetryAfter: t.spread(minMemoryWait), Closest: closest}
	case len(r.notAdmitted) > 0:
		return best, &Refusal{Reason: RateLimited, Wait: r.rateWait, RetryAfter: t.spread(max(minRateWait, r.rateWait))}
	case shortestPause < noPause:
		return best, &Refusal{Reason: Paused, RetryAfter: t.spread(shortestPause)}
	case oldWeights:
		return best, &Refusal{Reason: OldWeights, RetryAfter: t.spread(oldWeightsWait)}
	case coldLimited:
		return best, &Refusal{Reason: AllCold, RetryAfter: t.spread(300 * time.Millisecond)}
	}
	return best, &Refusal{Reason: NoEndpoint, RetryAfter: t.spread(max(200*time.Millisecond, timeToProbe))}
}

// Spread returns a random time between d and twice d, so that callers that are refused at the same time do not return together.
func (t *Table) Spread(d time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.spread(d)
}

// spread returns a random time between d and twice d, so that refused callers do not retry at the same time.
func (t *Table) spread(d time.Duration) time.Duration {
	return d + time.Duration(t.Random()*float64(d))
}

func (t *Table) meanErrorShare(candidates []*site.Endpoint) float64 {
	if len(candidates) == 0 {
		return 0
	}
	sum := 0.0
	for _, e := range candidates {
		sum += t.endpointState(e).errorShare
	}
	return sum / float64(len(candidates))
}

// cost returns the expected time to first token at an endpoint plus penalties.
func (t *Table) cost(now time.Time, r *Request, e *site.Endpoint, s *endpointState, x cachedPrefix, meanErrorShare float64) (time.Duration, Choice) {
	tokensPerSecond := t.prefillRate(r.Service).tokensPerSecond
	reason := x.reason
	prefillTokens := r.Tokens - r.Shared + x.uncachedTokens
	peers, known := t.peerTotals(now, e.ID)
	over := s.errorShare - 1.5*meanErrorShare - 0.1
	slowness := 1.0
	if r.uneven {
		slowness = s.report.Slowness(now)
		tokensPerSecond /= slowness
	}
	wait := time.Duration((s.pending + float64(peers.Pending)) / tokensPerSecond * float64(time.Second))
	prefill := time.Duration(float64(prefillTokens) / tokensPerSecond * float64(time.Second))
	cost := wait + prefill + time.Duration((1-x.cachedShare)*float64(x.fetchTime))
	firstToken := cost
	if r.Replaced != nil && r.Replaced(e) {
		cost += prefill
	}
	perRequest := plainRequestCost
	if r.Tokens > 0 {
		perRequest = engineRequestCost
	}
	inFlight := s.inFlight + peers.InFlight
	if !known {
		inFlight = s.estimatedInFlight(now)
	}
	cost += perRequest * time.Duration(inFlight)
	if r.uneven && r.Plain {
		wait, cost = t.unevenCost(now, r, e, s, peers, over > 0)
	}
	if e.FailureDomain != r.Domain {
		cost += remoteCost
	}
	if over > 0 {
		cost += time.Duration(over * float64(errorCost))
	}
	if now.Before(s.fullUntil) {
		cost += fullCost
	}
	if x.reason != Home && x.reason != Holder && t.Intake.Scarce(now, e.ID, r.Gateways) {
		cost += scarceCost
	}
	if s.suspect {
		reason = Probe
		if t.Random() > probeShare {
			cost += suspectCost
		}
	}
	// The random term spreads requests over endpoints of equal cost.
	cost += time.Duration(t.Random() * float64(time.Millisecond))
	choice := Choice{Endpoint: e, Reason: reason, Wait: wait, PrefillTokens: prefillTokens, FirstToken: firstToken, Stored: x.stored}
	if ago, ok := s.report.StatesSlowness(now); ok {
		choice.Slowness, choice.SlownessAgo = slowness, ago
	}
	return cost, choice
}

// estimatedInFlight estimates the number of requests at an endpoint without reports of other gateways. The weight of the endpoint's
// last load report falls linearly with its age; the estimate is never below the number of requests that this gateway has there.
// Waiting requests count twice.
func (s *endpointState) estimatedInFlight(now time.Time) int {
	age := now.Sub(s.reportedAt)
	if s.reportedAt.IsZero() || age > maxLoadReportAge {
		return s.inFlight
	}
	weight := 1 - float64(age)/float64(maxLoadReportAge)
	return max(s.inFlight, int(weight*float64(s.running+2*s.waiting)))
}

func contains(ids []string, id string) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
