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
	// minBackoff and maxBackoff bound the mean back-off between retries of failed calls. The maximum is well below the
	// time within which a configuration must be in force, so that the end of an outage is detected in time.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// defaultWatchTimeout applies to followers without a watchTimeout.
	defaultWatchTimeout = 2500 * time.Millisecond
	// defaultSettleTime applies to followers without a settleTime.
	defaultSettleTime = 3 * time.Second
)

// follower lists and watches the objects of one kind and passes their changes to apply.
type follower[T any] struct {
	kind   string
	source Source[T]
	// watchTimeout is how long a watch waits for a change.
	watchTimeout time.Duration
	// timeout returns how long the next watch waits, in place of watchTimeout; it may be nil.
	timeout func() time.Duration
	// minInterval is the minimum time from the start of a successful call to the start of the next one. Changes made in between
	// are returned by the next call.
	minInterval time.Duration
	log         logr.Logger
	// apply is called after each successful call with the changed objects, possibly none; removed ones have Removed set.
	apply func(changes []Change[T])
	// onDisruption is called when the store has lost its history, when a call fails and the call before it did not, and when
	// calls succeed again. Calls that began before the given time may never get a response.
	onDisruption func(before time.Time)
	// onRestored is called when a list shows that the store was restored from a copy. It may be nil.
	onRestored func()
	// onLost and onRegained are called when a call fails and the call before it did not, and when calls succeed again. They may be nil.
	onLost, onRegained func()

	// settleTime is how long after the store was restored a list of it does not replace what is known. Writers write again within this time
	// what the store lost. Default defaultSettleTime.
	settleTime time.Duration

	revision uint64
	// revisions maps the name of each object to the revision that was applied last.
	revisions map[string]uint64
	// unreadable are the objects whose last change could not be decoded.
	unreadable unreadable
	// copyRevision is the revision of the first list after the last restore; an object with a later one was written since. settleAt is the end
	// of settleTime, zero once the objects have been listed after it.
	copyRevision uint64
	settleAt     time.Time
	// stepBegan is when the call began whose result is applied.
	stepBegan time.Time

	mu sync.Mutex
	// prompted is set if the next watch is to return at once.
	prompted bool
	// cancel ends the pending watch, nil if there is none; watchBegan is when that watch began.
	cancel     context.CancelFunc
	watchBegan time.Time
	// completeAt is the bootclock time up to which all changes are known, zero if no call has succeeded.
	completeAt time.Duration
	failedAt   time.Time
	// regainedAt is when a call succeeded after one that had failed, zero if that did not happen.
	regainedAt time.Time
}

// lastComplete returns the bootclock time up to which all changes are known, zero if no call has succeeded. It does not depend on when an answer
// arrived.
func (f *follower[T]) lastComplete() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.completeAt
}

// lastFailure returns when a call last failed, zero if never. A lost watch history and a cancelled watch do not count.
func (f *follower[T]) lastFailure() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failedAt
}

// regained returns when the store answered again after the last failed call, now if the present answer is the first one, and zero if no call has
// failed yet.
func (f *follower[T]) regained(now time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failedAt.After(f.regainedAt) {
		return now
	}
	return f.regainedAt
}

