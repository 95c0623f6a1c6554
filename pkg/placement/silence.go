package placement

import (
	"time"

	"primrosecourse/pkg/site"
)

const (
	// silenceReportTime is how long a gateway reports to the others that it found an endpoint silent. It covers several messages.
	silenceReportTime = 500 * time.Millisecond
	// accusationTime is how long the report of another gateway makes an endpoint doubtful.
	accusationTime = time.Second
	// recentSign is how recently this gateway must have heard from an endpoint to ignore the report of another gateway that it is
	// silent: the path between those two may be cut.
	recentSign = 200 * time.Millisecond
)

// Heard records that an endpoint sent something to this gateway.
func (t *Table) Heard(now time.Time, e *site.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpointState(e)
	s.ownHeardAt = now
	s.hear(now)
	t.hearFrom(now, e.ID)
}

func (s *endpointState) hear(at time.Time) {
	if at.After(s.heardAt) {
		s.heardAt = at
	}
}

// hearFrom records a sign of life from an endpoint, or from another gateway if id is empty. The caller must hold mu.
func (t *Table) hearFrom(now time.Time, id string) {
	if id != t.heardEndpoint {
		t.previouslyHeard = t.heard
	}
	if now.After(t.heard) {
		t.heard, t.heardEndpoint = now, id
	}
}

// LastHeard returns when an endpoint last sent anything to any gateway, as far as known, when anything else was last received, and
// whether another gateway reported recently that the endpoint is silent. The times are zero if there was nothing.
func (t *Table) LastHeard(now time.Time, e *site.Endpoint) (endpoint, others time.Time, accused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpointState(e)
	others = t.heard
	if t.heardEndpoint == e.ID {
		others = t.previouslyHeard
	}
	return s.heardAt, others, !s.accusedAt.IsZero() && now.Sub(s.accusedAt) < accusationTime && s.accusedAt.After(s.heardAt)
}

// Silent records that an endpoint stopped sending and did not answer a question for a sign of life. The endpoint becomes suspect, and
// the other gateways are told at once, unless another incarnation than e has been listed since. It reports whether the endpoint has just
// become suspect.
func (t *Table) Silent(now time.Time, e *site.Endpoint) (suspect bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpointState(e)
	if s.isOther(e) {
		return false
	}
	s.silentUntil = now.Add(silenceReportTime)
	t.signalUrgent(e.ID)
	return s.markSuspect(now)
}

// applyPeerSigns records what another gateway reports about signs of life of endpoints. The caller must hold mu.
func (t *Table) applyPeerSigns(now time.Time, loads []Load) {
	t.hearFrom(now, "")
	for _, l := range loads {
		s := t.states[l.Endpoint]
		switch {
		case s == nil:
		case l.Silent && now.Sub(s.heardAt) >= recentSign:
			s.accusedAt = now
			if !s.suspect {
				s.markSuspect(now)
			}
		case !l.Silent && l.HeardAgo > 0:
			s.hear(now.Add(-l.HeardAgo))
		}
	}
}
