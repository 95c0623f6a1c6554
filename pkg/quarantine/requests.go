package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// DefaultLimit is the default of RequestSettings.Limit.
const DefaultLimit = 2

// RequestSettings configure Requests. Zero values are replaced by the defaults.
type RequestSettings struct {
	// Limit is the number of successive crashes at which a request is refused. Default DefaultLimit. One more is needed while a request is known to
	// have ended well.
	Limit int
	// Apart is the shortest time between two crashes that count as successive. Default 50 ms.
	Apart time.Duration
	// Lifetime is how long own changes count that cannot be written. Default 15 min.
	Lifetime time.Duration
	// SeenTime is how long own changes count after they were written, within which the shared evidence shows them. Default 5 s.
	SeenTime time.Duration
	// RetryDelay is the time after which a failed write is due again. Default 1 s.
	RetryDelay time.Duration
	// ServedTime is the shortest time for which it is known that a request ended well. Default 30 s.
	ServedTime time.Duration
	// MaxChanges bounds the own changes, MaxServed the requests that are known to have ended well. Defaults 1024 and 8192.
	MaxChanges, MaxServed int
}

func (s RequestSettings) withDefaults() RequestSettings {
	return RequestSettings{Limit: cmp.Or(s.Limit, DefaultLimit), Apart: cmp.Or(s.Apart, 50*time.Millisecond), Lifetime: cmp.Or(s.Lifetime, 15*time.Minute), SeenTime: cmp.Or(s.SeenTime, 5*time.Second),
		RetryDelay: cmp.Or(s.RetryDelay, time.Second), ServedTime: cmp.Or(s.ServedTime, 30*time.Second),
		MaxChanges: cmp.Or(s.MaxChanges, 1024), MaxServed: cmp.Or(s.MaxServed, 8192)}
}

// Requests is what one process knows of requests that crashed endpoints, beside the evidence that all processes share: the crashes that it
// saw itself, and which requests ended well since. Both count at once and are to be written to the shared evidence. Use NewRequests to
// create it. It reads no clock and is not safe for concurrent use.
type Requests struct {
	settings RequestSettings
	changes  map[uint64]*change
	// served has when each request last ended well, since servedSince, and servedBefore in the period before.
	served, servedBefore map[uint64]time.Time
	servedSince          time.Time
}

// change is what is to be written about a request.
type change struct {
	// cleared is the shared evidence that is void since the request ended well.
	cleared Evidence
	// runs are the crashes since then, evidence what they amount to.
	runs     []Run
	evidence Evidence
	// madeAt is the time of the last change, due when it is to be written, writtenAt when that was done, zero before.
	madeAt, due, writtenAt time.Time
	// writing is set once a write has begun, so that the shared evidence may hold it; shown is set once that holds all of evidence.
	writing, shown bool
}

// maxRuns bounds the runs of a change.
const maxRuns = 16

// Write is a change to be written to the shared evidence.
type Write struct {
	Fingerprint uint64
	// Cleared is to be deleted, unless the shared evidence holds more. Evidence is to be added afterwards.
	Cleared, Evidence Evidence
	// MadeAt is the time of the last change.
	MadeAt time.Time
}

// NewRequests returns an empty Requests.
func NewRequests(s RequestSettings) *Requests {
	return &Requests{settings: s.withDefaults(), changes: map[uint64]*change{}, served: map[uint64]time.Time{}, servedBefore: map[uint64]time.Time{}}
}

// Len returns the number of own changes. While it is 0, Known returns the shared evidence.
func (r *Requests) Len() int { return len(r.changes) }

// Known returns what is known of a request whose shared evidence is given.
func (r *Requests) Known(fingerprint uint64, shared Evidence) Evidence {
	c := r.changes[fingerprint]
	if c != nil && !c.writtenAt.IsZero() && c.cleared.Count() == 0 && c.evidence.Within(shared) {
		// From here on, the shared evidence may be cleared by others.
		c.shown = true
	}
	switch {
	case c == nil, c.shown:
		return shared
	case shared.Within(c.cleared):
		return c.evidence
	case c.evidence.Count() == 0:
		return shared
	}
	return shared.Merge(c.evidence)
}

// Limit returns the number of successive crashes at which a request is refused.
func (r *Requests) Limit(fingerprint uint64) int {
	if _, served := r.lastServed(fingerprint); served {
		return r.settings.Limit + 1
	}
	return r.settings.Limit
}