// run lists and watches the kind until ctx is done.
func (f *follower[T]) run(ctx context.Context) {
	f.revisions, f.unreadable = map[string]uint64{}, unreadable{}
	listed, down := false, false
	backoff := minBackoff
	// gaps is the number of lost histories in gapEra since the last successful watch or failed call.
	gaps, gapEra := 0, uint64(0)
	for ctx.Err() == nil {
		start := time.Now()
		f.stepBegan = start
		if f.settles(start) {
			listed = false
		}
		completeAt, err := f.step(ctx, listed, down)
		switch {
		case err == nil:
			f.recordSuccess(completeAt)
			if listed {
				gaps = 0
			}
			listed, backoff = true, minBackoff
			if down {
				down = false
				event.Info(f.log, event.StoreRegained, "kind", f.kind, "revision", f.revision)
				f.onDisruption(start)
				if f.onRegained != nil {
					f.onRegained()
				}
			}
			if remaining := f.minInterval - time.Since(start); remaining > 0 {
				sleep(ctx, remaining)
			}
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, context.Canceled):
			continue // restartWatch cancelled the watch.
		case errors.Is(err, platform.ErrWatchGap):
			event.Info(f.log, event.StoreHistoryLost, "kind", f.kind, "revision", f.revision)
			listed = false
			f.onDisruption(time.Now())
			if era := Era(f.revision); era != gapEra {
				gaps, gapEra = 0, era
			}
			if gaps++; gaps > 1 {
				sleep(ctx, maxBackoff/2+rand.N(maxBackoff))
			}
			continue
		}
		f.recordFailure()
		gaps = 0
		if !down {
			down = true
			f.onDisruption(time.Now())
			if f.onLost != nil {
				f.onLost()
			}
			event.Info(f.log, event.StoreLost, "kind", f.kind, "revision", f.revision, "reason", event.Shorten(err.Error()))
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// step makes one call and applies what it returned. It returns the bootclock time up to which that is complete.
func (f *follower[T]) step(ctx context.Context, listed, down bool) (completeAt time.Duration, err error) {
	began := bootclock.Now()
	if !listed {
		changes, revision, err := f.source.List(ctx)
		if err != nil {
			return 0, err
		}
		if revision < f.revision {
			return 0, errors.Newf("list revision decreased from %d to %d", f.revision, revision)
		}
		f.list(changes, revision, time.Now())
		return CompleteTime(f.source, began, 0, true), nil
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := cmp.Or(f.watchTimeout, defaultWatchTimeout)
	if f.timeout != nil {
		timeout = f.timeout()
	}
	if down {
		timeout = recoveryWatchTimeout
	}
	if !f.settleAt.IsZero() {
		timeout = min(timeout, max(recoveryWatchTimeout, time.Until(f.settleAt)))
	}
	if f.setWatch(cancel) {
		timeout = promptWatchTimeout
	}
	changes, revision, err := f.source.Watch(watchCtx, f.revision, timeout)
	f.setWatch(nil)
	if err != nil && watchCtx.Err() != nil {
		return 0, context.Canceled
	}
	if err != nil {
		return 0, err
	}
	if revision < f.revision {
		return 0, errors.Wrapf(platform.ErrWatchGap, "watch revision decreased from %d to %d", f.revision, revision)
	}
	completeAt = CompleteTime(f.source, began, timeout, len(changes) > 0)
	f.revision = revision
	f.update(changes)
	return completeAt, nil
}

// setWatch records the cancel function of the watch that begins now, nil when it has ended. prompted is set if the watch is to return at once.
func (f *follower[T]) setWatch(cancel context.CancelFunc) (prompted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel, f.watchBegan = cancel, time.Now()
	if cancel != nil {
		prompted, f.prompted = f.prompted, false
	}
	return prompted
}

// prompt makes the follower confirm its kind at once, by a call that begins from now on.
func (f *follower[T]) prompt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.prompted = true; f.cancel != nil {
		f.cancel()
	}
}

// restartWatch cancels the pending watch if it began before the given time. A store that lost its history may never respond to
// such a watch, and a disrupted network path may have lost its response; the watch that replaces it detects both. A cancelled
// watch does not count as a disruption, so followers cannot restart each other's watches endlessly.
func (f *follower[T]) restartWatch(before time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil && f.watchBegan.Before(before) {
		f.cancel()
	}
}

// settles reports whether the objects are to be listed now, since the time has passed in which writers write again what a restored store lost.
func (f *follower[T]) settles(now time.Time) bool {
	return !f.settleAt.IsZero() && !now.Before(f.settleAt)
}

// list applies a complete list. After a restore of the store, it does not replace what is known until settleTime has passed.
func (f *follower[T]) list(changes []Change[T], revision uint64, now time.Time) {
	if f.revision != 0 && Era(revision) > Era(f.revision) {
		f.copyRevision = revision
		f.settleAt = now.Add(cmp.Or(f.settleTime, defaultSettleTime))
		if f.onRestored != nil {
			f.onRestored()
		}
	}
	switch {
	case f.settleAt.IsZero():
		f.replace(changes, revision)
	case now.Before(f.settleAt):
		f.merge(changes, revision)
	default:
		f.settleAt = time.Time{}
		// Objects that were read from the copy and held back are applied now.
		for _, c := range changes {
			delete(f.revisions, c.Name)
		}
		f.replace(changes, revision)
	}
}

// merge applies a complete list of a store that has just been restored: what was written since as usual, and the rest as copied. Objects that
// were known before and are missing count as copied removals.
func (f *follower[T]) merge(changes []Change[T], revision uint64) {
	var written, copied []Change[T]
	listed := make(map[string]bool, len(changes))
	for _, c := range changes {
		listed[c.Name] = true
		if c.Revision > f.copyRevision {
			written = append(written, c)
			continue
		}
		if _, known := f.revisions[c.Name]; !known {
			f.revisions[c.Name] = c.Revision
		}
		c.Copied = true
		copied = append(copied, c)
	}
	for name, known := range f.revisions {
		switch {
		case listed[name]:
		case Era(known) < Era(revision):
			copied = append(copied, Change[T]{Name: name, Revision: known, Removed: true, Copied: true})
		default:
			written = append(written, Change[T]{Name: name, Revision: known, Removed: true})
		}
	}
	f.revision = revision
	f.apply(copied)
	f.update(written)
}

// replace applies a complete list: objects that are not in it have been removed.
func (f *follower[T]) replace(changes []Change[T], revision uint64) {
	listed := make(map[string]bool, len(changes))
	for _, c := range changes {
		listed[c.Name] = true
	}
	for name, known := range f.revisions {
		if !listed[name] && known <= revision {
			changes = append(changes, Change[T]{Name: name, Revision: known, Removed: true})
		}
	}
	f.revision = revision
	f.update(changes)
}

// update applies the changes whose revision is later than the known one, and the removals whose revision is not earlier.
func (f *follower[T]) update(changes []Change[T]) {
	newer := changes[:0]
	for _, c := range changes {
		known, ok := f.revisions[c.Name]
		switch {
		case c.Removed && (!ok || c.Revision < known):
			continue
		case c.Removed:
			delete(f.revisions, c.Name)
		case ok && c.Revision <= known:
			if c.Revision < known {
				event.Info(f.log, event.ChangeIgnored, "kind", f.kind, "name", c.Name, "revision", c.Revision, "known", known)
			}
			continue
		default:
			f.revisions[c.Name] = c.Revision
		}
		f.unreadable.observe(f.log, f.kind, c.Name, c.Revision, c.Err)
		newer = append(newer, c)
	}
	f.apply(newer)
}

// recordSuccess records a successful call and the bootclock time up to which its result is complete.
func (f *follower[T]) recordSuccess(completeAt time.Duration) {
	f.mu.Lock()
	f.completeAt = max(f.completeAt, completeAt, 1) // not zero, even on a machine that has just booted
	if f.failedAt.After(f.regainedAt) {
		f.regainedAt = time.Now()
	}
	f.mu.Unlock()
}

func (f *follower[T]) recordFailure() {
	f.mu.Lock()
	f.failedAt = time.Now()
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
