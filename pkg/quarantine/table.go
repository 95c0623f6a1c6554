package quarantine

import (
	"slices"
	"time"
)

// State is the quarantine state of a fingerprint.
type State uint8

//go:generate go tool -modfile=../../tools/go.mod stringer -type=State -output=state_string.go

// States of a fingerprint.
const (
	// Clear means that the fingerprint has no mark in force.
	Clear State = iota
	// Suspect means that the fingerprint was running on at least one endpoint that crashed, but on fewer than
	// Settings.CrashThreshold.
	Suspect
	// Quarantined means that the number of endpoints that crashed while the fingerprint was running has reached
	// Settings.CrashThreshold, so that the fingerprint is refused.
	Quarantined
)

// Settings configure a table. Zero values are replaced by the defaults.
type Settings struct {
	// Limit is the maximum number of fingerprints in the table. Default 4096.
	Limit int
	// MarkLifetime is how long a mark lasts after the last crash, and the longest time for which a mark that another process sent
	// lasts after its receipt. Default 15 min.
	MarkLifetime time.Duration
	// CrashThreshold is the number of different endpoints whose crashes quarantine a fingerprint. Default 2.
	CrashThreshold int
}

// Mark records the crashes during which one fingerprint was running.
type Mark struct {
	Fingerprint uint64
	// Endpoints lists the different endpoints that crashed while the fingerprint was running, sorted.
	Endpoints []string
	Expires   time.Time
}

// maxEndpoints is the maximum number of endpoints in a mark. More than a few add no information.
const maxEndpoints = 8

// Table is a bounded set of marks, at most one for each fingerprint. Use New to create one.
type Table struct {
	settings Settings
	marks    map[uint64]*Mark
}

// New returns an empty table.
func New(s Settings) *Table {
	if s.Limit <= 0 {
		s.Limit = 4096
	}
	if s.MarkLifetime <= 0 {
		s.MarkLifetime = 15 * time.Minute
	}
	if s.CrashThreshold <= 0 {
		s.CrashThreshold = 2
	}
	return &Table{settings: s, marks: map[uint64]*Mark{}}
}

// SetMarkLifetime changes Settings.MarkLifetime for later calls of Crashed and Merge. A duration of 0 or less is ignored.
func (t *Table) SetMarkLifetime(d time.Duration) {
	if d > 0 {
		t.settings.MarkLifetime = d
	}
}

// Crashed records that the fingerprint was running when the endpoint crashed, and returns its mark.
func (t *Table) Crashed(now time.Time, fingerprint uint64, endpoint string) Mark {
	t.Merge(now, Mark{Fingerprint: fingerprint, Endpoints: []string{endpoint}, Expires: now.Add(t.settings.MarkLifetime)})
	return t.marks[fingerprint].clone()
}

// Merge merges a mark that another process sent into the table. It reports whether this added an endpoint, in which case
// the mark should be sent on to other processes. The expiry is limited to Settings.MarkLifetime from now.
func (t *Table) Merge(now time.Time, m Mark) (added bool) {
	if limit := now.Add(t.settings.MarkLifetime); m.Expires.After(limit) {
		m.Expires = limit
	}
	if !m.Expires.After(now) || len(m.Endpoints) == 0 {
		return false
	}
	mark := t.get(now, m.Fingerprint)
	if mark == nil {
		t.evict(now)
		mark = &Mark{Fingerprint: m.Fingerprint}
		t.marks[m.Fingerprint] = mark
	}
	for _, endpoint := range m.Endpoints {
		i, found := slices.BinarySearch(mark.Endpoints, endpoint)
		if !found && len(mark.Endpoints) < maxEndpoints {
			mark.Endpoints = slices.Insert(mark.Endpoints, i, endpoint)
			added = true
		}
	}
	if m.Expires.After(mark.Expires) {
		mark.Expires = m.Expires
	}
	return added
}

// Finished removes the mark of a suspect whose run ended without a crash. A quarantined fingerprint stays until its mark
// expires.
func (t *Table) Finished(now time.Time, fingerprint uint64) {
	if t.State(now, fingerprint) == Suspect {
		delete(t.marks, fingerprint)
	}
}

// State returns the state of a fingerprint at now.
func (t *Table) State(now time.Time, fingerprint uint64) State {
	return t.state(t.get(now, fingerprint))
}

// Remaining returns the time until the mark of a fingerprint expires, or 0 if it has none.
func (t *Table) Remaining(now time.Time, fingerprint uint64) time.Duration {
	if m := t.get(now, fingerprint); m != nil {
		return m.Expires.Sub(now)
	}
	return 0
}

// Marks returns the marks that have not expired, sorted by fingerprint.
func (t *Table) Marks(now time.Time) []Mark {
	marks := make([]Mark, 0, len(t.marks))
	for _, m := range t.marks {
		if m.Expires.After(now) {
			marks = append(marks, m.clone())
		}
	}
	slices.SortFunc(marks, func(a, b Mark) int {
		if a.Fingerprint < b.Fingerprint {
			return -1
		}
		return 1
	})
	return marks
}

// Len returns the number of fingerprints in the table, including expired ones that are not yet deleted.
func (t *Table) Len() int { return len(t.marks) }

// get returns the mark of a fingerprint, or nil if it has none. It deletes the mark if it has expired.
func (t *Table) get(now time.Time, fingerprint uint64) *Mark {
	m := t.marks[fingerprint]
	if m != nil && !m.Expires.After(now) {
		delete(t.marks, fingerprint)
		return nil
	}
	return m
}

func (t *Table) state(m *Mark) State {
	switch {
	case m == nil:
		return Clear
	case len(m.Endpoints) >= t.settings.CrashThreshold:
		return Quarantined
	}
	return Suspect
}

// evict makes room for one mark in a full table: it deletes the expired marks or, if there are none, the first mark in the
// order of evictedBefore. A table fills only after crashes, so a scan of all marks is cheap enough.
func (t *Table) evict(now time.Time) {
	if len(t.marks) < t.settings.Limit {
		return
	}
	var victim *Mark
	for fingerprint, m := range t.marks {
		if !m.Expires.After(now) {
			delete(t.marks, fingerprint)
		} else if victim == nil || t.evictedBefore(m, victim) {
			victim = m
		}
	}
	if len(t.marks) >= t.settings.Limit {
		delete(t.marks, victim.Fingerprint)
	}
}

// evictedBefore orders marks for eviction: suspects before quarantined fingerprints, then by expiry, with the
// fingerprint as the tie-break.
func (t *Table) evictedBefore(a, b *Mark) bool {
	if sa, sb := t.state(a), t.state(b); sa != sb {
		return sa < sb
	}
	if !a.Expires.Equal(b.Expires) {
		return a.Expires.Before(b.Expires)
	}
	return a.Fingerprint < b.Fingerprint
}

func (m *Mark) clone() Mark {
	c := *m
	c.Endpoints = slices.Clone(m.Endpoints)
	return c
}
