package config

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/platform"
)

const (
	// watchWait bounds how long a version stays unconfirmed while the platform is well. The watchers of 26 failure
	// domains renew their watches 10 times a second in all.
	watchWait = 5 * time.Second
	// silence is the time without a heartbeat after which the platform is read directly.
	silence = 2 * peerHeartbeat
	// directJitter spreads the first direct reads of the 400 processes of a failure domain over time.
	directJitter = 2 * time.Second
	// directInterval is the time between direct reads of one process. 11,300 processes that all lost their peers read
	// the platform 1,400 times a second, below the 2,000 that it bears.
	directInterval = 8 * time.Second
	// readTimeout bounds a read of the platform, which answers in milliseconds when it is well.
	readTimeout = 2 * time.Second

	maxBackoff = 10 * time.Second
	// maxWatchBackoff is short, since every change waits for the watchers after an outage, and they are few.
	maxWatchBackoff = time.Second
)

// followPlatform reads the platform until the tracker is ready, and then watches it or stands by.
func (t *Tracker) followPlatform(ctx context.Context) {
	t.bootstrap(ctx)
	var direct directReads
	for ctx.Err() == nil {
		if t.watching() {
			event.Info(t.Log, event.ConfigWatching, "watching", true)
			t.watch(ctx)
			event.Info(t.Log, event.ConfigWatching, "watching", false)
		} else {
			t.standBy(ctx, &direct)
		}
	}
}

func (t *Tracker) watching() bool {
	s := t.Current()
	return s != nil && t.IsEntry && watches(s.Deployment, t.Name, t.FailureDomain)
}

// bootstrap reads the platform until the tracker is ready.
func (t *Tracker) bootstrap(ctx context.Context) {
	b := platform.Backoff{Limit: maxBackoff}
	for t.Current() == nil && ctx.Err() == nil {
		_, err := t.read(ctx)
		t.mu.Lock()
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			t.answered = true
		} else {
			t.failed = true
		}
		t.checkReady()
		t.mu.Unlock()
		b.Wait(ctx, t.Ready())
	}
}

// read reads the configuration, takes it if it is higher and returns its version. It logs its failure.
func (t *Tracker) read(ctx context.Context) (version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked, held := time.Now(), t.holds()
	obj, err := t.Platform.Get(ctx, Kind, Name)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			event.Info(t.Log, event.ConfigReadFailed, "reason", err.Error())
		}
		return 0, err
	}
	if held != nil && obj.Version < held.Version {
		event.Error(t.Log, nil, event.ConfigPlatformOlder, "version", held.Version, "platformVersion", obj.Version)
	}
	if _, err = t.take(obj.Version, obj.Value, "platform"); err != nil {
		return 0, err
	}
	t.confirm(obj.Version, asked)
	return obj.Version, nil
}

// watch follows the changes of the configuration until the process is no watcher any more or ctx is done.
func (t *Tracker) watch(ctx context.Context) {
	b := platform.Backoff{Limit: maxWatchBackoff}
	var current uint64
	// No change has this revision: the first watch tells the current one and transfers no history.
	revision := uint64(math.MaxUint64)
	// behind is true while changes may have been missed.
	behind := true
	for ctx.Err() == nil && t.watching() {
		if behind {
			_, latest, err := t.Platform.Watch(ctx, Kind, revision, 0)
			if err == nil || errors.Is(err, platform.ErrWatchGap) {
				revision = latest
				current, err = t.readCurrent(ctx)
			}
			if behind = err != nil; behind {
				b.Wait(ctx, nil)
				continue
			}
		}
		events, latest, err := t.Platform.Watch(ctx, Kind, revision, watchWait)
		switch {
		case errors.Is(err, platform.ErrWatchGap):
			event.Info(t.Log, event.ConfigWatchGap, "after", revision, "revision", latest)
			revision, behind = latest, true
			// A platform that answers every watch with a gap is not asked without pause.
			b.Wait(ctx, nil)
		case err != nil:
			if ctx.Err() == nil {
				event.Info(t.Log, event.ConfigReadFailed, "reason", err.Error())
			}
			b.Wait(ctx, nil)
		default:
			b.Reset()
			revision = latest
			for _, e := range events {
				if e.Object.Name == Name && !e.Deleted {
					current = e.Object.Version
					_, _ = t.take(current, e.Object.Value, "watch")
				}
			}
			t.confirm(current, time.Now())
		}
	}
}

// readCurrent reads the configuration and returns its version. Without a valid configuration the version is 0, which is
// no error, since reading again gives the same.
func (t *Tracker) readCurrent(ctx context.Context) (version uint64, err error) {
	if version, err = t.read(ctx); err == nil {
		return version, nil
	}
	if platform.Retryable(err) || ctx.Err() != nil {
		return 0, err
	}
	return 0, nil
}

// directReads is the budget of direct reads. It outlasts changes of the configuration.
type directReads struct{ next time.Time }

// standBy reads the platform only while no peer sends heartbeats. It returns when the configuration changed.
func (t *Tracker) standBy(ctx context.Context, direct *directReads) {
	changed := t.Changed()
	if t.watching() {
		return
	}
	for {
		heard := t.lastHeard()
		if due := heard.Add(silence); direct.next.Before(due) {
			direct.next = due.Add(jitter(directJitter))
		}
		timer := time.NewTimer(time.Until(direct.next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
			timer.Stop()
			return
		case <-timer.C:
		}
		if time.Since(t.lastHeard()) < silence {
			continue
		}
		event.Info(t.Log, event.ConfigDirectRead, "silence", time.Since(heard).String())
		direct.next = time.Now().Add(directInterval*3/4 + jitter(directInterval/2))
		_, _ = t.read(ctx)
	}
}

func (t *Tracker) lastHeard() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heard
}

// jitter returns a random time below d.
func jitter(d time.Duration) time.Duration { return rand.N(d) }
