package quarantine

import (
	"slices"
	"time"
)

// State is what is known of a fingerprint.
type State uint8

//go:generate go tool -modfile=../../tools/go.mod stringer -type=State -output=state_string.go

// The states.
const (
	// Clear means that no crash is known.
	Clear State = iota
	// Suspect means that it ran on an endpoint that crashed.
	Suspect
	// Quarantined means that it ran on enough endpoints that crashed to be refused.
	Quarantined
)

// Settings bound a table. Zero values are replaced by the defaults.
type Settings struct {
	// Limit is the number of fingerprints kept. Default 4096.
	Limit int
	// Time is how long a mark lasts after the last crash. Default 15 min.
	Time time.Duration
	// Endpoints is the number of different endpoints whose crashes quarantine a fingerprint. Default 2.
	Endpoints int
}

// Mark is what is known of one fingerprint.
type Mark struct {
	Fingerprint uint64
	// Endpoints lists the different endpoints that crashed while it ran, sorted.
	Endpoints []string
	Expires   time.Time
}

// maxEndpoints bounds the endpoints of a mark; more than a few tell nothing new.
const maxEndpoints = 8

// Table holds marks.
type Table struct {
	settings Settings
	marks    map[uint64]*Mark
}

// New returns an empty table.
func New(s Settings) *Table {
	if s.Limit <= 0 {
		s.Limit = 4096
	}
	if s.Time <= 0 {
		s.Time = 15 * time.Minute
	}
	if s.Endpoints <= 0 {
		s.Endpoints = 2
	}
	return &Table{settings: s, marks: map[uint64]*Mark{}}
}

// SetTime changes how long marks last from the next crash on. A duration of 0 or less is ignored.
func (t *Table) SetTime(d time.Duration) {
	if d > 0 {
		t.settings.Time = d
	}
}

// Crashed records that the fingerprint was running when endpoint crashed, and returns its mark.
func (t *Table) Crashed(now time.Time, fingerprint uint64, endpoint string) Mark {
	t.Merge(now, Mark{Fingerprint: fingerprint, Endpoints: []string{endpoint}, Expires: now.Add(t.settings.Time)})
	return t.marks[fingerprint].clone()
}

// Merge takes a mark that another process sent. It reports whether the table learned a new endpoint from it, in which
// case the mark is worth spreading further. The time that a mark lasts is cut to Time.
func (t *Table) Merge(now time.Time, m Mark) (learned bool) {
	if limit := now.Add(t.settings.Time); m.Expires.After(limit) {
		m.Expires = limit
	}
	if !m.Expires.After(now) || len(m.Endpoints) == 0 {
		return false
	}
	known := t.get(now, m.Fingerprint)
	if known == nil {
		t.makeRoom(now)
		known = &Mark{Fingerprint: m.Fingerprint}
		t.marks[m.Fingerprint] = known
	}
	for _, endpoint := range m.Endpoints {
		at, found := slices.BinarySearch(known.Endpoints, endpoint)
		if !found && len(known.Endpoints) < maxEndpoints {
			known.Endpoints = slices.Insert(known.Endpoints, at, endpoint)
			learned = true
		}
	}
	if m.Expires.After(known.Expires) {
		known.Expires = m.Expires
	}
	return learned
}

// Finished clears a suspect that ran to its end. A quarantined fingerprint stays until its mark expires.
func (t *Table) Finished(now time.Time, fingerprint uint64) {
	if t.State(now, fingerprint) == Suspect {
		delete(t.marks, fingerprint)
	}
}

// State returns what is known of a fingerprint.
func (t *Table) State(now time.Time, fingerprint uint64) State {
	return t.state(t.get(now, fingerprint))
}

// Remaining returns the time until the mark of a fingerprint expires, 0 if it has none.
func (t *Table) Remaining(now time.Time, fingerprint uint64) time.Duration {
	if m := t.get(now, fingerprint); m != nil {
		return m.Expires.Sub(now)
	}
	return 0
}

// Marks returns the marks in force, by fingerprint.
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

// Len returns the number of fingerprints kept, expired ones included.
func (t *Table) Len() int { return len(t.marks) }

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
	case len(m.Endpoints) >= t.settings.Endpoints:
		return Quarantined
	}
	return Suspect
}

// makeRoom drops expired marks, and if there is none the one that is missed least. A table fills only after crashes,
// so a scan is cheap enough.
func (t *Table) makeRoom(now time.Time) {
	if len(t.marks) < t.settings.Limit {
		return
	}
	var least *Mark
	for fingerprint, m := range t.marks {
		if !m.Expires.After(now) {
			delete(t.marks, fingerprint)
		} else if least == nil || t.less(m, least) {
			least = m
		}
	}
	if len(t.marks) >= t.settings.Limit {
		delete(t.marks, least.Fingerprint)
	}
}

func (t *Table) less(a, b *Mark) bool {
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
