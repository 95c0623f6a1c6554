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
	// watchWait is the time after which a watch without changes returns. It limits the time between confirmations of
	// the version while the platform is healthy. The watchers of 26 failure domains together renew 10 watches a second.
	watchWait = 5 * time.Second
	// heartbeatTimeout is the time without a peer heartbeat after which the process reads the platform directly.
	heartbeatTimeout = 2 * peerHeartbeat
	// directReadJitter spreads the first direct reads of the roughly 435 processes of a failure domain over time.
	directReadJitter = 2 * time.Second
	// directReadInterval is the mean time between direct reads of one process. If all 11,300 processes lose their
	// peers, they read the platform 1,400 times a second; it can serve 2,000 reads a second.
	directReadInterval = 8 * time.Second
	// readTimeout limits a read of the platform, which responds within milliseconds when healthy.
	readTimeout = 2 * time.Second

	maxBackoff = 10 * time.Second
	// maxWatchBackoff is short because every change after an outage waits for the watchers to reconnect. The watchers
	// are few, so their retries add little load.
	maxWatchBackoff = time.Second
)

// followPlatform reads the platform until the tracker is ready. Until ctx is done it then watches the platform if the
// process is a watcher, and otherwise stands by for direct reads.
func (t *Tracker) followPlatform(ctx context.Context) {
	t.bootstrap(ctx)
	var schedule directReadSchedule
	for ctx.Err() == nil {
		if t.shouldWatch() {
			event.Info(t.Log, event.ConfigWatching, "watching", true)
			t.watch(ctx)
			event.Info(t.Log, event.ConfigWatching, "watching", false)
		} else {
			t.standBy(ctx, &schedule)
		}
	}
}

// shouldWatch reports whether the process is a watcher according to the configuration in force.
func (t *Tracker) shouldWatch() bool {
	s := t.Current()
	return s != nil && t.IsEntry && isWatcher(s.Deployment, t.Name, t.FailureDomain)
}

// bootstrap reads the platform, with back-off, until the tracker is ready or ctx is done.
func (t *Tracker) bootstrap(ctx context.Context) {
	b := platform.Backoff{Limit: maxBackoff}
	for t.Current() == nil && ctx.Err() == nil {
		_, err := t.readPlatform(ctx)
		t.mu.Lock()
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			t.platformResponded = true
		} else {
			t.platformFailed = true
		}
		t.checkReady()
		t.mu.Unlock()
		b.Wait(ctx, t.Ready())
	}
}

// readPlatform reads the configuration, applies it if its version is higher than the latest one, and returns the
// version that it read. Failed reads are logged.
func (t *Tracker) readPlatform(ctx context.Context) (version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	startedAt, latest := time.Now(), t.latestSnapshot()
	obj, err := t.Platform.Get(ctx, ObjectKind, ObjectName)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			event.Info(t.Log, event.ConfigReadFailed, "reason", err.Error())
		}
		return 0, err
	}
	if latest != nil && obj.Version < latest.Version {
		event.Error(t.Log, nil, event.ConfigPlatformOlder, "version", latest.Version, "platformVersion", obj.Version)
	}
	if _, err = t.applyContent(obj.Version, obj.Value, "platform"); err != nil {
		return 0, err
	}
	t.confirm(obj.Version, startedAt)
	return obj.Version, nil
}

// watch applies configuration changes from the platform until the process is no longer a watcher or ctx is done.
func (t *Tracker) watch(ctx context.Context) {
	b := platform.Backoff{Limit: maxWatchBackoff}
	var currentVersion uint64
	// No revision is this high, so the first watch fails with ErrWatchGap and returns the current revision.
	revision := uint64(math.MaxUint64)
	// needsRead is true while changes may have been missed, so that the configuration must be read.
	needsRead := true
	for ctx.Err() == nil && t.shouldWatch() {
		if needsRead {
			_, latestRevision, err := t.Platform.Watch(ctx, ObjectKind, revision, 0)
			if err == nil || errors.Is(err, platform.ErrWatchGap) {
				revision = latestRevision
				currentVersion, err = t.readCurrent(ctx)
			}
			if needsRead = err != nil; needsRead {
				b.Wait(ctx, nil)
				continue
			}
		}
		events, latestRevision, err := t.Platform.Watch(ctx, ObjectKind, revision, watchWait)
		switch {
		case errors.Is(err, platform.ErrWatchGap):
			event.Info(t.Log, event.ConfigWatchGap, "after", revision, "revision", latestRevision)
			revision, needsRead = latestRevision, true
			// The back-off prevents a busy loop if the platform responds to every watch with a gap.
			b.Wait(ctx, nil)
		case err != nil:
			if ctx.Err() == nil {
				event.Info(t.Log, event.ConfigReadFailed, "reason", err.Error())
			}
			b.Wait(ctx, nil)
		default:
			b.Reset()
			revision = latestRevision
			for _, e := range events {
				if e.Object.Name == ObjectName && !e.Deleted {
					currentVersion = e.Object.Version
					_, _ = t.applyContent(currentVersion, e.Object.Value, "watch")
				}
			}
			t.confirm(currentVersion, time.Now())
		}
	}
}

// readCurrent reads the configuration and returns its version. It returns version 0 without an error if the
// configuration is missing or invalid, because another read would give the same result.
func (t *Tracker) readCurrent(ctx context.Context) (version uint64, err error) {
	if version, err = t.readPlatform(ctx); err == nil {
		return version, nil
	}
	if platform.Retryable(err) || ctx.Err() != nil {
		return 0, err
	}
	return 0, nil
}

// directReadSchedule holds the earliest time of the next direct read. It is kept across calls of standBy, so that
// configuration changes do not increase the read rate.
type directReadSchedule struct{ next time.Time }

// standBy reads the platform only while no peer sends heartbeats. It returns when the configuration changes, when the
// process is a watcher, or when ctx is done.
func (t *Tracker) standBy(ctx context.Context, schedule *directReadSchedule) {
	changed := t.Changed()
	if t.shouldWatch() {
		return
	}
	for {
		last := t.lastHeartbeat()
		if due := last.Add(heartbeatTimeout); schedule.next.Before(due) {
			schedule.next = due.Add(jitter(directReadJitter))
		}
		timer := time.NewTimer(time.Until(schedule.next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
			timer.Stop()
			return
		case <-timer.C:
		}
		if time.Since(t.lastHeartbeat()) < heartbeatTimeout {
			continue
		}
		event.Info(t.Log, event.ConfigDirectRead, "silence", time.Since(last).String())
		schedule.next = time.Now().Add(directReadInterval*3/4 + jitter(directReadInterval/2))
		_, _ = t.readPlatform(ctx)
	}
}

// lastHeartbeat returns when a peer last sent a push with a version other than 0, or the start of Run if none did.
func (t *Tracker) lastHeartbeat() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heartbeatAt
}

// jitter returns a random duration in [0, d).
func jitter(d time.Duration) time.Duration { return rand.N(d) }
