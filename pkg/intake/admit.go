package intake

import (
	"time"
)

const (
	// minRate is the lowest rate that is applied. An endpoint that stated less still gets a request now and then, whose answer shows
	// whether the statement holds.
	minRate = 0.25
	// reportTime is about the time after which the other processes know of a request that was sent.
	reportTime = 300 * time.Millisecond
)

// Decision is the result of Admit.
type Decision struct {
	Admitted bool
	// Limited is set if the endpoint has stated a rate, Rate is the rate that applies, and Wanted the number of requests per second that
	// all processes together would send without it.
	Limited bool
	Rate    float64
	Wanted  float64
}

// Admit decides whether this process, one of the given number of processes, may send a request to an endpoint now. It counts the request
// as wanted, so that it must be called only for an endpoint that would get the request if it is admitted; the caller then calls Sent. draw
// is a random number in [0, 1).
//
// Let r be the rate that all processes together may send, s the sum of their counts of requests sent, which decay with time constant T, w
// the rate at which they want to send, and d = reportTime, in which other processes may send without this one knowing. A request is admitted
// with probability p = (r(T+d) - s) / (w d), at most 1. A steady rate x of all processes gives s = xT; with x = pw it follows that x = r
// if w > r, and that all requests are admitted, p = 1, if w <= r.
//
// A process that told neither how much it sent nor how much it wants is assumed to send an equal share of r, and to want as much as this
// one. A process that hears from no other thus sends at most an equal share.
func (t *Table) Admit(now time.Time, id string, processes int, draw float64) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.admit(now, id, processes, draw, true)
}

// WouldAdmit returns what Admit would return, without counting a request that is wanted.
func (t *Table) WouldAdmit(now time.Time, id string, processes int, draw float64) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.admit(now, id, processes, draw, false)
}

// admit implements Admit, and WouldAdmit if count is not set. The caller must hold mu.
func (t *Table) admit(now time.Time, id string, processes int, draw float64, count bool) Decision {
	s := t.state(id)
	rate, limited := t.rate(now, id, s)
	if !limited {
		return Decision{Admitted: true}
	}
	if count {
		s.wanted.add(now, wantedTime)
	}
	rate = max(minRate, rate)
	u := t.usage(now, id, s, processes, rate)
	wanted := u.wanted / wantedTime.Seconds()
	admitted := draw*wanted*reportTime.Seconds() < rate*(sentTime+reportTime).Seconds()-u.sent
	return Decision{Admitted: admitted, Limited: true, Rate: rate, Wanted: wanted}
}

// Sent records that this process sent a request to an endpoint.
func (t *Table) Sent(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.sent.add(now, sentTime)
	if _, limited := t.rate(now, id, s); !limited {
		s.wanted.add(now, wantedTime)
	}
}

// Scarce reports whether an endpoint has stated a rate and all processes together want to send more.
func (t *Table) Scarce(now time.Time, id string, processes int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	rate, limited := t.rate(now, id, s)
	if !limited {
		return false
	}
	rate = max(minRate, rate)
	return t.usage(now, id, s, processes, rate).wanted > rate*wantedTime.Seconds()
}

// usage is what all processes together sent to an endpoint and wanted to send, as counts.
type usage struct{ sent, wanted float64 }

// usage returns the sums for an endpoint that takes the given rate. The caller must hold mu.
func (t *Table) usage(now time.Time, id string, s *endpointState, processes int, rate float64) usage {
	own := usage{sent: s.sent.current(now, sentTime), wanted: s.wanted.current(now, wantedTime)}
	peers, heard := t.peerUsage(now, id)
	silent := float64(max(0, processes-1-heard))
	return usage{
		sent:   own.sent + peers.sent + silent*rate*sentTime.Seconds()/float64(max(1, processes)),
		wanted: own.wanted*(1+silent) + peers.wanted,
	}
}
