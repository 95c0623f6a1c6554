package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"primrosecourse/pkg/site"
	"primrosecourse/pkg/warmup"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Outcome,Reason -output=enum_string.go

// Outcome tells how an attempt at an endpoint ended.
type Outcome uint8

// The outcomes.
const (
	// Answered means that the endpoint answered, with whatever status.
	Answered Outcome = iota
	// Erred means that it answered with a failure of its own.
	Erred
	// Full means that it refused for lack of room.
	Full
	// Misdirected means that another endpoint has its address.
	Misdirected
	// Unreachable means that no connection could be made.
	Unreachable
	// Broken means that the connection broke under the request.
	Broken
	// Late means that the time ran out without an answer.
	Late
	// Abandoned means that the caller left or that the request was given up for a reason that says nothing of the endpoint.
	Abandoned
)

const (
	// firstSuspicion is how long an endpoint that failed is left alone, lastSuspicion the longest such time. Servers are back
	// some seconds after a crash.
	firstSuspicion = 400 * time.Millisecond
	lastSuspicion  = 3 * time.Second
	// fullPause is how long an endpoint that refused for lack of room is left alone, if others can be had. It doubles with each
	// refusal in a row, up to longestFull: an endpoint that loads weights refuses for about a second.
	fullPause   = 150 * time.Millisecond
	longestFull = 1200 * time.Millisecond
	// brokenLimit is the number of broken connections in a row after which an endpoint is suspect. A single one may be due to
	// the path or to one request.
	brokenLimit = 2
	// reportAge is the age at which a reported load counts for nothing.
	reportAge = 2 * time.Second
	// errorWeight is the weight of one answer in the share of failures.
	errorWeight = 1.0 / 16
)

// state is what is known of one endpoint.
type state struct {
	born     time.Time
	inFlight int
	// pending is the number of prompt tokens under way that the endpoint probably has not read.
	pending float64

	running, waiting, slots int
	reported                time.Time

	failures  int
	suspect   bool
	suspectAt time.Time
	pause     time.Duration
	probing   bool
	fullUntil time.Time
	fullFor   time.Duration
	errors    float64
	cold      warmup.Rate
	// toldCold is until when the endpoint is cold by its own word, which is what other processes are told.
	toldCold time.Time
	kept     kept
}

// Table holds what is known of endpoints.
type Table struct {
	mu     sync.Mutex
	states map[string]*state
	// readRate is the number of prompt tokens that an engine reads in a second, by service.
	readRate map[string]*rate
	// peers holds the word of other processes.
	peers map[string]peerLoads
	// urgent are the endpoints of which other processes are to be told at once; urgency is readable while there are some.
	urgent  map[string]bool
	urgency chan struct{}
	// Random returns a number from 0 to 1. Default math/rand/v2. Set before the first call.
	Random func() float64
}

// New returns an empty table.
func New() *Table {
	return &Table{states: map[string]*state{}, readRate: map[string]*rate{}, peers: map[string]peerLoads{},
		urgent: map[string]bool{}, urgency: make(chan struct{}, 1), Random: rand.Float64}
}

func (t *Table) state(e *site.Endpoint) *state {
	s := t.states[e.ID]
	if s == nil {
		s = &state{born: e.Born}
		t.states[e.ID] = s
	}
	return s
}

// Learn takes the listed endpoints of a service. An endpoint that started again is another one under the same name.
func (t *Table) Learn(now time.Time, service *site.Service, endpoints []*site.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range endpoints {
		s := t.state(e)
		if !s.born.Equal(e.Born) {
			inFlight, pending := s.inFlight, s.pending
			*s = state{born: e.Born, inFlight: inFlight, pending: pending}
		}
		if service != nil {
			s.cold.PerSecond = service.ColdRate
		}
		if e.ColdRemaining > 0 {
			s.isCold(now, e.ColdRemaining)
		}
	}
}

