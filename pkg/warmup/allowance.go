package warmup

import "time"

// Settings configure an allowance. Zero values are replaced by the defaults.
type Settings struct {
	// BatchLimit is the maximum number of concurrent runs on a warm engine, ColdLimit that on an engine that has just
	// started. Defaults 16 and 2.
	BatchLimit int
	ColdLimit  int
	// MaxReportAge is the maximum age of the last message of the engine, a status report or an acceptance, at a
	// submission. Default 50 ms.
	MaxReportAge time.Duration
	// FirstTokenLimit is the longest time to first token that counts as in time. Default 1.2 s, the latency target.
	FirstTokenLimit time.Duration
}

// Report is a status report of an engine.
type Report struct {
	Incarnation uint64
	Warm        bool
	// Capacity is the number of concurrent runs that the engine can serve now. If it is 0 or less, it does not limit the
	// allowance.
	Capacity int
	// Running is the number of runs on the engine, whichever process submitted them.
	Running int
}

// Allowance tracks how many concurrent runs one engine may have, of all processes together, and how many of them this process
// may still add.
type Allowance struct {
	settings      Settings
	hasMessage    bool // whether the engine has sent any message
	incarnation   uint64
	warmUpLimit   int       // the allowance apart from the reported capacity, from ColdLimit up to BatchLimit
	capacity      int       // last reported in this incarnation, 0 if none was
	running       int       // runs of this process in this incarnation that have not ended
	otherRuns     int       // runs in the last report that this process did not submit
	lastMessageAt time.Time // time of the last message, zero after Lost
}

// New returns the allowance of an engine whose state is unknown: it allows no runs before the first message.
func New(s Settings) *Allowance {
	if s.BatchLimit <= 0 {
		s.BatchLimit = 16
	}
	if s.ColdLimit <= 0 {
		s.ColdLimit = 2
	}
	s.ColdLimit = min(s.ColdLimit, s.BatchLimit)
	if s.MaxReportAge <= 0 {
		s.MaxReportAge = 50 * time.Millisecond
	}
	if s.FirstTokenLimit <= 0 {
		s.FirstTokenLimit = 1200 * time.Millisecond
	}
	return &Allowance{settings: s}
}

// NeedsReport reports whether Observe must be called before a submission at now. This is so if the last message is too old, if
// the engine is still cold, so that its capacity may differ from the allowance, or if it reported runs that this process
// did not submit, for example those of a predecessor process.
func (a *Allowance) NeedsReport(now time.Time) bool {
	return !a.Fresh(now) || a.Cold() || a.otherRuns > 0
}

// Fresh reports whether the last message is recent enough for a submission at now.
func (a *Allowance) Fresh(now time.Time) bool {
	return a.hasMessage && now.Sub(a.lastMessageAt) <= a.settings.MaxReportAge
}

// Incarnation returns the incarnation in the last message, 0 before the first message.
func (a *Allowance) Incarnation() uint64 { return a.incarnation }

// Observe records a status report of the engine. It reports whether the engine has restarted, that is, has a new incarnation.
func (a *Allowance) Observe(now time.Time, r Report) (restarted bool) {
	restarted = a.recordMessage(now, r.Incarnation)
	a.capacity = r.Capacity
	a.otherRuns = max(0, r.Running-a.running)
	if r.Warm {
		a.warmUpLimit = a.settings.BatchLimit
	}
	return restarted
}

// Accepted counts a run that the engine accepted. It reports whether the acceptance shows a restart, that is a new
// incarnation.
func (a *Allowance) Accepted(now time.Time, incarnation uint64) (restarted bool) {
	restarted = a.recordMessage(now, incarnation)
	a.running++
	return restarted
}

// FirstToken raises the allowance by one, up to BatchLimit, if the first token of a run of the current incarnation arrived
// in time. The delay is counted from the acceptance of the run.
func (a *Allowance) FirstToken(incarnation uint64, delay time.Duration) {
	if a.hasMessage && incarnation == a.incarnation && delay <= a.settings.FirstTokenLimit {
		a.warmUpLimit = min(a.warmUpLimit+1, a.settings.BatchLimit)
	}
}

// Ended records that a run of the given incarnation ended.
func (a *Allowance) Ended(incarnation uint64) {
	if incarnation == a.incarnation && a.running > 0 {
		a.running--
	}
}

// Lost records that the state of the engine is uncertain, for example since it could not be reached: the last message no
// longer counts as recent, so the next submission needs a report.
func (a *Allowance) Lost() { a.lastMessageAt = time.Time{} }

// Free returns the number of further runs that may be submitted if the last message is recent enough, see Fresh.
func (a *Allowance) Free() int { return max(0, a.Limit()-a.running-a.otherRuns) }

// Limit returns the number of concurrent runs that the engine may have now, 0 before the first message.
func (a *Allowance) Limit() int {
	if !a.hasMessage {
		return 0
	}
	if a.capacity > 0 {
		return min(a.warmUpLimit, a.capacity)
	}
	return a.warmUpLimit
}

// Running returns the number of runs that this process has on the current incarnation of the engine.
func (a *Allowance) Running() int { return a.running }

// Cold reports whether the allowance, apart from the reported capacity, is still below the batch limit.
func (a *Allowance) Cold() bool { return a.warmUpLimit < a.settings.BatchLimit }

// recordMessage records a message of the engine, and resets the state of the engine if its incarnation is new.
func (a *Allowance) recordMessage(now time.Time, incarnation uint64) (restarted bool) {
	a.lastMessageAt = now
	if a.hasMessage && incarnation == a.incarnation {
		return false
	}
	restarted = a.hasMessage
	a.hasMessage, a.incarnation = true, incarnation
	a.warmUpLimit = a.settings.ColdLimit
	a.capacity, a.running, a.otherRuns = 0, 0, 0
	return restarted
}

// SetLimits changes BatchLimit and ColdLimit; values of 0 or less are ignored. A warm engine whose batch limit is raised
// counts as cold until a report or first tokens in time raise its allowance.
func (a *Allowance) SetLimits(batch, cold int) {
	if batch > 0 {
		a.settings.BatchLimit = batch
	}
	if cold > 0 {
		a.settings.ColdLimit = cold
	}
	a.settings.ColdLimit = min(a.settings.ColdLimit, a.settings.BatchLimit)
	a.warmUpLimit = min(a.warmUpLimit, a.settings.BatchLimit)
}
