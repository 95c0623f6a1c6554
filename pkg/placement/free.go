package placement

import (
	"time"

	"primrosecourse/pkg/site"
)

// HasFreePlace reports whether an endpoint can probably begin one more request at once: it is not suspect and has not refused a request
// recently, and by the accounts of all gateways and its own last statement fewer requests are there than it has slots. An endpoint that has
// not stated its slots has a free place unless it stated that requests wait there.
func (t *Table) HasFreePlace(now time.Time, e *site.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[e.ID]
	if s == nil {
		return true
	}
	if s.suspect || now.Before(s.fullUntil) || (s.waiting > 0 && now.Sub(s.reportedAt) < maxLoadReportAge) {
		return false
	}
	peers, _ := t.peerTotals(now, e.ID)
	return s.report.Slots() == 0 || max(s.inFlight+peers.InFlight, s.estimatedInFlight(now)) < s.report.Slots()
}
