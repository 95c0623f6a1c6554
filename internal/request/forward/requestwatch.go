package forward

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/quarantine"
	"primrosecourse/pkg/site"
)

// Marks holds the evidence against requests that crashed endpoints, in a place that all gateways read and which Snapshot.Marks shows.
// registry.Registry implements it.
type Marks interface {
	// RecordCrash adds evidence against the request with a fingerprint.
	RecordCrash(ctx context.Context, fingerprint uint64, e quarantine.Evidence) error
	// ClearCrash removes the evidence against a request, unless there is more than the given one.
	ClearCrash(ctx context.Context, fingerprint uint64, e quarantine.Evidence) error
}

// markTimeout bounds the writes of the marks that are due at the same time.
const markTimeout = 2 * time.Second

// RequestWatch knows which requests crashed endpoints, by their fingerprints. The decisions are those of quarantine.Requests on the shared
// marks and on what this gateway saw itself, which counts at once. What it saw is written to the shared marks, again and again while the
// store is away. Its exported fields must be set before the first call. The methods that requests use accept a nil receiver, which knows
// only the shared marks.
type RequestWatch struct {
	Marks    Marks
	Settings quarantine.RequestSettings
	Log      logr.Logger

	initOnce sync.Once
	done     chan struct{}
	// wake has an element if Run should look for marks that are due.
	wake chan struct{}
	// changes is the number of own changes, so that requests need not lock mu while there are none.
	changes atomic.Int32

	mu       sync.Mutex
	requests *quarantine.Requests
}

func (w *RequestWatch) init() {
	w.initOnce.Do(func() {
		w.done, w.wake, w.requests = make(chan struct{}), make(chan struct{}, 1), quarantine.NewRequests(w.Settings)
	})
}

// Done is closed when Run has ended.
func (w *RequestWatch) Done() <-chan struct{} {
	w.init()
	return w.done
}

// Known returns the evidence against the request with a fingerprint.
func (w *RequestWatch) Known(s *site.Snapshot, fingerprint uint64) quarantine.Evidence {
	shared := s.Marks[fingerprint]
	if w == nil || w.changes.Load() == 0 {
		return shared
	}
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requests.Known(fingerprint, shared)
}

// Quarantined returns the evidence against the request with a fingerprint, and whether it is to be refused for that.
func (w *RequestWatch) Quarantined(s *site.Snapshot, fingerprint uint64) (known quarantine.Evidence, quarantined bool) {
	if known = w.Known(s, fingerprint); known.Count() == 0 {
		return known, false
	}
	return known, known.Count() >= w.limit(fingerprint)
}

// Suspect reports whether the request of an attempt is to be refused if its endpoint, which is not among the known ones, has crashed.
func (w *RequestWatch) Suspect(b Break) bool {
	known := b.Known.Count()
	return known > 0 && !slices.Contains(b.Known.Endpoints, b.Incarnation) && known+1 >= w.limit(b.Fingerprint)
}

// limit returns the number of successive crashes at which a request is refused.
func (w *RequestWatch) limit(fingerprint uint64) int {
	if w == nil {
		return quarantine.DefaultLimit
	}
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requests.Limit(fingerprint)
}

// EndedWell records that a run of the request with a fingerprint ended well.
func (w *RequestWatch) EndedWell(now time.Time, s *site.Snapshot, fingerprint uint64, request string) {
	if w == nil {
		return
	}
	w.init()
	w.mu.Lock()
	cleared := w.requests.EndedWell(now, fingerprint, s.Marks[fingerprint])
	if cleared.Count() > 0 {
		w.changed()
	}
	w.mu.Unlock()
	if cleared.Count() > 0 {
		event.Info(w.Log, event.RequestMarked, "request", request, "fingerprint", formatKey(fingerprint), "outcome", "cleared",
			"endpoints", cleared.Endpoints, "crashes", cleared.Count())
	}
}

// Crashed records that the endpoint of an attempt was down after the connection broke.
func (w *RequestWatch) Crashed(b Break, brokenAt, now time.Time) quarantine.Outcome {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.changed()
	return w.requests.Crashed(now, quarantine.Run{Fingerprint: b.Fingerprint, Endpoint: cmp.Or(b.Incarnation, b.Target.ID), Began: b.StartedAt,
		Ended: brokenAt, Known: b.Known})
}

// changed makes Run look for marks that are due. The caller must hold mu.
func (w *RequestWatch) changed() {
	w.changes.Store(int32(w.requests.Len()))
	if w.requests.Len() == 0 {
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run writes marks until ctx is done. It always returns nil.
func (w *RequestWatch) Run(ctx context.Context) error {
	w.init()
	defer close(w.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.wake:
		case <-timer.C:
		}
		w.write(ctx)
		w.mu.Lock()
		now := time.Now()
		timer.Reset(w.requests.NextDue(now).Sub(now))
		w.mu.Unlock()
	}
}

// write makes the writes that are due.
func (w *RequestWatch) write(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, markTimeout)
	defer cancel()
	w.mu.Lock()
	due := w.requests.Due(time.Now())
	w.changes.Store(int32(w.requests.Len()))
	w.mu.Unlock()
	slots := make(chan struct{}, maxRecordWrites)
	var writes sync.WaitGroup
	for _, m := range due {
		slots <- struct{}{}
		writes.Go(func() {
			w.writeMark(ctx, m)
			<-slots
		})
	}
	writes.Wait()
}

func (w *RequestWatch) writeMark(ctx context.Context, m quarantine.Write) {
	var err error
	if m.Cleared.Count() > 0 {
		err = w.Marks.ClearCrash(ctx, m.Fingerprint, m.Cleared)
	}
	if err == nil && m.Evidence.Count() > 0 {
		err = w.Marks.RecordCrash(ctx, m.Fingerprint, m.Evidence)
	}
	w.mu.Lock()
	w.requests.Written(time.Now(), m, err == nil)
	w.mu.Unlock()
	outcome := "stored"
	if err != nil {
		outcome = err.Error()
	}
	event.Info(w.Log, event.RequestMarked, "fingerprint", formatKey(m.Fingerprint), "outcome", outcome, "endpoints", m.Evidence.Endpoints,
		"crashes", m.Evidence.Count(), "cleared", m.Cleared.Endpoints, "ageMs", time.Since(m.MadeAt).Milliseconds())
}
