package warmup

import "time"

// Settings bound an allowance. Zero values are replaced by the defaults.
type Settings struct {
	// BatchLimit is the number of runs at a time when warm, ColdLimit when cold. Defaults 16 and 2.
	BatchLimit int
	ColdLimit  int
	// SignAge is how old the last sign may be at a submission. Default 50 ms.
	SignAge time.Duration
	// FirstTokenLimit is the time within which a first token counts as in time. Default 1.2 s, the latency target.
	FirstTokenLimit time.Duration
}

// Sign is a report of an engine's own state.
type Sign struct {
	Incarnation uint64
	Warm        bool
	// Capacity is the number of runs that the engine can bear now.
	Capacity int
	// Running counts its runs, whoever submitted them.
	Running int
}

// Allowance is what one engine may be given.
type Allowance struct {
	settings    Settings
	known       bool
	incarnation uint64
	limit       int // from ColdLimit up to BatchLimit
	capacity    int // last reported in this incarnation, 0 if none was
	running     int // own runs in this incarnation
	foreign     int // runs in the last report that are not own ones
	signAt      time.Time
}

// New returns the allowance of an engine of which nothing is known: it may be given no run before a sign.
func New(s Settings) *Allowance {
	if s.BatchLimit <= 0 {
		s.BatchLimit = 16
	}
	if s.ColdLimit <= 0 {
		s.ColdLimit = 2
	}
	s.ColdLimit = min(s.ColdLimit, s.BatchLimit)
	if s.SignAge <= 0 {
		s.SignAge = 50 * time.Millisecond
	}
	if s.FirstTokenLimit <= 0 {
		s.FirstTokenLimit = 1200 * time.Millisecond
	}
	return &Allowance{settings: s}
}

// NeedsSign reports whether a submission at now must be preceded by Observe: the last sign is too old, the engine is
// still cold, so that its capacity may differ from the allowance, or it reported runs of somebody else.
func (a *Allowance) NeedsSign(now time.Time) bool {
	return !a.Fresh(now) || a.Cold() || a.foreign > 0
}

// Fresh reports whether the last sign is recent enough for a submission at now.
func (a *Allowance) Fresh(now time.Time) bool {
	return a.known && now.Sub(a.signAt) <= a.settings.SignAge
}

// Incarnation returns the last incarnation seen, 0 before the first sign.
func (a *Allowance) Incarnation() uint64 { return a.incarnation }

// Observe takes a report of the engine. It reports whether the engine turned out to be another incarnation.
func (a *Allowance) Observe(now time.Time, s Sign) (restarted bool) {
	restarted = a.sign(now, s.Incarnation)
	a.capacity = s.Capacity
	a.foreign = max(0, s.Running-a.running)
	if s.Warm {
		a.limit = a.settings.BatchLimit
	}
	return restarted
}

// Accepted counts a run that the engine accepted; the acceptance is a sign. It reports whether the engine turned out to
// be another incarnation.
func (a *Allowance) Accepted(now time.Time, incarnation uint64) (restarted bool) {
	restarted = a.sign(now, incarnation)
	a.running++
	return restarted
}

// FirstToken grows the allowance of a cold engine if a first token arrived in time after its acceptance.
func (a *Allowance) FirstToken(incarnation uint64, took time.Duration) {
	if a.known && incarnation == a.incarnation && took <= a.settings.FirstTokenLimit {
		a.limit = min(a.limit+1, a.settings.BatchLimit)
	}
}

// Ended counts down a run of an incarnation.
func (a *Allowance) Ended(incarnation uint64) {
	if incarnation == a.incarnation && a.running > 0 {
		a.running--
	}
}

// Lost drops what is known of the engine, after it could not be reached: the next submission needs a sign.
func (a *Allowance) Lost() { a.signAt = time.Time{} }

// Free returns the number of runs that may be submitted now.
func (a *Allowance) Free() int { return max(0, a.Limit()-a.running-a.foreign) }

// Limit returns the number of runs that the engine may have at a time now; 0 before the first sign.
func (a *Allowance) Limit() int {
	if !a.known {
		return 0
	}
	if a.capacity > 0 {
		return min(a.limit, a.capacity)
	}
	return a.limit
}

// Running returns the number of own runs in the current incarnation.
func (a *Allowance) Running() int { return a.running }

// Cold reports whether the allowance has not reached the batch limit.
func (a *Allowance) Cold() bool { return a.limit < a.settings.BatchLimit }

func (a *Allowance) sign(now time.Time, incarnation uint64) (restarted bool) {
	a.signAt = now
	if a.known && incarnation == a.incarnation {
		return false
	}
	restarted = a.known
	a.known, a.incarnation = true, incarnation
	a.limit = a.settings.ColdLimit
	a.capacity, a.running, a.foreign = 0, 0, 0
	return restarted
}

// SetLimits changes the limits; values of 0 or less stay. A warm engine whose batch limit rises has to grow to it.
func (a *Allowance) SetLimits(batch, cold int) {
	if batch > 0 {
		a.settings.BatchLimit = batch
	}
	if cold > 0 {
		a.settings.ColdLimit = cold
	}
	a.settings.ColdLimit = min(a.settings.ColdLimit, a.settings.BatchLimit)
	a.limit = min(a.limit, a.settings.BatchLimit)
}
