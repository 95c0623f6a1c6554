package routing

import (
	"sync"
	"time"

	"primrosecourse/pkg/wire"
)

// Observation is what an entry has recorded of the load of an endpoint.
type Observation struct {
	Load wire.LoadState
	// At is when the last report arrived; it is zero if there was none.
	At time.Time
	// Unreported counts the requests sent since the report, UnreportedTokens their prompt tokens.
	Unreported       int
	UnreportedTokens int
}

// Loads holds the last observation of each endpoint.
type Loads struct {
	mu     sync.Mutex
	byName map[string]Observation
}

// NewLoads returns an empty table.
func NewLoads() *Loads { return &Loads{byName: make(map[string]Observation)} }

// Report records a load state that arrived at the given time.
func (l *Loads) Report(endpoint string, load wire.LoadState, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byName[endpoint] = Observation{Load: load, At: now}
}

// Down records that the endpoint does not answer. The next report replaces the record.
func (l *Loads) Down(endpoint string, now time.Time) {
	l.Report(endpoint, wire.LoadState{State: wire.StateDown}, now)
}

// Sent records that a request with the given number of prompt tokens was sent, so that the requests sent before the next report do
// not all go to the same endpoint.
func (l *Loads) Sent(endpoint string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.byName[endpoint]
	o.Unreported++
	o.UnreportedTokens += tokens
	l.byName[endpoint] = o
}

// Get returns the observation of an endpoint.
func (l *Loads) Get(endpoint string) Observation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byName[endpoint]
}

// Retain drops the endpoints for which keep returns false. It is called after a change of the configuration.
func (l *Loads) Retain(keep func(endpoint string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.byName {
		if !keep(name) {
			delete(l.byName, name)
		}
	}
}
