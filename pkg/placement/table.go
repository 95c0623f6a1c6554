package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"primrosecourse/pkg/intake"
	"primrosecourse/pkg/loadreport"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/warmup"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Outcome,Reason -linecomment -output=enum_string.go

// Outcome is how an attempt at an endpoint ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered means that the endpoint sent a complete response that does not count as Failed.
	Answered Outcome = iota
	// Failed means that the status of the endpoint's response counts as a failure of the endpoint, such as a server error.
	Failed // Erred
	// Full means that the endpoint refused the request without running it, or that no connection to it was free.
	Full
	// Misdirected means that the address belongs to another endpoint, or that the endpoint does not have the weight version that the
	// request was meant for.
	Misdirected
	// Unreachable means that no connection could be made.
	Unreachable
	// Broken means that the connection broke during the request, or that the response is invalid: it has a content encoding, lacks the
	// endpoint's seal, or contains an event that is too long.
	Broken
	// Late means that the deadline of the request passed before the response was complete.
	Late
	// Abandoned means that the caller disconnected.
	Abandoned
	// Silent means that the endpoint stopped sending and did not answer a question for a sign of life. The table has recorded that
	// by Table.Silent.
	Silent
)

const (
	// minSuspectPause is how long an endpoint is not used after it has become suspect, maxSuspectPause the upper bound of this
	// time, which doubles with each further failure. Servers return a few seconds after a crash.
	minSuspectPause = 400 * time.Millisecond
	maxSuspectPause = 3 * time.Second
	// minFullPause is how long an endpoint is avoided after the outcome Full if there are others. Until a request is answered, the time
	// doubles with each further such outcome after the pause, up to maxFullPause: an endpoint that loads weights refuses requests for
	// about a second.
	minFullPause = 150 * time.Millisecond
	maxFullPause = 1200 * time.Millisecond
	// brokenLimit is the number of outcomes Broken or Late in a row after which an endpoint is suspect. A single one may be due to
	// the network path or to one request.
	brokenLimit = 2
	// maxLoadReportAge is the age from which the load that an endpoint reported is ignored.
	maxLoadReportAge = 2 * time.Second
	// errorShareWeight is the weight of one response in the moving average of the share of failed responses.
	errorShareWeight = 1.0 / 16
)

// endpointState is the record of one endpoint.
type endpointState struct {
	startedAt time.Time
	inFlight  int
	// pending is the number of prompt tokens that this gateway has in flight and that the endpoint probably has not prefilled yet.
	pending float64
	// held is the number of prompt tokens of the requests that this gateway has in flight there, prefilled or not.
	held int

	// running and waiting are the load that the endpoint stated at reportedAt. report has all of the statement; it is used only for services
	// whose endpoints state how slow they are.
	running, waiting int
	reportedAt       time.Time
	report           loadreport.Report

	// brokenInRow counts the outcomes Broken and Late in a row. Answered, Failed and Full reset it.
	brokenInRow  int
	suspect      bool
	suspectAt    time.Time
	suspectPause time.Duration
	probing      bool
	fullUntil    time.Time
	fullPause    time.Duration
	errorShare   float64
	cold         warmup.Rate
	// coldUntil is the end of the cold phase by the endpoint's own statement, which is reported to other gateways.
	coldUntil time.Time
	cache     cacheReport
	// cacheReturned is when GroupCaches last returned the cache of the endpoint.
	cacheReturned time.Time
	// ownHeardAt is when the endpoint last sent anything to this gateway, heardAt the same or, as reported, to any gateway. silentUntil is how long an
	// endpoint that was found silent by this gateway is reported to the others; accusedAt is when another gateway last reported that.
	ownHeardAt  time.Time
	heardAt     time.Time
	silentUntil time.Time
	accusedAt   time.Time
}

