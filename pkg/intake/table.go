package intake

import (
	"sync"
	"time"
)

// Statement is what the header of an answer states about the requests that its endpoint takes.
type Statement struct {
	// HasRate is set if the answer states a rate, and Rate is that rate in requests per second from all processes together. It is finite
	// and not negative.
	HasRate bool
	Rate    float64
	// Invalid is set if the rate cannot be read. Such a rate changes nothing.
	Invalid bool
	// Leaving is set if the endpoint states that it shuts down and takes no new requests. This holds until it restarts.
	Leaving bool
	// Pause is the time for which the endpoint wants no requests from this process, 0 if none is stated. It counts as maxPause if it is longer.
	Pause time.Duration
}

// Change is the effect of a statement. Rates are negative if there is no limit. Left and Paused are set if the endpoint has just begun to leave or
// to pause.
type Change struct {
	Left, Paused  bool
	Before, After float64
	// Notable is set if a limit began or ended, or if the rate has changed by more than a tenth since the last notable change, which was at
	// least notableInterval ago.
	Notable bool
}

const (
	// unlimited stands for no limit.
	unlimited = -1.0
	// notableInterval is the shortest time between two notable changes of the rate of a limited endpoint.
	notableInterval = time.Second
	// maxPause is the longest pause that is kept. An endpoint that wants no requests for longer is asked again, since its state may have changed.
	maxPause = time.Minute
)

// endpointState is the record of one endpoint.
type endpointState struct {
	startedAt time.Time
	// rate is the stated rate, negative if there is none. statedAt is when the answer with the statement arrived, heardAt when the last
	// answer of any kind did.
	rate     float64
	statedAt time.Time
	heardAt  time.Time
	// notableRate and notableAt are the rate and the time of the last notable change.
	notableRate float64
	notableAt   time.Time
	// sent and wanted count the requests that this process sent and wanted to send there.
	sent, wanted count
	// leaving is set once the endpoint has stated that it leaves, and pausedUntil is the end of the latest pause.
	leaving     bool
	pausedUntil time.Time
	// reportedAt is when Reports last returned the endpoint.
	reportedAt time.Time
}

// Table records the statements of endpoints, and the requests that this process and others send to them.
type Table struct {
	mu     sync.Mutex
	states map[string]*endpointState
	peers  map[string]*peer
}

// New returns an empty table.
func New() *Table { return &Table{states: map[string]*endpointState{}, peers: map[string]*peer{}} }

func (t *Table) state(id string) *endpointState {
	s := t.states[id]
	if s == nil {
		s = &endpointState{rate: unlimited, notableRate: unlimited}
		t.states[id] = s
	}
	return s
}

// Started records when an endpoint started. What an earlier incarnation stated no longer holds.
func (t *Table) Started(id string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	if !s.startedAt.Equal(at) {
		*s = endpointState{startedAt: at, rate: unlimited, notableRate: unlimited}
	}
}

// Retain drops the endpoints for which keep returns false.
func (t *Table) Retain(keep func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.states {
		if !keep(id) {
			delete(t.states, id)
		}
	}
}

// Observe records the statement of an answer that arrived at now to a request that was sent at sentAt.
func (t *Table) Observe(now, sentAt time.Time, id string, statement Statement) (c Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.heardAt = now
	c.Left = statement.Leaving && !s.leaving
	s.leaving = s.leaving || statement.Leaving
	if until := now.Add(min(statement.Pause, maxPause)); statement.Pause > 0 && until.After(s.pausedUntil) {
		c.Paused = !now.Before(s.pausedUntil)
		s.pausedUntil = until
	}
	before, after := s.rate, unlimited
	if statement.HasRate {
		after = max(0, statement.Rate)
	}
	tighter := after >= 0 && (before < 0 || after <= before)
	if statement.Invalid || (!tighter && !sentAt.After(s.statedAt)) {
		c.Before, c.After = before, before
		return c
	}
	s.rate, s.statedAt = after, now
	c.Before, c.After, c.Notable = before, after, s.noteChange(now)
	return c
}

// Closed reports whether an endpoint takes no requests at all now: it has stated that it leaves, to this process or recently to another one, or
// wants none from this process for the remaining time.
func (t *Table) Closed(now time.Time, id string) (leaving bool, pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[id]
	if s == nil {
		return t.leavesByPeers(now, id), 0
	}
	return s.leaving || t.leavesByPeers(now, id), max(0, s.pausedUntil.Sub(now))
}

// noteChange reports whether the present rate differs notably from that of the last notable change.
func (s *endpointState) noteChange(now time.Time) bool {
	limited, was := s.rate >= 0, s.notableRate >= 0
	if limited == was {
		difference := max(s.rate, s.notableRate) - min(s.rate, s.notableRate)
		if !limited || difference <= s.notableRate/10 || now.Sub(s.notableAt) < notableInterval {
			return false
		}
	}
	s.notableRate, s.notableAt = s.rate, now
	return true
}

// Rate returns the rate that applies at an endpoint and how long ago it was stated; limited is false if the endpoint takes requests
// without a limit.
func (t *Table) Rate(now time.Time, id string) (rate float64, ago time.Duration, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rate, statedAt := t.latestRate(now, id, t.state(id))
	return rate, now.Sub(statedAt), rate >= 0
}
