package registry

import (
	"context"
	"encoding/json"
	"time"

	"primrosecourse/internal/process/bootclock"
)

// Change is the current state of one object, or its removal. Revisions contain the era of the store, see EraSize.
type Change[T any] struct {
	Name     string
	Revision uint64
	Removed  bool
	// Copied is set by the follower if the object, or that there is none, was read from a store that had just been restored from a copy. What
	// was known before may be newer.
	Copied bool
	Value  T
	// Err is the reason why the object could not be decoded, if any; Value is then not valid.
	Err error
}

// Source reads one kind of object. The errors of sources and objects are those of package platform.
type Source[T any] interface {
	// List returns all objects, and a revision from which Watch reports every later change.
	List(ctx context.Context) (changes []Change[T], revision uint64, err error)
	// Watch returns the changes after a revision, and the revision from which to continue. It waits at most the given time for
	// the first change. Errors: ErrWatchGap if the store no longer has the history.
	Watch(ctx context.Context, after uint64, wait time.Duration) (changes []Change[T], revision uint64, err error)
}

// dated is a source that states up to when its last result was complete. A source that calls the store knows best how long that waited, and one
// that reads through another gateway how old the result was.
type dated interface {
	// CompleteAt returns the bootclock time up to which the last result had all changes, false if that is not known.
	CompleteAt() (at time.Duration, ok bool)
}

// CompleteTime returns the bootclock time up to which the last result of a source had all changes: what it states, or CompleteAt.
func CompleteTime[T any](source Source[T], began, wait time.Duration, changed bool) time.Duration {
	if d, ok := source.(dated); ok {
		if at, ok := d.CompleteAt(); ok {
			return at
		}
	}
	return CompleteAt(began, wait, changed)
}

// CompleteAt returns the bootclock time up to which the answer to a call that began at began had all changes, the only one that is certain: the
// answer may have been on its way, and its reader suspended, for any time. changed reports whether it has any changes; without them, it was
// given after wait.
func CompleteAt(began, wait time.Duration, changed bool) time.Duration {
	if end := began + wait; !changed && end <= bootclock.Now() {
		return end
	}
	return began
}

// Objects reads and writes the objects that gateways share.
type Objects interface {
	Source[json.RawMessage]
	// Get returns an object and its revision. Errors: ErrNotFound.
	Get(ctx context.Context, name string) (value json.RawMessage, revision uint64, err error)
	// Put writes an object if it still has the given revision, 0 for an object that does not exist, and returns its new
	// revision. Errors: ErrConflict.
	Put(ctx context.Context, name string, revision uint64, value any) (next uint64, err error)
	// Delete removes an object if it still has the given revision.
	Delete(ctx context.Context, name string, revision uint64) error
}