// Table records the state of endpoints.
type Table struct {
	mu     sync.Mutex
	states map[string]*endpointState
	// prefillRates holds the prefill rate of the engines of each service.
	prefillRates map[string]*prefillRate
	// serviceTimes holds how long requests run at services without engines whose endpoints state how slow they are.
	serviceTimes map[string]*serviceTime
	// slownessStated is set once any endpoint has stated how slow it is. Until then a choice need not look for such endpoints.
	slownessStated bool
	// peers holds the last load report of each other gateway.
	peers map[string]peerLoads
	// urgent holds the endpoints whose load is to be reported to other gateways at once. urgentSignal receives a value when an endpoint
	// is marked, unless an earlier value has not been read yet.
	urgent       map[string]bool
	urgentSignal chan struct{}
	// heard is when anything was last received, from whatever endpoint or gateway; previouslyHeard is the same without the endpoint
	// heardEndpoint, which heard stands for.
	heard, previouslyHeard time.Time
	heardEndpoint          string
	// considered holds the candidates of the current choice.
	considered []candidate
	// Intake is what endpoints state about the requests that they take. It must be set before the first call. Default: no statements.
	Intake *intake.Table
	// Random returns a number in [0, 1). It defaults to math/rand/v2 and must be set before the first call.
	Random func() float64
}

// New returns an empty table.
func New() *Table {
	return &Table{states: map[string]*endpointState{}, prefillRates: map[string]*prefillRate{},
		serviceTimes: map[string]*serviceTime{}, peers: map[string]peerLoads{}, urgent: map[string]bool{}, urgentSignal: make(chan struct{}, 1), Intake: intake.New(), Random: rand.Float64}
}

func (t *Table) endpointState(e *site.Endpoint) *endpointState {
	s := t.states[e.ID]
	if s == nil {
		s = &endpointState{startedAt: e.StartedAt}
		t.states[e.ID] = s
	}
	return s
}

// isOther reports whether e is the entry of another incarnation. One that states no start can't be told from others.
func (s *endpointState) isOther(e *site.Endpoint) bool {
	recorded := site.Endpoint{StartedAt: s.startedAt}
	return recorded.StatesStart() && e.StatesStart() && !s.startedAt.Equal(e.StartedAt)
}

// SetEndpoints records the listed endpoints of a service. An endpoint with a new start time is treated as a new one that took over the ID:
// only the counts of requests and tokens in flight stay.
func (t *Table) SetEndpoints(now time.Time, service *site.Service, endpoints []*site.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range endpoints {
		t.Intake.Started(e.ID, e.StartedAt)
		s := t.endpointState(e)
		if !s.startedAt.Equal(e.StartedAt) {
			*s = endpointState{startedAt: e.StartedAt, inFlight: s.inFlight, pending: s.pending, held: s.held}
		}
		if service != nil {
			s.cold.PerSecond = service.ColdRate
		}
		if e.ColdRemaining > 0 {
			s.setCold(now, e.ColdRemaining, t.Random())
		}
	}
}

// Retain drops the endpoints that have no requests in flight and for which keep returns false.
func (t *Table) Retain(keep func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.states {
		if s.inFlight == 0 && !keep(id) {
			delete(t.states, id)
		}
	}
	t.Intake.Retain(keep)
}

// Cold records that an endpoint stated that it is cold for the remaining time.
func (t *Table) Cold(now time.Time, e *site.Endpoint, remaining time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endpointState(e).setCold(now, remaining, t.Random())
}

// IsCold reports whether the endpoint is cold by its last statement.
func (t *Table) IsCold(now time.Time, e *site.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[e.ID]
	return s != nil && s.coldUntil.After(now)
}

