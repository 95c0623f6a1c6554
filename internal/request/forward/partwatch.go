package forward

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/quarantine"
	"primrosecourse/pkg/site"
)

// CrashRecords keeps the crashes of endpoints in a place that all gateways read, and which Snapshot.Crashes shows. registry.Registry
// implements it.
type CrashRecords interface {
	// RecordParts adds the candidates of a crash to its record.
	RecordParts(ctx context.Context, crash quarantine.Crash) error
	// ClearParts records that answers have begun on parts since the crash of an endpoint.
	ClearParts(ctx context.Context, endpoint string, cleared []quarantine.Candidate) error
}

const (
	// settleTime is how long an endpoint must live on after the first event of an answer for that answer to have begun.
	settleTime = 100 * time.Millisecond
	// recordDelay is the mean time from a crash to its record. Most sound parts are cleared meanwhile.
	recordDelay = 250 * time.Millisecond
	// recordTimeout bounds the write of a record.
	recordTimeout = 2 * time.Second
	// recordInterval is the time between two checks for records to be written.
	recordInterval = 50 * time.Millisecond
	// maxRecordWrites is the maximum number of concurrent writes.
	maxRecordWrites = 8
	// groupLoss is the number of endpoints that crash at the same time, within groupSpan, from which on no part is suspected: they share
	// a failure domain, a rollout or a network path.
	groupLoss = 4
	groupSpan = 20 * time.Millisecond
	// seenTime is how long this gateway's own changes are applied to the shared records after they were written.
	seenTime = 5 * time.Second
	// maxRecords is the number of shared records from which on no more are written.
	maxRecords = 256
	// judgingInterval is the shortest time between two calls of Judge, as a multiple of the time that the last one took.
	judgingInterval = 20
	// maxOwnCrashes and maxOwnClearings bound what is not yet visible in the shared records.
	maxOwnCrashes   = 256
	maxOwnClearings = 4096
)

// PartWatch finds the parts of prompts that crash endpoints: of the requests at an endpoint that crashed it records the shared parts of those
// whose answers had not begun, and clears each part on which an answer begins later. The decision is that of quarantine.Judge on the
// records of all gateways and those that this one has not written yet. Its exported fields must be set before the first call.
type PartWatch struct {
	Records  CrashRecords
	Settings quarantine.PartSettings
	Log      logr.Logger

	initOnce sync.Once
	done     chan struct{}
	// ownCount is the number of own crashes, so that requests need not lock mu while there are no crashes at all.
	ownCount atomic.Int32

	mu sync.Mutex
	// shared are the records of the latest snapshot that was seen, with its revision.
	shared   map[string]quarantine.Crash
	revision uint64
	own      map[string]*ownCrash
	cleared  map[clearing]*ownWrite
	// crashed has the time of each crash that this gateway saw of late, with candidates or not.
	crashed map[string]time.Time
	// verdicts is the result of the last call of Judge, at judgedAt, which took judgingTime; stale is set if something has changed since.
	verdicts    *quarantine.Verdicts
	judgedAt    time.Time
	judgingTime time.Duration
	stale       bool
	// merged are the shared records with this gateway's own changes, as of the last call of Judge, by endpoint; holders has the
	// endpoints of those with each part as a candidate.
	merged  map[string]*quarantine.Crash
	holders map[uint64][]string
}

// ownWrite is a change that this gateway writes to the shared records.
type ownWrite struct {
	due time.Time
	// writtenAt is zero until the change has been written.
	writtenAt time.Time
}

// ownCrash is a crash that this gateway saw.
type ownCrash struct {
	ownWrite
	crash quarantine.Crash
}

// clearing identifies a candidate that this gateway has cleared.
type clearing struct {
	endpoint           string
	part, organisation uint64
}

func (w *PartWatch) init() {
	w.initOnce.Do(func() {
		w.done = make(chan struct{})
		w.own, w.cleared, w.crashed = map[string]*ownCrash{}, map[clearing]*ownWrite{}, map[string]time.Time{}
		w.verdicts, w.holders = quarantine.Judge(time.Time{}, nil, w.Settings), map[uint64][]string{}
	})
}

// Done is closed when Run has ended.
func (w *PartWatch) Done() <-chan struct{} {
	w.init()
	return w.done
}

// isIdle reports whether there are no crashes, so that no part is suspected.
func (w *PartWatch) isIdle(s *site.Snapshot, parts []uint64) bool {
	return w == nil || len(parts) == 0 || (len(s.Crashes) == 0 && w.ownCount.Load() == 0)
}

// Quarantined returns the verdict on the first of the parts that is quarantined for the organisation.
func (w *PartWatch) Quarantined(now time.Time, s *site.Snapshot, organisation uint64, parts []uint64) (v quarantine.Verdict, ok bool) {
	if w.isIdle(s, parts) {
		return v, false
	}
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.judge(now, s)
	for _, p := range parts {
		if v, ok = w.verdicts.Quarantined(p, organisation); ok {
			return v, true
		}
	}
	return v, false
}

