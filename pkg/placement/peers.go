package placement

import "time"

// Load is the load that one gateway causes at an endpoint.
type Load struct {
	Endpoint string
	// InFlight is the number of requests in flight, Pending the number of their prompt tokens that probably are not prefilled yet.
	InFlight int
	Pending  int
	// Held is the number of prompt tokens of the requests in flight, prefilled or not.
	Held int
	// Cold is how much longer the endpoint is cold by its own statement, not by the reports of other gateways.
	Cold time.Duration
	// HeardAgo is how long ago the endpoint last sent anything to this gateway, 0 if that is not known.
	HeardAgo time.Duration
	// Slowness is how slow the endpoint last stated to this gateway to be, in percent of the usual time, and SlownessAgo how long ago that was.
	// Slowness is 0 if it did not within maxPeerLoadAge.
	Slowness    int
	SlownessAgo time.Duration
	// Silent is set if this gateway has just found the endpoint silent.
	Silent bool
}

// maxPeerLoadAge is the age from which the load report of another gateway is ignored.
const maxPeerLoadAge = time.Second

// peerLoads is the last load report of another gateway.
type peerLoads struct {
	receivedAt time.Time
	loads      map[string]Load
}

// urgentTokens is the number of uncached tokens from which the start or end of a prefill, and the number of prompt tokens from which the
// start or end of a request, is reported to other gateways at once. A prompt of this length occupies an engine for about as long as the
// shortest time between two reports of all loads.
const urgentTokens = 2048

// markUrgent marks the load of an endpoint as urgent if it changed by at least urgentTokens uncached tokens. The caller must hold mu.
func (t *Table) markUrgent(endpoint string, tokens int) {
	if tokens < urgentTokens {
		return
	}
	t.signalUrgent(endpoint)
}

// signalUrgent marks the load of an endpoint as urgent. The caller must hold mu.
func (t *Table) signalUrgent(endpoint string) {
	t.urgent[endpoint] = true
	select {
	case t.urgentSignal <- struct{}{}:
	default:
	}
}

// Urgent returns a channel that receives a value when a load is marked as urgent; the receiver is to call UrgentLoads. Loads that are
// marked before the value is read share it.
func (t *Table) Urgent() <-chan struct{} { return t.urgentSignal }

// UrgentLoads returns the loads of this gateway at the endpoints that were marked as urgent since the last call.
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

func (s *endpointState) load(now time.Time, id string) Load {
	l := Load{Endpoint: id, InFlight: s.inFlight, Pending: int(s.pending), Held: s.held, Cold: max(0, s.coldUntil.Sub(now)),
		Silent: now.Before(s.silentUntil)}
	if s.inFlight > 0 && !s.ownHeardAt.IsZero() { // Reports of others are not passed on: each hop would make them seem more recent.
		l.HeardAgo = max(time.Millisecond, now.Sub(s.ownHeardAt))
	}
	if percent, ago := s.report.Stated(now); percent > 0 && ago < maxPeerLoadAge {
		l.Slowness, l.SlownessAgo = percent, ago
	}
	return l
}

// Loads returns the loads of this gateway, at most limit of them: first those at endpoints that are cold by their own statement, then
// those with the most pending tokens.
func (t *Table) Loads(now time.Time, limit int) (list []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.states {
		if l := s.load(now, id); l.matters() {
			list = append(list, l)
		}
	}
	sortLoads(list)
	return list[:min(limit, len(list))]
}

// SetPeerLoads replaces the loads that another gateway reported.
func (t *Table) SetPeerLoads(now time.Time, peer string, loads []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	byEndpoint := make(map[string]Load, len(loads))
	for _, l := range loads {
		byEndpoint[l.Endpoint] = l
	}
	t.peers[peer] = peerLoads{receivedAt: now, loads: byEndpoint}
	t.applyPeerCold(now, loads)
	t.applyPeerSlowness(now, loads)
	t.applyPeerSigns(now, loads)
	for name, p := range t.peers {
		if now.Sub(p.receivedAt) > 10*maxPeerLoadAge {
			delete(t.peers, name)
		}
	}
}

// UpdatePeerLoads updates the loads of another gateway at the listed endpoints. The loads that it reported at other endpoints stay,
// unless they are older than maxPeerLoadAge.
func (t *Table) UpdatePeerLoads(now time.Time, peer string, loads []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, known := t.peers[peer]
	if !known || now.Sub(p.receivedAt) > maxPeerLoadAge {
		p = peerLoads{receivedAt: now, loads: make(map[string]Load, len(loads))}
	}
	for _, l := range loads {
		p.loads[l.Endpoint] = l
	}
	t.peers[peer] = p
	t.applyPeerCold(now, loads)
	t.applyPeerSlowness(now, loads)
	t.applyPeerSigns(now, loads)
}

// applyPeerCold marks the endpoints that another gateway reports as cold. The caller must hold mu.
func (t *Table) applyPeerCold(now time.Time, loads []Load) {
	for _, l := range loads {
		// A gateway that is cut off from the platform's store learns in this way that an endpoint is cold before it sends a request there.
		if s := t.states[l.Endpoint]; s != nil && l.Cold > 0 {
			s.cold.Cold(now, l.Cold, t.Random())
		}
	}
}

// peerTotals returns the sums of the other gateways' loads at an endpoint. known is false if there is no recent report of any other gateway,
// about whatever endpoint. The caller must hold mu.
func (t *Table) peerTotals(now time.Time, endpoint string) (sum Load, known bool) {
	for _, p := range t.peers {
		if now.Sub(p.receivedAt) > maxPeerLoadAge {
			continue
		}
		known = true
		l := p.loads[endpoint]
		sum.InFlight += l.InFlight
		sum.Pending += l.Pending
		sum.Held += l.Held
	}
	return sum, known
}

// Held returns the number of prompt tokens of the requests that all gateways have in flight at an endpoint, as far as they are known.
func (t *Table) Held(now time.Time, endpoint string) (tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[endpoint]; s != nil {
		tokens = s.held
	}
	peers, _ := t.peerTotals(now, endpoint)
	return tokens + peers.Held
}

// Wait returns the expected time until an endpoint begins to prefill another prompt, as far as the loads of all gateways are known.
func (t *Table) Wait(now time.Time, service, endpoint string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	pending := 0.0
	if s := t.states[endpoint]; s != nil {
		pending = s.pending
	}
	peers, _ := t.peerTotals(now, endpoint)
	return time.Duration((pending + float64(peers.Pending)) / t.prefillRate(service).tokensPerSecond * float64(time.Second))
}