// setCold records a statement of the endpoint. phase is a random number, see warmup.Rate.
func (s *endpointState) setCold(now time.Time, remaining time.Duration, phase float64) {
	s.cold.Cold(now, remaining, phase)
	if until := now.Add(remaining); until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

// Report records the load that an endpoint stated in a response.
func (t *Table) Report(now time.Time, e *site.Endpoint, stated loadreport.Statement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpointState(e)
	s.running, s.waiting, s.reportedAt = stated.Running, stated.Waiting, now
	s.report.Observe(now, stated, s.inFlight)
	t.slownessStated = t.slownessStated || stated.Slowness > 0
}

// Sent records that a request is sent to an endpoint; prefillTokens is the number of prompt tokens that the endpoint probably must
// prefill.
func (t *Table) Sent(now time.Time, e *site.Endpoint, r *Request, prefillTokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpointState(e)
	t.noteSent(now, e, r, s)
	s.inFlight++
	s.pending += float64(prefillTokens)
	s.held += r.Tokens
	t.markUrgent(e.ID, r.Tokens)
	s.cold.Sent(now, r.Gateways)
	t.Intake.Sent(now, e.ID)
	if s.suspect && !s.isOther(e) {
		s.probing = true
	}
}

// Prefilled records that an endpoint has prefilled a prompt. prefillTokens is the number of tokens that was given to Sent, took the time
// since the request was sent.
func (t *Table) Prefilled(e *site.Endpoint, prefillTokens int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpointState(e)
	s.pending = max(0, s.pending-float64(prefillTokens))
	t.markUrgent(e.ID, prefillTokens)
	t.prefillRate(e.Service).observe(prefillTokens, took)
}

// Ended records the end of an attempt. r is the request that was given to Sent, prefillTokens is the number of tokens that was given to Sent, or 0 if Prefilled has been called for
// the attempt. suspect reports whether the endpoint has just become suspect, trusted whether it has just stopped being suspect. If another
// incarnation than e has been listed since, the outcome tells nothing about that one.
func (t *Table) Ended(now time.Time, e *site.Endpoint, r *Request, prefillTokens int, o Outcome) (suspect, trusted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpointState(e)
	s.inFlight = max(0, s.inFlight-1)
	s.pending = max(0, s.pending-float64(prefillTokens))
	s.held = max(0, s.held-r.Tokens)
	t.markUrgent(e.ID, r.Tokens)
	if s.isOther(e) {
		return false, false
	}
	s.probing = false
	switch o {
	case Answered:
		t.noteAnswered(now, e, r, s)
		s.errorShare -= s.errorShare * errorShareWeight
		s.fullPause = 0
		return false, s.markTrusted()
	case Failed:
		s.errorShare += (1 - s.errorShare) * errorShareWeight
		return false, s.markTrusted()
	case Full:
		if !now.Before(s.fullUntil) { // A refusal during the pause does not prolong it, so that refusals of requests sent at the same time count once.
			s.fullPause = min(maxFullPause, max(minFullPause, 2*s.fullPause))
			s.fullUntil = now.Add(s.fullPause)
		}
		return false, s.markTrusted()
	case Misdirected, Unreachable:
		return s.markSuspect(now), false
	case Broken, Late:
		s.brokenInRow++
		if s.brokenInRow >= brokenLimit || s.suspect {
			return s.markSuspect(now), false
		}
	}
	return false, false
}

// markTrusted ends the suspect state and resets brokenInRow and the back-off time. It does not change errorShare.
func (s *endpointState) markTrusted() (changed bool) {
	changed = s.suspect
	s.brokenInRow, s.suspect, s.suspectPause = 0, false, 0
	return changed
}

func (s *endpointState) markSuspect(now time.Time) (changed bool) {
	changed = !s.suspect
	s.suspect = true
	s.suspectPause = min(maxSuspectPause, max(minSuspectPause, 2*s.suspectPause))
	s.suspectAt = now
	return changed
}

// PrefillRate returns the estimated rate at which one engine of a service prefills prompts, in tokens per second.
func (t *Table) PrefillRate(service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.prefillRate(service).tokensPerSecond
}

// prefillRate is the estimated rate at which one engine of a service prefills prompts.
type prefillRate struct {
	tokensPerSecond float64
}

const (
	// defaultPrefillRate is the rate in tokens per second that is assumed until long prompts have been prefilled.
	defaultPrefillRate = 30000
	// minObservedTokens is the prompt length from which the prefill time is a usable sample of the rate.
	minObservedTokens = 2000
)

func (t *Table) prefillRate(service string) *prefillRate {
	r := t.prefillRates[service]
	if r == nil {
		r = &prefillRate{tokensPerSecond: defaultPrefillRate}
		t.prefillRates[service] = r
	}
	return r
}

// observe updates the rate from one prompt. Samples above the current rate get a larger weight, since many prompts wait behind others
// and give a rate that is too low.
func (r *prefillRate) observe(tokens int, took time.Duration) {
	if tokens < minObservedTokens || took <= 0 {
		return
	}
	observed := float64(tokens) / took.Seconds()
	weight := 0.02
	if observed > r.tokensPerSecond {
		weight = 0.2
	}
	r.tokensPerSecond += (min(observed, 10*defaultPrefillRate) - r.tokensPerSecond) * weight
}
