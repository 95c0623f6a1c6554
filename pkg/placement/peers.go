package placement

import (
	"cmp"
	"slices"
	"time"
)

// Load is what one process has under way at an endpoint.
type Load struct {
	Endpoint string
	// InFlight is the number of requests, Pending the number of their prompt tokens that probably have not been read.
	InFlight int
	Pending  int
	// Cold is how much longer the endpoint is cold, by what it told this process itself.
	Cold time.Duration
}

// peerAge is the age at which the word of another process counts for nothing.
const peerAge = time.Second

// peerLoads is the word of another process.
type peerLoads struct {
	at    time.Time
	loads map[string]Load
}

// Loads returns what this process has under way and which endpoints told it that they are cold: those first, then the ones with
// most under way, at most limit.
func (t *Table) Loads(now time.Time, limit int) (list []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.states {
		cold := max(0, s.toldCold.Sub(now))
		if s.inFlight > 0 || s.pending > 0 || cold > 0 {
			list = append(list, Load{Endpoint: id, InFlight: s.inFlight, Pending: int(s.pending), Cold: cold})
		}
	}
	slices.SortFunc(list, func(a, b Load) int {
		return cmp.Or(cmp.Compare(min(1, b.Cold), min(1, a.Cold)),
			cmp.Compare(b.Pending, a.Pending), cmp.Compare(b.InFlight, a.InFlight), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return list[:min(limit, len(list))]
}

// PeerLoads replaces what is known of another process.
func (t *Table) PeerLoads(now time.Time, peer string, loads []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	byEndpoint := make(map[string]Load, len(loads))
	for _, l := range loads {
		byEndpoint[l.Endpoint] = l
	}
	t.peers[peer] = peerLoads{at: now, loads: byEndpoint}
	for _, l := range loads {
		// A process that is cut off from the platform's store learns of cold endpoints in this way only.
		if s := t.states[l.Endpoint]; s != nil && l.Cold > 0 {
			s.cold.Cold(now, l.Cold)
		}
	}
	for name, p := range t.peers {
		if now.Sub(p.at) > 10*peerAge {
			delete(t.peers, name)
		}
	}
}

// others returns what the other processes have under way at an endpoint. The caller holds mu.
func (t *Table) others(now time.Time, endpoint string) (inFlight int, pending float64, known bool) {
	for _, p := range t.peers {
		if now.Sub(p.at) > peerAge {
			continue
		}
		known = true
		l := p.loads[endpoint]
		inFlight += l.InFlight
		pending += float64(l.Pending)
	}
	return inFlight, pending, known
}