// Keep drops the endpoints for which keep returns false and that have nothing under way.
func (t *Table) Keep(keep func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.states {
		if s.inFlight == 0 && !keep(id) {
			delete(t.states, id)
		}
	}
}

// Cold records that an endpoint said that it is cold.
func (t *Table) Cold(now time.Time, e *site.Endpoint, remaining time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(e).isCold(now, remaining)
}

func (s *state) isCold(now time.Time, remaining time.Duration) {
	s.cold.Cold(now, remaining)
	if until := now.Add(remaining); until.After(s.toldCold) {
		s.toldCold = until
	}
}

// Report records the load that an endpoint stated in an answer.
func (t *Table) Report(now time.Time, e *site.Endpoint, running, waiting, slots int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(e)
	s.running, s.waiting, s.slots, s.reported = running, waiting, slots, now
}

// Sent records that a request goes to an endpoint.
func (t *Table) Sent(now time.Time, e *site.Endpoint, a *Ask, unread int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(e)
	s.inFlight++
	s.pending += float64(unread)
	t.changed(e.ID, unread)
	s.cold.Sent(now, a.Gateways)
	if s.suspect {
		s.probing = true
	}
}

// FirstPiece records that an endpoint has read a prompt of which unread tokens were not cached, after the given time.
func (t *Table) FirstPiece(e *site.Endpoint, unread int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(e)
	s.pending = max(0, s.pending-float64(unread))
	t.changed(e.ID, unread)
	t.rate(e.Service).observe(unread, took)
}

// Ended records the end of an attempt. If the prompt had not been read, unread is what Sent added, else 0. It reports whether
// the endpoint became suspect or trusted by it.
func (t *Table) Ended(now time.Time, e *site.Endpoint, unread int, o Outcome) (suspect, trusted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(e)
	s.inFlight = max(0, s.inFlight-1)
	s.pending = max(0, s.pending-float64(unread))
	t.changed(e.ID, unread)
	s.probing = false
	switch o {
	case Answered:
		s.errors -= s.errors * errorWeight
		s.fullFor = 0
		return false, s.trust()
	case Erred:
		s.errors += (1 - s.errors) * errorWeight
		return false, s.trust()
	case Full:
		if !now.Before(s.fullUntil) { // Refusals of requests sent at the same time count once.
			s.fullFor = min(longestFull, max(fullPause, 2*s.fullFor))
			s.fullUntil = now.Add(s.fullFor)
		}
		return false, s.trust()
	case Misdirected, Unreachable:
		return s.suspectNow(now), false
	case Broken, Late:
		s.failures++
		if s.failures >= brokenLimit || s.suspect {
			return s.suspectNow(now), false
		}
	}
	return false, false
}

func (s *state) trust() (changed bool) {
	changed = s.suspect
	s.failures, s.suspect, s.pause = 0, false, 0
	return changed
}

func (s *state) suspectNow(now time.Time) (changed bool) {
	changed = !s.suspect
	s.suspect = true
	s.pause = min(lastSuspicion, max(firstSuspicion, 2*s.pause))
	s.suspectAt = now
	return changed
}

// rate is the speed at which engines read prompts.
type rate struct {
	perSecond float64
}

const (
	// defaultReadRate is assumed until prompts were read, in tokens a second.
	defaultReadRate = 30000
	// minObserved is the number of tokens from which a prompt tells of the speed.
	minObserved = 2000
)

func (t *Table) rate(service string) *rate {
	r := t.readRate[service]
	if r == nil {
		r = &rate{perSecond: defaultReadRate}
		t.readRate[service] = r
	}
	return r
}

// observe learns from a prompt. Most prompts wait for others, so that the faster ones count more.
func (r *rate) observe(tokens int, took time.Duration) {
	if tokens < minObserved || took <= 0 {
		return
	}
	seen := float64(tokens) / took.Seconds()
	weight := 0.02
	if seen > r.perSecond {
		weight = 0.2
	}
	r.perSecond += (min(seen, 10*defaultReadRate) - r.perSecond) * weight
}
