package entry

import (
	"sync"
	"time"

	"primrosecourse/internal/connection/peer"
	"primrosecourse/pkg/quarantine"
	"primrosecourse/pkg/wire"
)

// crashMarks records the fingerprints of the requests that were running when endpoints crashed. Marks that agents and peers
// send are also published to the peers if they add an endpoint. It is safe for concurrent use.
type crashMarks struct {
	relay *peer.Relay

	mu    sync.Mutex
	marks *quarantine.Table
}

func newCrashMarks(relay *peer.Relay) *crashMarks {
	return &crashMarks{relay: relay, marks: quarantine.New(quarantine.Settings{})}
}

func (m *crashMarks) setQuarantineTime(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.marks.SetMarkLifetime(d)
}

// Add merges a mark that an agent or a peer sent, and publishes it to the peers if it adds an endpoint to the known marks.
func (m *crashMarks) Add(mark wire.Mark, now time.Time) {
	m.mu.Lock()
	added := m.marks.Merge(now, quarantine.Mark{Fingerprint: mark.Fingerprint, Endpoints: mark.Endpoints,
		Expires: now.Add(mark.Remaining)})
	m.mu.Unlock()
	if added {
		m.relay.Publish(mark)
	}
}

// Crashed records a crash that this entry observed. It does not publish the mark, since the agent of the endpoint does so.
func (m *crashMarks) Crashed(fingerprint uint64, endpoint string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.marks.Crashed(now, fingerprint, endpoint)
}

// Finished records that a request ran to completion, which removes its mark unless it is quarantined.
func (m *crashMarks) Finished(fingerprint uint64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.marks.Finished(now, fingerprint)
}

// Quarantined returns the time until the mark of a fingerprint expires, 0 without a mark, and whether requests with the
// fingerprint are refused.
func (m *crashMarks) Quarantined(fingerprint uint64, now time.Time) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.marks.Remaining(now, fingerprint), m.marks.State(now, fingerprint) == quarantine.Quarantined
}

// Find returns the mark of a fingerprint, to be sent to an agent that may not have it yet.
func (m *crashMarks) Find(fingerprint uint64, now time.Time) (mark wire.Mark, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.marks.State(now, fingerprint) == quarantine.Clear {
		return mark, false
	}
	for _, known := range m.marks.Marks(now) {
		if known.Fingerprint == fingerprint {
			return wire.Mark{Fingerprint: fingerprint, Endpoints: known.Endpoints, Remaining: known.Expires.Sub(now)}, true
		}
	}
	return mark, false
}
