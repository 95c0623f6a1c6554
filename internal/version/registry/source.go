package registry

import (
	"context"
	"encoding/json"
	"time"
)

// Change is the present state of one object, or its removal.
type Change[T any] struct {
	Name     string
	Revision uint64
	Removed  bool
	Value    T
	// Err tells why the object could not be read; Value is then not valid.
	Err error
}

// Source reads one kind of object. The errors of sources and objects are those of package platform.
type Source[T any] interface {
	// List returns all objects, and a revision from which Watch reports every later change.
	List(ctx context.Context) (changes []Change[T], revision uint64, err error)
	// Watch returns the changes after a revision, waiting for the first one, and the revision to go on from. Errors: ErrWatchGap
	// if the history is gone.
	Watch(ctx context.Context, after uint64, wait time.Duration) (changes []Change[T], revision uint64, err error)
}

// Objects are the objects that gateways share.
type Objects interface {
	Source[json.RawMessage]
	// Get returns an object and its revision. Errors: ErrNotFound.
	Get(ctx context.Context, name string) (value json.RawMessage, revision uint64, err error)
	// Put writes an object that still has the revision, 0 for one that does not exist. Errors: ErrConflict.
	Put(ctx context.Context, name string, revision uint64, value any) (next uint64, err error)
	// Delete removes an object that still has the revision.
	Delete(ctx context.Context, name string, revision uint64) error
}