func (r *Requests) lastServed(fingerprint uint64) (at time.Time, ok bool) {
	if at, ok = r.served[fingerprint]; ok {
		return at, true
	}
	at, ok = r.servedBefore[fingerprint]
	return at, ok
}

// Crashed records a run whose endpoint crashed. It reports whether the run counts, or why not.
func (r *Requests) Crashed(now time.Time, run Run) (outcome Outcome) {
	if at, ok := r.lastServed(run.Fingerprint); ok && at.After(run.Ended) {
		return EndedWellSince
	}
	if slices.Contains(run.Known.Endpoints, run.Endpoint) {
		return KnownBefore
	}
	c := r.changes[run.Fingerprint]
	if c == nil && len(r.changes) >= r.settings.MaxChanges {
		return NoRoom
	}
	if c == nil || c.shown {
		c = &change{}
		r.changes[run.Fingerprint] = c
	}
	if run.Known.Within(c.cleared) {
		run.Known = Evidence{}
	}
	if len(c.runs) >= maxRuns {
		c.runs = c.runs[1:]
	}
	c.runs = append(c.runs, run)
	before := c.evidence
	c.evidence = before.Merge(Evidence{Endpoints: []string{run.Endpoint}, Crashes: Successive(c.runs, r.settings.Apart)})
	if c.evidence.Within(before) && c.evidence.Count() == before.Count() {
		return Marked
	}
	c.madeAt, c.due, c.writtenAt, c.shown = now, now, time.Time{}, false
	return Marked
}

// EndedWell records that a request ended well, which clears the evidence against it unless that has reached the limit. It returns the
// evidence that it cleared.
func (r *Requests) EndedWell(now time.Time, fingerprint uint64, shared Evidence) (cleared Evidence) {
	known, limit := r.Known(fingerprint, shared), r.Limit(fingerprint)
	r.recordServed(now, fingerprint)
	if known.Count() == 0 || known.Count() >= limit {
		return Evidence{}
	}
	c := r.changes[fingerprint]
	switch {
	case c == nil && len(r.changes) >= r.settings.MaxChanges:
		return Evidence{}
	case c == nil:
		c = &change{}
		r.changes[fingerprint] = c
	case !c.writing && shared.Count() == 0:
		delete(r.changes, fingerprint)
		return known
	}
	*c = change{cleared: c.cleared.Merge(known), madeAt: now, due: now, writing: c.writing}
	return known
}

// recordServed records that a request ended well. Of two periods, the older one is forgotten when the younger one is over.
func (r *Requests) recordServed(now time.Time, fingerprint uint64) {
	if now.Sub(r.servedSince) >= r.settings.ServedTime || len(r.served) >= r.settings.MaxServed/2 {
		r.servedBefore, r.served, r.servedSince = r.served, map[uint64]time.Time{}, now
	}
	r.served[fingerprint] = now
}

// Due returns the changes to be written, and forgets those that the shared evidence shows or that are too old.
func (r *Requests) Due(now time.Time) (writes []Write) {
	for fingerprint, c := range r.changes {
		switch {
		case c.shown, !c.writtenAt.IsZero() && now.Sub(c.writtenAt) > r.settings.SeenTime, now.Sub(c.madeAt) > r.settings.Lifetime:
			delete(r.changes, fingerprint)
		case c.writtenAt.IsZero() && !now.Before(c.due):
			c.writing = true
			writes = append(writes, Write{Fingerprint: fingerprint, Cleared: c.cleared, Evidence: c.evidence, MadeAt: c.madeAt})
		}
	}
	return writes
}

// Written records the result of a write.
func (r *Requests) Written(now time.Time, w Write, ok bool) {
	c := r.changes[w.Fingerprint]
	switch {
	case c == nil || c.madeAt.After(w.MadeAt):
	case ok:
		c.writtenAt = now
	default:
		c.due = now.Add(r.settings.RetryDelay)
	}
}

// NextDue returns when Due is to be called next.
func (r *Requests) NextDue(now time.Time) (next time.Time) {
	next = now.Add(r.settings.Lifetime)
	for _, c := range r.changes {
		at := c.due
		if !c.writtenAt.IsZero() {
			at = c.writtenAt.Add(r.settings.SeenTime + 1)
		}
		if at.Before(next) {
			next = at
		}
	}
	return next
}
