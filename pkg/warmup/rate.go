package warmup

import "time"

// Rate is a token bucket that limits the requests per second of one process to a cold endpoint. Several processes share
// equally what the endpoint can serve while it is cold. It is not safe for concurrent use.
type Rate struct {
	// PerSecond is the number of requests per second that the cold endpoint can serve from all processes together. There is
	// no limit if it is 0 or less.
	PerSecond float64

	coldUntil time.Time
	tokens    float64
	updatedAt time.Time // time of the last request, at which tokens was computed; zero before the first request
}

// rateBurst is the number of requests that a process may send at once. With a larger burst, all processes together could
// send more requests at once than the endpoint can serve in a second.
const rateBurst = 1

// Cold records that the endpoint stays cold for the remaining time from now on. A call never
// shortens the cold time. phase is a random number in [0, 1): a process does not send at once to an endpoint that has just turned cold,
// but after that part of its interval between two requests, so that many processes do not all begin with one.
func (r *Rate) Cold(now time.Time, remaining time.Duration, phase float64) {
	if !r.IsCold(now) {
		r.tokens, r.updatedAt = min(phase, rateBurst), now
	}
	if until := now.Add(remaining); until.After(r.coldUntil) {
		r.coldUntil = until
	}
}

// Warm records that the endpoint reported that it is not cold.
func (r *Rate) Warm() { r.coldUntil = time.Time{} }

// IsCold reports whether the endpoint is cold at now.
func (r *Rate) IsCold(now time.Time) bool { return now.Before(r.coldUntil) }

// Allows reports whether this process, one of the given number of processes, may send a request now.
func (r *Rate) Allows(now time.Time, processes int) bool {
	if !r.IsCold(now) || r.PerSecond <= 0 {
		return true
	}
	return r.available(now, processes) >= 1
}

// Sent records that this process sent a request.
func (r *Rate) Sent(now time.Time, processes int) {
	if r.PerSecond <= 0 {
		return
	}
	r.tokens = r.available(now, processes) - 1
	r.updatedAt = now
}

// available returns the tokens at now.
func (r *Rate) available(now time.Time, processes int) float64 {
	if r.updatedAt.IsZero() {
		return rateBurst
	}
	return min(rateBurst, r.tokens+now.Sub(r.updatedAt).Seconds()*r.PerSecond/float64(max(1, processes)))
}
