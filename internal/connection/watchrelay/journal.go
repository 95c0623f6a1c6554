package watchrelay

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"primrosecourse/internal/version/registry"
)

// Change is the current state of an object, not decoded, or its removal.
type Change = registry.Change[json.RawMessage]

// maxJournalChanges is the number of past changes that are kept for the gateways that watch this one.
const maxJournalChanges = 4096

// journal is the state of one kind of object and its recent changes, as this gateway read them.
type journal struct {
	mu sync.Mutex
	// objects are the objects at revision. known is false until they have been listed and after a gap.
	objects  map[string]Change
	revision uint64
	known    bool
	// steps are the last changes, oldest first; they begin after the revision first. They have no values: whoever missed several changes of an
	// object needs its last state only, which objects has.
	steps   []step
	changes int
	first   uint64
	// directAt is the time up to which an answer of the store itself was complete, by the clock that continues while the machine is suspended.
	directAt time.Duration
	// changed is closed and replaced when the journal changes.
	changed chan struct{}
}

// step is the result of one watch: the changes up to a revision.
type step struct {
	revision uint64
	changes  []Change
}

func newJournal() *journal {
	return &journal{objects: map[string]Change{}, changed: make(chan struct{})}
}

func (j *journal) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// replace records a list. direct is when the store was asked for it, 0 if another gateway was.
func (j *journal) replace(listed []Change, revision uint64, direct time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if revision < j.revision { // the list lacks what the store's last answer had
		j.directAt = 0
	}
	j.objects = make(map[string]Change, len(listed))
	for _, c := range listed {
		j.objects[c.Name] = c
	}
	j.revision, j.first, j.known, j.steps, j.changes = revision, revision, true, nil, 0
	j.directAt = max(j.directAt, direct)
	j.notify()
}

// update records the changes of a watch that began after a revision. If the journal does not reach that revision, its state becomes
// unknown.
func (j *journal) update(after uint64, changes []Change, revision uint64, direct time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.known || after != j.revision || revision < after {
		j.known = false
		return
	}
	j.directAt = max(j.directAt, direct)
	j.revision = revision
	if len(changes) == 0 {
		return
	}
	s := step{revision: revision, changes: make([]Change, 0, len(changes))}
	for _, c := range changes {
		// The name may lie in the memory of a whole response.
		c.Name = strings.Clone(c.Name)
		if c.Removed {
			delete(j.objects, c.Name)
		} else {
			j.objects[c.Name] = c
		}
		s.changes = append(s.changes, Change{Name: c.Name, Revision: c.Revision, Removed: c.Removed})
	}
	j.steps = append(j.steps, s)
	for j.changes += len(changes) + 1; j.changes > maxJournalChanges && len(j.steps) > 1; j.steps = j.steps[1:] {
		j.changes -= len(j.steps[0].changes) + 1
		j.first = j.steps[0].revision
	}
	j.notify()
}

// isAhead reports whether the journal has reached a later revision, as after a restore of the store that a slower gateway has not seen yet.
func (j *journal) isAhead(revision uint64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.revision > revision
}

// list returns the objects, and false if they are not known or the store has not answered since oldest.
func (j *journal) list(oldest time.Duration) (a answer, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.fresh(oldest) {
		return a, false
	}
	a = answer{Revision: j.revision, directAt: j.directAt}
	for _, c := range j.objects {
		a.add(c)
	}
	return a, true
}

// fresh reports whether the state is known and the store has answered since oldest. The caller must hold mu.
func (j *journal) fresh(oldest time.Duration) bool {
	return j.known && j.directAt > 0 && j.directAt >= oldest
}

// since returns the last change after a revision of each object that has any, whether there is a gap, and a channel that is closed at the next change. ok is false as
// for list.
func (j *journal) since(after uint64, oldest time.Duration) (a answer, changed <-chan struct{}, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.fresh(oldest) {
		return a, nil, false
	}
	a = answer{Revision: j.revision, directAt: j.directAt}
	switch {
	case after < j.first:
		a.Gap = true
	case after > j.revision:
		// The asking gateway knows more than this one, which will learn of it soon.
		a.Revision = after
	default:
		for _, c := range j.lastChanges(after) {
			if !c.Removed {
				c = j.objects[c.Name]
			}
			a.add(c)
		}
	}
	return a, j.changed, true
}

// lastChanges returns the last change after a revision of each object, oldest first and without values. The caller must hold mu.
func (j *journal) lastChanges(after uint64) (list []Change) {
	seen := map[string]bool{}
	for _, s := range slices.Backward(j.steps) {
		if s.revision <= after {
			break
		}
		for _, c := range slices.Backward(s.changes) {
			if !seen[c.Name] {
				seen[c.Name] = true
				list = append(list, c)
			}
		}
	}
	slices.Reverse(list)
	return list
}
