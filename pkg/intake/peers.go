package intake

import (
	"cmp"
	"slices"
	"time"
)

// Report is what a process, or a group of processes, knows of an endpoint that has stated a rate.
type Report struct {
	Endpoint string
	// Sent and Wanted are the decaying counts of requests that were sent there and that were to be sent.
	Sent, Wanted float64
	// Rate is the rate that the endpoint stated to a reporting process, negative if it stated none to any, and Ago how long ago it did.
	Rate float64
	Ago  time.Duration
	// Leaving is set if the endpoint stated to a reporting process that it leaves.
	Leaving bool
}

const (
	// maxSilence is the time since its last message from which a process counts as one that reports nothing.
	maxSilence = 1500 * time.Millisecond
	// maxReportAge is the age from which a report of one endpoint is ignored. A process that has more to report than fits into one message
	// reports each endpoint in every few messages.
	maxReportAge = 3 * time.Second
)

// peer is what another process, or a group of processes, reported.
type peer struct {
	// processes is the number of processes that the reports cover.
	processes int
	heardAt   time.Time
	reports   map[string]receivedReport
}

type receivedReport struct {
	Report
	at time.Time
}

// SetPeer records a message of another process or group of processes, which covers the given number of processes. It may have reports of
// some endpoints only, or none.
func (t *Table) SetPeer(now time.Time, name string, processes int, reports []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[name]
	if p == nil {
		p = &peer{reports: map[string]receivedReport{}}
		t.peers[name] = p
	}
	p.processes, p.heardAt = processes, now
	for _, r := range reports {
		p.reports[r.Endpoint] = receivedReport{Report: r, at: now}
	}
	for id, r := range p.reports {
		if now.Sub(r.at) > maxReportAge {
			delete(p.reports, id)
		}
	}
	for name, p := range t.peers {
		if now.Sub(p.heardAt) > 10*maxSilence {
			delete(t.peers, name)
		}
	}
}

// peerUsage returns what the other processes sent and wanted to send, and how many processes told. The caller must hold mu.
func (t *Table) peerUsage(now time.Time, id string) (sum usage, processes int) {
	for _, p := range t.peers {
		if now.Sub(p.heardAt) > maxSilence {
			continue
		}
		processes += p.processes
		if r, ok := p.reports[id]; ok && now.Sub(r.at) <= maxReportAge {
			sum.sent += r.Sent
			sum.wanted += r.Wanted
		}
	}
	return sum, processes
}

// rate returns the rate that applies at an endpoint: that of its latest statement to this process or, if another process heard from it
// later than this one, to that process. The caller must hold mu.
func (t *Table) rate(now time.Time, id string, s *endpointState) (rate float64, limited bool) {
	rate, _ = t.latestRate(now, id, s)
	return rate, rate >= 0
}

// latestRate returns the rate that applies at an endpoint, negative for none, and when it was stated.
func (t *Table) latestRate(now time.Time, id string, s *endpointState) (rate float64, statedAt time.Time) {
	rate, statedAt = s.rate, s.statedAt
	heardAt := s.heardAt
	for _, p := range t.peers {
		r, ok := p.reports[id]
		if !ok || r.Rate < 0 || now.Sub(r.at) > maxReportAge {
			continue
		}
		if at := r.at.Add(-r.Ago); at.After(heardAt) {
			rate, statedAt, heardAt = r.Rate, at, at
		}
	}
	return rate, statedAt
}

// leavesByPeers reports whether another process was told that an endpoint leaves. The caller must hold mu.
func (t *Table) leavesByPeers(now time.Time, id string) bool {
	for _, p := range t.peers {
		if r, ok := p.reports[id]; ok && r.Leaving && now.Sub(r.at) <= maxReportAge {
			return true
		}
	}
	return false
}

// Reports returns the reports of this process and of the named others together, for at most limit endpoints that have stated a rate or leave, first
// those that were returned longest ago, and the number of processes that they cover.
func (t *Table) Reports(now time.Time, limit int, peers map[string]bool) (list []Report, processes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	processes = 1
	for name := range peers {
		if p := t.peers[name]; p != nil && now.Sub(p.heardAt) <= maxSilence {
			processes += p.processes
		}
	}
	var ids []string
	for id, s := range t.states {
		if _, limited := t.rate(now, id, s); limited || s.leaving {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(t.states[a].reportedAt.Compare(t.states[b].reportedAt), cmp.Compare(a, b))
	})
	for _, id := range ids[:min(limit, len(ids))] {
		t.states[id].reportedAt = now
		list = append(list, t.report(now, id, peers))
	}
	return list, processes
}

// report returns the report of one endpoint by this process and the named others together. The caller must hold mu.
func (t *Table) report(now time.Time, id string, peers map[string]bool) Report {
	s := t.states[id]
	sum := Report{Endpoint: id, Sent: s.sent.current(now, sentTime), Wanted: s.wanted.current(now, wantedTime), Rate: s.rate, Ago: now.Sub(s.statedAt), Leaving: s.leaving}
	for name := range peers {
		p := t.peers[name]
		if p == nil || now.Sub(p.heardAt) > maxSilence {
			continue
		}
		r, ok := p.reports[id]
		if !ok || now.Sub(r.at) > maxReportAge {
			continue
		}
		sum.Sent += r.Sent
		sum.Wanted += r.Wanted
		sum.Leaving = sum.Leaving || r.Leaving
		if ago := r.Ago + now.Sub(r.at); r.Rate >= 0 && (sum.Rate < 0 || ago < sum.Ago) {
			sum.Rate, sum.Ago = r.Rate, ago
		}
	}
	return sum
}
