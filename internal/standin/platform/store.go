package platform

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/process/platform"
)

const (
	// DefaultWindow is the default of Store.Window.
	DefaultWindow = 4096
	// maxHistoryBytes bounds the values in the history.
	maxHistoryBytes = 32 << 20
	// maxWatchBytes bounds the values in one watch response.
	maxWatchBytes = 4 << 20
)

type key struct{ kind, name string }

// Store is a versioned object store in memory. Its zero value is empty and ready to use. It is safe for concurrent use.
type Store struct {
	// Window is the maximum number of changes of all kinds in the history that watches read. Default DefaultWindow. Set before use.
	Window int

	mu           sync.Mutex
	objects      map[key]platform.Object
	revision     uint64
	history      []platform.Event
	historyBytes int
	// trimmedRevision is the revision of the latest change that was removed from the history.
	trimmedRevision uint64
	changed         map[string]chan struct{} // by kind, closed at the next change
	instances       []platform.Instance
}

// Get returns an object or platform.ErrNotFound.
func (s *Store) Get(kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[key{kind, name}]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	obj.Value = slices.Clone(obj.Value)
	return obj, nil
}

// Put stores an object if its current version is obj.Version, which is 0 for a new object, and returns the new version:
// the revision of the change. The error is platform.ErrTooLarge if the value exceeds platform.MaxValueBytes, and otherwise
// platform.ErrConflict if the current version is another one.
func (s *Store) Put(obj platform.Object) (version uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(obj.Value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	k := key{obj.Kind, obj.Name}
	if s.objects[k].Version != obj.Version {
		return 0, platform.ErrConflict
	}
	obj.Value = slices.Clone(obj.Value)
	obj.Version = s.revision + 1
	if s.objects == nil {
		s.objects = map[key]platform.Object{}
	}
	s.objects[k] = obj
	s.record(platform.Event{Object: obj})
	return obj.Version, nil
}

// Delete removes an object if it has the given version. The error is platform.ErrNotFound if the object does not exist and
// platform.ErrConflict if it has another version.
func (s *Store) Delete(kind, name string, version uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{kind, name}
	obj, ok := s.objects[k]
	if !ok {
		return platform.ErrNotFound
	}
	if obj.Version != version {
		return platform.ErrConflict
	}
	delete(s.objects, k)
	obj.Value, obj.Version = nil, s.revision+1
	s.record(platform.Event{Object: obj, Deleted: true})
	return nil
}

// record appends a change to the history, trims the history to its bounds and wakes the watches of the kind.
func (s *Store) record(e platform.Event) {
	s.revision++
	e.Revision = s.revision
	s.history = append(s.history, e)
	s.historyBytes += len(e.Object.Value)
	window := s.Window
	if window == 0 {
		window = DefaultWindow
	}
	for len(s.history) > window || s.historyBytes > maxHistoryBytes {
		s.historyBytes -= len(s.history[0].Object.Value)
		s.trimmedRevision = s.history[0].Revision
		s.history[0] = platform.Event{}
		s.history = s.history[1:]
	}
	if ch := s.changed[e.Object.Kind]; ch != nil {
		close(ch)
		delete(s.changed, e.Object.Kind)
	}
}

// List returns the objects of a kind whose names have the prefix, sorted by name and without values.
func (s *Store) List(kind, prefix string) []platform.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := []platform.Object{}
	for k, obj := range s.objects {
		if k.kind == kind && strings.HasPrefix(k.name, prefix) {
			obj.Value = nil
			objects = append(objects, obj)
		}
	}
	slices.SortFunc(objects, func(a, b platform.Object) int { return strings.Compare(a.Name, b.Name) })
	return objects
}

// Watch waits until there are changes of a kind after a revision, and returns them with the revision to continue from.
// If there are none within the wait it returns no events. If the history lacks changes after the given revision, or the
// store has not reached that revision, it returns the current revision and platform.ErrWatchGap. If ctx is done first, it
// returns the error of ctx.
func (s *Store) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (
	events []platform.Event, revision uint64, err error,
) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, revision, changed, err := s.since(kind, after)
		if err != nil || len(events) > 0 {
			return events, revision, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, revision, errors.WithStack(ctx.Err())
		}
	}
}

// since returns the changes of a kind after a revision and the revision to continue from. It limits the values to
// maxWatchBytes, except for a single change. If there are no changes, the channel is closed at the next one.
func (s *Store) since(kind string, after uint64) (
	events []platform.Event, revision uint64, changed <-chan struct{}, err error,
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.trimmedRevision || after > s.revision {
		return nil, s.revision, nil, platform.ErrWatchGap
	}
	size := 0
	for _, e := range s.history {
		if e.Revision <= after || e.Object.Kind != kind {
			continue
		}
		if size += len(e.Object.Value); size > maxWatchBytes && len(events) > 0 {
			return events, events[len(events)-1].Revision, nil, nil
		}
		e.Object.Value = slices.Clone(e.Object.Value)
		events = append(events, e)
	}
	if s.changed == nil {
		s.changed = map[string]chan struct{}{}
	}
	if s.changed[kind] == nil {
		s.changed[kind] = make(chan struct{})
	}
	return events, s.revision, s.changed[kind], nil
}

// Revision returns the revision of the latest change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Instances returns the list of instances.
func (s *Store) Instances() []platform.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]platform.Instance{}, s.instances...)
}

// SetInstances replaces the list of instances. The list of the real platform lags behind; a test simulates that by
// calling SetInstances late.
func (s *Store) SetInstances(instances []platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = slices.Clone(instances)
}
