package forward

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/site"
)

// Marks records requests that crashed endpoints in a place that all gateways read, and which Snapshot.Marks shows. registry.Registry
// implements it.
type Marks interface {
	// RecordCrash adds what m holds to the mark of the request with a fingerprint.
	RecordCrash(ctx context.Context, fingerprint uint64, m site.Mark) error
}

const (
	// crashLimit is the number of crashed endpoints at which a request is quarantined.
	crashLimit = 2
	// markTimeout bounds the writes of the marks that are due at the same time.
	markTimeout = 2 * time.Second
	// markRetention is how long a crash that this gateway saw counts, however long its mark cannot be written.
	markRetention = 15 * time.Minute
	// maxOwnMarks bounds the marks that are not yet visible in the shared ones.
	maxOwnMarks = 1024
)

// RequestWatch knows which requests crashed endpoints, by their fingerprints: from the shared marks, and from the crashes that this gateway
// saw itself. The latter count at once, and until the shared marks show them, so that a store that is away changes nothing at this
// gateway. Its exported fields must be set before the first call. The methods that requests use accept a nil receiver, which knows only
// the shared marks.
type RequestWatch struct {
	Marks Marks
	Log   logr.Logger

	initOnce sync.Once
	done     chan struct{}
	// wake has an element if Run should look for marks that are due.
	wake chan struct{}
	// ownCount is the number of own marks, so that requests need not lock mu while there are none.
	ownCount atomic.Int32

	mu  sync.Mutex
	own map[uint64]*ownMark
}

// ownMark is what this gateway saw of a request's crashes and the shared marks may not show yet.
type ownMark struct {
	ownWrite
	mark site.Mark
	// request is the ID of the last of these requests, seenAt the time of its crash.
	request string
	seenAt  time.Time
}

func (w *RequestWatch) init() {
	w.initOnce.Do(func() {
		w.done, w.wake, w.own = make(chan struct{}), make(chan struct{}, 1), map[uint64]*ownMark{}
	})
}

// Done is closed when Run has ended.
func (w *RequestWatch) Done() <-chan struct{} {
	w.init()
	return w.done
}

// Known returns what is known of the crashes of the request with a fingerprint.
func (w *RequestWatch) Known(s *site.Snapshot, fingerprint uint64) site.Mark {
	shared := s.Marks[fingerprint]
	if w == nil || w.ownCount.Load() == 0 {
		return shared
	}
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	if o := w.own[fingerprint]; o != nil {
		return shared.Merge(o.mark)
	}
	return shared
}

// Crashed records that the endpoint of an attempt was down after the connection broke. It returns false if too many marks wait to be
// written.
func (w *RequestWatch) Crashed(b Break, now time.Time) bool {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.own[b.Fingerprint]
	if o == nil {
		if len(w.own) >= maxOwnMarks {
			return false
		}
		o = &ownMark{}
		w.own[b.Fingerprint] = o
		w.ownCount.Store(int32(len(w.own)))
	}
	if slices.Contains(o.mark.Endpoints, b.Target.ID) {
		return true
	}
	o.mark = o.mark.Merge(site.Mark{Endpoints: []string{b.Target.ID}})
	o.ownWrite, o.request, o.seenAt = ownWrite{due: now}, b.Request, now
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return true
}

// Run writes marks until ctx is done. It always returns nil.
func (w *RequestWatch) Run(ctx context.Context) error {
	w.init()
	defer close(w.done)
	timer := time.NewTimer(markRetention)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.wake:
		case <-timer.C:
		}
		w.write(ctx, time.Now())
		timer.Reset(w.untilDue(time.Now()))
	}
}

// write writes the marks that are due and forgets those that the shared ones show or that are too old.
func (w *RequestWatch) write(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, markTimeout)
	defer cancel()
	slots := make(chan struct{}, maxRecordWrites)
	var writes sync.WaitGroup
	for fingerprint, o := range w.due(now) {
		slots <- struct{}{}
		writes.Go(func() {
			w.writeMark(ctx, fingerprint, o)
			<-slots
		})
	}
	writes.Wait()
}

// due returns copies of the marks to be written.
func (w *RequestWatch) due(now time.Time) (marks map[uint64]ownMark) {
	w.mu.Lock()
	defer w.mu.Unlock()
	marks = map[uint64]ownMark{}
	for fingerprint, o := range w.own {
		switch {
		case o.isSeen(now), now.Sub(o.seenAt) > markRetention:
			delete(w.own, fingerprint)
		case o.writtenAt.IsZero() && !now.Before(o.due):
			marks[fingerprint] = *o
		}
	}
	w.ownCount.Store(int32(len(w.own)))
	return marks
}

// untilDue returns the time until a mark is to be written or forgotten.
func (w *RequestWatch) untilDue(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := now.Add(markRetention)
	for _, o := range w.own {
		at := o.due
		if !o.writtenAt.IsZero() {
			at = o.writtenAt.Add(seenTime)
		}
		if at.Before(next) {
			next = at
		}
	}
	return next.Sub(now) + time.Millisecond
}

func (w *RequestWatch) writeMark(ctx context.Context, fingerprint uint64, written ownMark) {
	err := w.Marks.RecordCrash(ctx, fingerprint, written.mark)
	w.mu.Lock()
	o := w.own[fingerprint]
	current := o != nil && slices.Equal(o.mark.Endpoints, written.mark.Endpoints)
	if current {
		o.written(err)
	}
	w.mu.Unlock()
	outcome := "stored"
	if err != nil {
		outcome = err.Error()
	}
	event.Info(w.Log, event.RequestMarked, "request", written.request, "fingerprint", formatKey(fingerprint), "outcome", outcome,
		"endpoints", written.mark.Endpoints, "ageMs", time.Since(written.seenAt).Milliseconds())
}
