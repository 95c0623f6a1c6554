package warmup

import "time"

// Rate bounds the requests a second that one of several processes sends to a cold endpoint, where the endpoint bears a
// number of requests a second from all of them together. It is not safe for concurrent use.
type Rate struct {
	// PerSecond is what the endpoint bears from all processes.
	PerSecond float64

	coldUntil time.Time
	tokens    float64
	at        time.Time
}

// rateBurst is the number of requests that a process may send at once. A larger one would let all processes together send
// more than a second's worth at once.
const rateBurst = 1

// Cold records that the endpoint is cold for a while from now on. A shorter time than the one known changes nothing.
func (r *Rate) Cold(now time.Time, remaining time.Duration) {
	if until := now.Add(remaining); until.After(r.coldUntil) {
		r.coldUntil = until
	}
}

// Warm records that the endpoint says that it is not cold.
func (r *Rate) Warm() { r.coldUntil = time.Time{} }

// IsCold reports whether the endpoint is cold.
func (r *Rate) IsCold(now time.Time) bool { return now.Before(r.coldUntil) }

// Allows reports whether a request may be sent now by one of the given number of processes.
func (r *Rate) Allows(now time.Time, processes int) bool {
	if !r.IsCold(now) || r.PerSecond <= 0 {
		return true
	}
	return r.available(now, processes) >= 1
}

// Sent records a request.
func (r *Rate) Sent(now time.Time, processes int) {
	if r.PerSecond <= 0 {
		return
	}
	r.tokens = r.available(now, processes) - 1
	r.at = now
}

func (r *Rate) available(now time.Time, processes int) float64 {
	if r.at.IsZero() {
		return rateBurst
	}
	return min(rateBurst, r.tokens+now.Sub(r.at).Seconds()*r.PerSecond/float64(max(1, processes)))
}
