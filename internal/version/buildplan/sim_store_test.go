package buildplan_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/version/registry"
)

// callLimit is the time after which a call without an answer fails.
const callLimit = 2 * time.Second

// kind is one kind of object in the platform's store, with its history.
type kind[T any] struct {
	mu       sync.Mutex
	objects  map[string]registry.Change[T]
	history  []registry.Change[T]
	revision uint64
	changed  chan struct{}
}

func newKind[T any]() *kind[T] {
	return &kind[T]{objects: map[string]registry.Change[T]{}, revision: registry.EraSize, changed: make(chan struct{})}
}

// write applies a change if the object still has a revision, 0 for none.
func (k *kind[T]) write(revision uint64, c registry.Change[T]) (next uint64, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := k.objects[c.Name].Revision
	if c.Removed && known == 0 {
		return 0, platform.ErrNotFound
	}
	if known%registry.EraSize != revision%registry.EraSize {
		return 0, platform.ErrConflict
	}
	k.apply(c)
	return k.revision, nil
}

// set applies a change without a condition.
func (k *kind[T]) set(c registry.Change[T]) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.apply(c)
}

// apply applies a change. The caller must hold mu.
func (k *kind[T]) apply(c registry.Change[T]) {
	k.revision++
	c.Revision = k.revision
	k.objects[c.Name] = c
	if c.Removed {
		delete(k.objects, c.Name)
	}
	k.history = append(k.history, c)
	close(k.changed)
	k.changed = make(chan struct{})
}

// after returns the changes after a revision, the present revision, and a channel that is closed at the next change.
func (k *kind[T]) after(revision uint64) (changes []registry.Change[T], present uint64, changed <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	i := sort.Search(len(k.history), func(i int) bool { return k.history[i].Revision > revision })
	return append(changes, k.history[i:]...), k.revision, k.changed
}

func (k *kind[T]) list() (changes []registry.Change[T], revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.objects {
		changes = append(changes, c)
	}
	return changes, k.revision
}

// condition is that of the way from a gateway to the store.
type condition uint8

const (
	reachable condition = iota
	// slow means that answers come late, refusing that calls fail, and silent that neither calls nor answers arrive.
	slow
	refusing
	silent
)

// path is the way from one process of a gateway to the store.
type path struct {
	mu        sync.Mutex
	random    *rand.Rand
	condition condition
	// late is set while some writes take effect seconds later, without an answer.
	late bool
	// stillUntil is until when the process stands still.
	stillUntil time.Time
}

func (p *path) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// between draws a time.
func (p *path) between(low, high time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return low + time.Duration(p.random.Int64N(int64(high-low)))
}

func (p *path) state() (c condition, isLate bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.condition, p.late && p.random.IntN(3) == 0
}

// stand waits while the process stands still.
func (p *path) stand() {
	for {
		p.mu.Lock()
		wait := time.Until(p.stillUntil)
		p.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// pass fails, after the time that this takes, if neither a call nor an answer passes now.
func (p *path) pass(ctx context.Context, limit time.Duration) error {
	switch c, _ := p.state(); c {
	case refusing:
		time.Sleep(5 * time.Millisecond)
		return platform.ErrUnavailable
	case silent:
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(limit):
			return platform.ErrUncertain
		}
	case slow:
		time.Sleep(p.between(50*time.Millisecond, 900*time.Millisecond))
	}
	return nil
}

// do makes a call over a path.
func (p *path) do(ctx context.Context, isWrite bool, call func()) error {
	p.stand()
	defer p.stand()
	if err := p.pass(ctx, callLimit); err != nil {
		return err
	}
	if _, late := p.state(); late && isWrite {
		time.AfterFunc(p.between(time.Second, 6*time.Second), call)
		time.Sleep(callLimit)
		return platform.ErrUncertain
	}
	time.Sleep(p.between(time.Millisecond, 8*time.Millisecond))
	call()
	return p.pass(ctx, callLimit)
}

// reader is a kind as a gateway reads it. It implements registry.Source.
type reader[T any] struct {
	*kind[T]
	path *path
	// clone returns a copy of an object, since each process changes its own; nil if objects are not changed.
	clone func(T) T
}

// own returns changes that a process may keep.
func (r reader[T]) own(changes []registry.Change[T]) []registry.Change[T] {
	if r.clone != nil {
		for i := range changes {
			if !changes[i].Removed {
				changes[i].Value = r.clone(changes[i].Value)
			}
		}
	}
	return changes
}

func (r reader[T]) List(ctx context.Context) (changes []registry.Change[T], revision uint64, err error) {
	err = r.path.do(ctx, false, func() { changes, revision = r.list() })
	if err != nil {
		return nil, 0, err
	}
	return r.own(changes), revision, nil
}

func (r reader[T]) Watch(ctx context.Context, after uint64, wait time.Duration) ([]registry.Change[T], uint64, error) {
	r.path.stand()
	if err := r.path.pass(ctx, wait+time.Second); err != nil {
		return nil, 0, err
	}
	deadline := time.After(wait)
	for {
		changes, revision, changed := r.after(after)
		if len(changes) == 0 {
			select {
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			case <-deadline:
			case <-changed:
				continue
			}
		}
		if err := r.path.pass(ctx, time.Second); err != nil {
			return nil, 0, err
		}
		r.path.stand()
		return r.own(changes), revision, nil
	}
}

// writer is a kind as a gateway reads and writes it. It implements registry.Objects.
type writer struct{ reader[json.RawMessage] }

func (w writer) Get(ctx context.Context, name string) (value json.RawMessage, revision uint64, err error) {
	var result error
	err = w.path.do(ctx, false, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		c, ok := w.objects[name]
		value, revision = c.Value, c.Revision
		if !ok {
			revision, result = registry.Era(w.revision)*registry.EraSize, platform.ErrNotFound
		}
	})
	if err == nil {
		err = result
	}
	return value, revision, err
}

// outcome is that of a write, which may take effect after its call has failed.
type outcome struct {
	next uint64
	err  error
}

func (w writer) write(ctx context.Context, revision uint64, c registry.Change[json.RawMessage]) (next uint64, err error) {
	done := make(chan outcome, 1)
	err = w.path.do(ctx, true, func() {
		next, err := w.kind.write(revision, c)
		done <- outcome{next, err}
	})
	if err != nil {
		return 0, err
	}
	o := <-done
	return o.next, o.err
}

func (w writer) Put(ctx context.Context, name string, revision uint64, value any) (uint64, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	return w.write(ctx, revision, registry.Change[json.RawMessage]{Name: name, Value: encoded})
}

func (w writer) Delete(ctx context.Context, name string, revision uint64) error {
	_, err := w.write(ctx, revision, registry.Change[json.RawMessage]{Name: name, Removed: true})
	return err
}
