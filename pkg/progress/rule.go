package progress

import (
	"cmp"
	"time"
)

// Defaults of Rule.
const (
	// DefaultMinSilence is longer than a lost packet takes to be sent again, and than the pause between two steps of an engine ten
	// times slower than usual.
	DefaultMinSilence = 350 * time.Millisecond
	// DefaultMaxSilence bounds the silence that a long queue explains, since the engine would report on other work meanwhile.
	DefaultMaxSilence = 2500 * time.Millisecond
	// DefaultReleaseSilence is longer than a sound endpoint is usually silent, and leaves a request time to go on elsewhere.
	DefaultReleaseSilence = 1300 * time.Millisecond
)

const (
	// firstTokenFactor is applied to the time that was expected until the first token of an attempt. Expectations are rough: prompts
	// of other gateways may have arrived at the same time.
	firstTokenFactor = 1.5
	// pauseFactor is applied to the usual pause between two events of an attempt.
	pauseFactor = 8
)

// Attempt is a request in flight at an endpoint.
type Attempt struct {
	SentAt time.Time
	// Expected is the time that was expected from SentAt until the first token.
	Expected time.Duration
	// ProgressAt is when the last event of the answer arrived, zero before the first one; Pause is the longest pause between two
	// events so far, zero before the second one.
	ProgressAt time.Time
	Pause      time.Duration
	// Deadline is when the answer is no longer of use.
	Deadline time.Time
	// Repeatable reports whether the request may be sent to another endpoint although it may have run.
	Repeatable bool
}

// Endpoint is what is known about an endpoint with requests in flight.
type Endpoint struct {
	// HeardAt is when the endpoint last sent anything to any gateway, as far as this gateway knows; zero if never.
	HeardAt time.Time
	// OthersHeardAt is when this gateway last received anything from another endpoint or another gateway. If that was not after the
	// last sign of this endpoint, the gateway itself may be cut off.
	OthersHeardAt time.Time
	// Attempts are the requests that this gateway has in flight there.
	Attempts []Attempt
}

// Rule decides when an endpoint is doubtful. The zero value uses the defaults.
type Rule struct {
	// MinSilence is the shortest silence at which an endpoint is doubtful, MaxSilence the longest at which it is not. Zero stands for
	// the defaults.
	MinSilence time.Duration
	MaxSilence time.Duration
	// ReleaseSilence is the shortest silence after which requests go on elsewhere. Zero stands for the default.
	ReleaseSilence time.Duration
}

// ReleaseAt returns when the requests at an endpoint that goes on being silent may be released: ReleaseSilence after its last sign or after the
// first of the requests in flight was sent, whichever is later.
func (r Rule) ReleaseAt(e Endpoint) time.Time {
	var since time.Time
	for i, a := range e.Attempts {
		if i == 0 || a.SentAt.Before(since) {
			since = a.SentAt
		}
	}
	if e.HeardAt.After(since) {
		since = e.HeardAt
	}
	return since.Add(cmp.Or(r.ReleaseSilence, DefaultReleaseSilence))
}

// Allowed returns how long an endpoint with an attempt may send nothing at all, from MinSilence to MaxSilence.
func (r Rule) Allowed(a Attempt) time.Duration {
	lowest, highest := cmp.Or(r.MinSilence, DefaultMinSilence), cmp.Or(r.MaxSilence, DefaultMaxSilence)
	expected := time.Duration(firstTokenFactor * float64(a.Expected))
	if !a.ProgressAt.IsZero() {
		expected = pauseFactor * a.Pause
	}
	return min(max(lowest, expected), max(lowest, highest))
}

// Doubtful reports whether an endpoint has been silent for longer than each of its attempts explains. An endpoint without attempts is
// never doubtful, and none is while nothing else is heard either.
func (r Rule) Doubtful(now time.Time, e Endpoint) bool {
	for _, a := range e.Attempts {
		since := a.SentAt
		if a.ProgressAt.After(since) {
			since = a.ProgressAt
		}
		if e.HeardAt.After(since) {
			since = e.HeardAt
		}
		if now.Sub(since) < r.Allowed(a) || !e.OthersHeardAt.After(since) {
			return false
		}
	}
	return len(e.Attempts) > 0
}
