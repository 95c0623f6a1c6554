package registry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/bootclock"
	"primrosecourse/internal/process/platform"
)

const (
	// firstRetry and lastRetry bound the time between two calls of a store that fails. The last one lies well below the
	// time within which a configuration must be in force, so that the end of an outage is seen in time.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 800 * time.Millisecond
	// defaultWait is how long a watch waits if the follower states no time.
	defaultWait = 2500 * time.Millisecond
)

// follower keeps the objects of one kind current.
type follower[T any] struct {
	kind   string
	source Source[T]
	// wait is how long a watch waits for a change.
	wait time.Duration
	// pace is the least time between two calls. Changes in between come with the next call.
	pace time.Duration
	log  logr.Logger
	// apply takes changed objects; removed ones have Removed set.
	apply func(changes []Change[T])
	// disturbed is called when the store lost history, when a call failed after others had worked, and when calls work again. What
	// was asked before the given time may stay without an answer.
	disturbed func(before time.Time)

	revision uint64
	known    map[string]uint64

	mu sync.Mutex
	// cancel ends the watch that is waiting, nil if there is none; begun is when it began.
	cancel context.CancelFunc
	begun  time.Time
	// contact is measured by the clock that goes on while the machine is suspended.
	contact time.Duration
	trouble time.Time
}

// lastContact returns when the store last answered, as time since the start of the machine; zero if never.
func (f *follower[T]) lastContact() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contact
}

// lastTrouble returns when a call last failed, zero if never.
func (f *follower[T]) lastTrouble() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.trouble
}

// run follows the kind until ctx is done.
func (f *follower[T]) run(ctx context.Context) {
	f.known = map[string]uint64{}
	listed, down := false, false
	pause := firstRetry
	for ctx.Err() == nil {
		begun := time.Now()
		err := f.step(ctx, listed, down)
		switch {
		case err == nil:
			f.answered()
			listed, pause = true, firstRetry
			if down {
				down = false
				event.Info(f.log, event.StoreRegained, "kind", f.kind, "revision", f.revision)
				f.disturbed(begun)
			}
			if rest := f.pace - time.Since(begun); rest > 0 {
				sleep(ctx, rest)
			}
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, context.Canceled):
			continue // It was renewed.
		case errors.Is(err, platform.ErrWatchGap):
			event.Info(f.log, event.StoreHistoryLost, "kind", f.kind, "revision", f.revision)
			listed = false
			f.disturbed(time.Now())
			continue
		}
		f.failed()
		if !down {
			down = true
			f.disturbed(time.Now())
			event.Info(f.log, event.StoreLost, "kind", f.kind, "revision", f.revision, "reason", err.Error())
		}
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, lastRetry)
	}
}

// step makes one call and applies what it returned.
func (f *follower[T]) step(ctx context.Context, listed, down bool) error {
	if !listed {
		changes, revision, err := f.source.List(ctx)
		if err != nil {
			return err
		}
		if revision < f.revision {
			return errors.Newf("list went back from revision %d to %d", f.revision, revision)
		}
		f.replace(changes, revision)
		return nil
	}
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := cmp.Or(f.wait, defaultWait)
	if down {
		wait = brokenWait
	}
	f.waiting(cancel)
	changes, revision, err := f.source.Watch(watch, f.revision, wait)
	f.waiting(nil)
	if err != nil && watch.Err() != nil {
		return context.Canceled
	}
	if err != nil {
		return err
	}
	if revision < f.revision {
		return errors.Wrapf(platform.ErrWatchGap, "watch went back from revision %d to %d", f.revision, revision)
	}
	f.revision = revision
	f.update(changes)
	return nil
}

func (f *follower[T]) waiting(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel, f.begun = cancel, time.Now()
}

// renew ends the watch that is waiting if it began before the given time, so that the next one finds out whether it would still
// be told of changes: a store that lost its history may leave watches without an answer, and on a path that was disturbed
// answers may have been lost. Followers cannot renew each other for ever: a renewal alone is no disturbance.
func (f *follower[T]) renew(before time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil && f.begun.Before(before) {
		f.cancel()
	}
}

// replace takes a whole list: objects that it lacks are gone.
func (f *follower[T]) replace(changes []Change[T], revision uint64) {
	listed := make(map[string]bool, len(changes))
	for _, c := range changes {
		listed[c.Name] = true
	}
	for name, at := range f.known {
		if !listed[name] && at <= revision {
			changes = append(changes, Change[T]{Name: name, Revision: at, Removed: true})
		}
	}
	f.revision = revision
	f.update(changes)
}

func (f *follower[T]) update(changes []Change[T]) {
	fresh := changes[:0]
	for _, c := range changes {
		at, ok := f.known[c.Name]
		switch {
		case c.Removed && (!ok || c.Revision < at):
			continue
		case c.Removed:
			delete(f.known, c.Name)
		case ok && c.Revision <= at:
			continue
		default:
			f.known[c.Name] = c.Revision
		}
		if c.Err != nil {
			event.Info(f.log, event.ObjectUnreadable, "kind", f.kind, "name", c.Name, "revision", c.Revision,
				"reason", c.Err.Error())
		}
		fresh = append(fresh, c)
	}
	f.apply(fresh)
}

func (f *follower[T]) answered() {
	f.mu.Lock()
	f.contact = bootclock.Now()
	f.mu.Unlock()
}

func (f *follower[T]) failed() {
	f.mu.Lock()
	f.trouble = time.Now()
	f.mu.Unlock()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