// Suspect reports whether one of the parts is a candidate of the organisation in a crash of another endpoint than the given incarnation that
// was not at the same time.
func (w *PartWatch) Suspect(now time.Time, s *site.Snapshot, organisation uint64, parts []uint64, except string) bool {
	if w.isIdle(s, parts) {
		return false
	}
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.judge(now, s)
	before := now.Add(-cmp.Or(w.Settings.Apart, quarantine.DefaultApart))
	return slices.ContainsFunc(parts, func(p uint64) bool { return w.verdicts.Suspect(p, organisation, before, except) })
}

// Begun clears the parts, since an answer on them has begun and its endpoint lives on.
func (w *PartWatch) Begun(now time.Time, s *site.Snapshot, organisation uint64, parts []uint64) {
	if w.isIdle(s, parts) {
		return
	}
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.judge(now, s)
	for _, p := range parts {
		for _, endpoint := range w.holders[p] {
			if len(w.cleared) >= maxOwnClearings || !w.merged[endpoint].Clear(p, organisation) {
				continue
			}
			c := clearing{endpoint: endpoint, part: p, organisation: organisation}
			w.cleared[c] = &ownWrite{due: now.Add(rand.N(2 * recordDelay))}
			w.stale = true
			event.Info(w.Log, event.PartCleared, "part", strconv.FormatUint(p, 16), "organisation", strconv.FormatUint(organisation, 16), "endpoint", endpoint)
		}
	}
}

// Crashed records that an endpoint was down after the break at the given time.
func (w *PartWatch) Crashed(b Break, brokenAt time.Time) {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.crashed[b.Incarnation]; !known && len(w.crashed) < maxOwnCrashes {
		w.crashed[b.Incarnation] = brokenAt
	}
	if b.Begun || b.TimedOut || len(b.Parts) == 0 {
		return
	}
	c := w.own[b.Incarnation]
	if c == nil {
		if len(w.own) >= maxOwnCrashes {
			return
		}
		c = &ownCrash{crash: quarantine.Crash{Endpoint: b.Incarnation, At: brokenAt}}
		w.own[b.Incarnation] = c
		w.ownCount.Store(int32(len(w.own)))
	}
	c.crash.Cold = c.crash.Cold || b.Cold
	candidates := make([]quarantine.Candidate, 0, len(b.Parts))
	for depth, p := range b.Parts {
		candidates = append(candidates, quarantine.Candidate{Part: p, Organisation: b.Organisation, Depth: depth})
	}
	if c.crash.Add(candidates) {
		c.due, c.writtenAt = time.Now().Add(recordDelay*3/4+rand.N(recordDelay/2)), time.Time{}
		w.stale = true
	}
}

// judge updates the verdicts if anything has changed. The caller must hold mu.
func (w *PartWatch) judge(now time.Time, s *site.Snapshot) {
	if s.CrashesRevision > w.revision {
		w.shared, w.revision, w.stale = s.Crashes, s.CrashesRevision, true
	}
	if age := now.Sub(w.judgedAt); (!w.stale && age < time.Second) || age < w.judgingTime*judgingInterval {
		return
	}
	began := time.Now()
	w.merge()
	crashes := make([]quarantine.Crash, 0, len(w.merged))
	for _, c := range w.merged {
		// Begun changes the merged crashes, but not the verdicts on them.
		crashes = append(crashes, c.Clone())
	}
	before := w.verdicts
	w.verdicts, w.judgedAt, w.stale = quarantine.Judge(now, crashes, w.Settings), now, false
	w.judgingTime = time.Since(began)
	w.logChanges(before)
}

// merge applies this gateway's own changes to the shared records. The caller must hold mu.
func (w *PartWatch) merge() {
	w.merged, w.holders = map[string]*quarantine.Crash{}, map[uint64][]string{}
	for endpoint, c := range w.shared {
		c = c.Clone()
		w.merged[endpoint] = &c
	}
	for endpoint, o := range w.own {
		if c := w.merged[endpoint]; c != nil {
			c.Add(o.crash.Candidates)
			continue
		}
		c := o.crash.Clone()
		w.merged[endpoint] = &c
	}
	for cl := range w.cleared {
		if c := w.merged[cl.endpoint]; c != nil {
			c.Clear(cl.part, cl.organisation)
		}
	}
	for endpoint, c := range w.merged {
		for _, o := range c.Candidates {
			if list := w.holders[o.Part]; len(list) == 0 || list[len(list)-1] != endpoint {
				w.holders[o.Part] = append(list, endpoint)
			}
		}
	}
}

// logChanges logs the difference between the verdicts before and now.
func (w *PartWatch) logChanges(before *quarantine.Verdicts) {
	for _, v := range w.verdicts.List() {
		if old, ok := before.Quarantined(v.Part, v.Organisation); !ok || len(old.Endpoints) != len(v.Endpoints) {
			w.logVerdict(v, "quarantined")
		}
	}
	for _, v := range before.List() {
		if _, ok := w.verdicts.Quarantined(v.Part, v.Organisation); !ok {
			w.logVerdict(v, "released")
		}
	}
}

func (w *PartWatch) logVerdict(v quarantine.Verdict, outcome string) {
	event.Info(w.Log, event.PartQuarantined, "part", strconv.FormatUint(v.Part, 16), "organisation", strconv.FormatUint(v.Organisation, 16),
		"all", v.All, "outcome", outcome, "endpoints", v.Endpoints, "until", v.Until)
}
