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

// urgentTokens is the number of unread tokens whose coming or going other processes are told of at once: a prompt that long takes up an
// engine for about as long as the time between two words on all loads.
const urgentTokens = 2048

// changed notes that the load of an endpoint changed by unread tokens. The caller holds mu.
func (t *Table) changed(endpoint string, unread int) {
	if unread < urgentTokens {
		return
	}
	t.urgent[endpoint] = true
	select {
	case t.urgency <- struct{}{}:
	default:
	}
}

// Urgent is readable while UrgentLoads has something new to tell.
func (t *Table) Urgent() <-chan struct{} { return t.urgency }

// UrgentLoads returns what this process has under way at the endpoints whose load changed by much since the last call.
func (t *Table) UrgentLoads(now time.Time) (list []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.urgent {
		if s := t.states[id]; s != nil {
			list = append(list, s.load(now, id))
		}
	}
	clear(t.urgent)
	return list
}

func (s *state) load(now time.Time, id string) Load {
	return Load{Endpoint: id, InFlight: s.inFlight, Pending: int(s.pending), Cold: max(0, s.toldCold.Sub(now))}
}

// Loads returns what this process has under way and which endpoints told it that they are cold: those first, then the ones with
// most under way, at most limit.
func (t *Table) Loads(now time.Time, limit int) (list []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.states {
		if l := s.load(now, id); l.InFlight > 0 || l.Pending > 0 || l.Cold > 0 {
			list = append(list, l)
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
	t.heardCold(now, loads)
	for name, p := range t.peers {
		if now.Sub(p.at) > 10*peerAge {
			delete(t.peers, name)
		}
	}
}

// PeerUrgentLoads takes the word of another process on some endpoints. What it told of others stays.
func (t *Table) PeerUrgentLoads(now time.Time, peer string, loads []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, known := t.peers[peer]
	if !known || now.Sub(p.at) > peerAge {
		p = peerLoads{at: now, loads: make(map[string]Load, len(loads))}
	}
	for _, l := range loads {
		p.loads[l.Endpoint] = l
	}
	t.peers[peer] = p
	t.heardCold(now, loads)
}

// heardCold takes the word of another process on cold endpoints. The caller holds mu.
func (t *Table) heardCold(now time.Time, loads []Load) {
	for _, l := range loads {
		// A process that is cut off from the platform's store learns of cold endpoints in this way only.
		if s := t.states[l.Endpoint]; s != nil && l.Cold > 0 {
			s.cold.Cold(now, l.Cold)
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
