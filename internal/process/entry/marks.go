package entry

import (
	"sync"
	"time"

	"primrosecourse/internal/connection/peer"
	"primrosecourse/pkg/quarantine"
	"primrosecourse/pkg/wire"
)

// marks is the table of requests that crashed endpoints. What it learns goes on to the peers.
type marks struct {
	relay *peer.Relay

	mu    sync.Mutex
	table *quarantine.Table
}

func newMarks(relay *peer.Relay) *marks {
	return &marks{relay: relay, table: quarantine.New(quarantine.Settings{})}
}

func (m *marks) setTime(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.SetTime(d)
}

// Add takes a mark from an agent or a peer.
func (m *marks) Add(mark wire.Mark, now time.Time) {
	m.mu.Lock()
	learned := m.table.Merge(now, quarantine.Mark{Fingerprint: mark.Fingerprint, Endpoints: mark.Endpoints,
		Expires: now.Add(mark.Remaining)})
	m.mu.Unlock()
	if learned {
		m.relay.Publish(mark)
	}
}

// Crashed records a crash that this entry saw. The agent beside the endpoint tells the others.
func (m *marks) Crashed(fingerprint uint64, endpoint string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Crashed(now, fingerprint, endpoint)
}

// Finished records that a request ran to its end.
func (m *marks) Finished(fingerprint uint64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Finished(now, fingerprint)
}

// Quarantined tells whether a fingerprint is refused, and for how long.
func (m *marks) Quarantined(fingerprint uint64, now time.Time) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Remaining(now, fingerprint), m.table.State(now, fingerprint) == quarantine.Quarantined
}

// Find returns the mark of a fingerprint for an agent that may not know it yet.
func (m *marks) Find(fingerprint uint64, now time.Time) (mark wire.Mark, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table.State(now, fingerprint) == quarantine.Clear {
		return mark, false
	}
	for _, known := range m.table.Marks(now) {
		if known.Fingerprint == fingerprint {
			return wire.Mark{Fingerprint: fingerprint, Endpoints: known.Endpoints, Remaining: known.Expires.Sub(now)}, true
		}
	}
	return mark, false
}
