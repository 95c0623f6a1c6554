package builds

import (
	"maps"
	"sync"
	"time"
)

const (
	// MaxTakeUpTime limits for how long after its beginning a stream is known. After that only the plan determines its build.
	MaxTakeUpTime = time.Minute
	// minTakeUpTime is the least time for which the streams of a gateway that restarted, or left, count as possibly taken up.
	minTakeUpTime = 10 * time.Second
	// maxStreams limits the streams of one gateway that are known at a time.
	maxStreams = 1 << 16
	// maxListed limits the streams of a report.
	maxListed = 1 << 13
	// sweepInterval is the time between two removals of the streams that can't be taken up any more.
	sweepInterval = time.Second
	// absenceTime is for how long a list tells that a gateway is absent. Lists follow each other within less.
	absenceTime = 6 * time.Second
	// reportTime is about how long it takes until all gateways have reported after a change of the plan.
	reportTime = 300 * time.Millisecond
)

// Stream identifies a stream.
type Stream struct {
	Service string
	// ID is the hash of the ID of the request that brought, or may bring, the first event; 0 if it is not known.
	ID uint64
	// Key determines the build, by the plan.
	Key uint64
	// KeyKnown is false if Key depends on an ID that is not known.
	KeyKnown bool
	// Until is when the caller gives up.
	Until time.Time
}

// begun is a stream that this gateway began, or that an earlier incarnation of it reported.
type begun struct {
	stream Stream
	// source is the endpoint that brought the first event, empty before it.
	source string
	// users is the number of requests that recorded the stream, which is 1 unless callers use an ID twice.
	users     int
	build     string
	unknown   bool
	inherited bool
	// brought is set once the first event has arrived.
	brought bool
}

// Book holds what a gateway knows about the builds of streams. The zero value is ready for use. It is safe for concurrent use.
type Book struct {
	// Wake is called when a report becomes due for another reason than a new plan. It must not block; it may be nil. It must be set before the
	// first call.
	Wake func()

	mu   sync.Mutex
	plan *Plan
	// plannedAt is when the plan was set. disputed is set if the store has another one.
	plannedAt time.Time
	disputed  bool
	streams   map[uint64]*begun
	reports   map[string]*received
	swept     time.Time
	longest   time.Duration
	// unlistedFrom and unlistedUntil are as in Report.
	unlistedFrom  uint64
	unlistedUntil time.Time
	// lacksUnplanned is set if streams that began without a plan may be missing until unlistedUntil, too.
	lacksUnplanned bool
	// unplanned counts the streams that began without a plan, or are to begin, reportingUnplanned those of them of which the last report that was due
	// tells, and reportedUnplanned those of which the stored one does.
	unplanned, reportingUnplanned, reportedUnplanned uint64
	// covered is the time for which streams can be taken up by the report that is stored, reporting the same by the last one that was due.
	covered   time.Duration
	reporting time.Duration
	// reported is the number of the plan of the last report, and changed is set if the report lacks a stream or is not up to date otherwise.
	// reportedUnlisted is set if it states that streams may be missing.
	reported         uint64
	changed          bool
	reportedUnlisted bool
	// restored is set once Restore was called, and stored once the store has a report of this incarnation of the gateway. When it got the first
	// one, it had the plan storedPlan.
	restored   bool
	stored     bool
	storedPlan uint64
	// required is the highest number that was passed to Require.
	required uint64
}

// Plan returns the present plan, nil if there is none.
func (b *Book) Plan() *Plan {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.plan
}

// SetPlan makes a plan the present one if its number is higher, and reports whether it is.
func (b *Book) SetPlan(now time.Time, p *Plan) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.plan != nil && p.Number <= b.plan.Number {
		return false
	}
	b.plan, b.plannedAt, b.disputed = p, now, false
	return true
}

// Settled reports whether all streams of a service that may be taken up began at one build, unless the plan has changed since this gateway
// last learned of it.
func (b *Book) Settled(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.plan.isUniform(service) && now.Sub(b.plannedAt) > MaxTakeUpTime
}

// Begin returns the build at which a new stream is to begin and records it. ok is false if no plan covers the service; the caller then
// calls Begun. From then on the stream may be reported, so that it must not begin at another build, also if it is forgotten.
func (b *Book) Begin(now time.Time, s Stream) (build string, ok bool) {
	defer b.wake()
	b.mu.Lock()
	defer b.mu.Unlock()
	build, _, ok = b.plan.build(s.Service, s.Key)
	if ok {
		b.record(now, s, build, false)
	}
	return build, ok
}

// Planned returns the build at which a new stream is to begin, without recording it. ok is false if no plan covers the service.
func (b *Book) Planned(s Stream) (build string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	build, _, ok = b.plan.build(s.Service, s.Key)
	return build, ok
}

// wake calls Wake if a report is due. The caller must not hold mu.
func (b *Book) wake() {
	b.mu.Lock()
	due := b.changed && b.restored
	b.mu.Unlock()
	if due && b.Wake != nil {
		b.Wake()
	}
}

// Covers reports whether the store has a report by which a stream can be taken up until the given time. If it does not, one is made due.
func (b *Book) Covers(now, until time.Time) bool {
	defer b.wake()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lengthen(until.Sub(now))
	return min(until.Sub(now), MaxTakeUpTime) <= max(b.covered, minTakeUpTime)
}

// lengthen makes a report due if streams can be taken up for longer than before. The caller must hold mu.
func (b *Book) lengthen(wait time.Duration) {
	for wait = min(wait, MaxTakeUpTime); wait > max(b.longest, minTakeUpTime); b.changed = true {
		b.longest = min(MaxTakeUpTime, 2*max(b.longest, minTakeUpTime))
	}
}

// Begun records the build of a stream that begins without a plan. It may begin once ReportsUnplanned is true of the returned number: an unplanned stream
// that no report lists could not be found after a restart.
func (b *Book) Begun(now time.Time, s Stream, build string) (number uint64) {
	defer b.wake()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record(now, s, build, false)
	b.changed = true
	b.unplanned++
	return b.unplanned
}

// ReportsUnplanned reports whether the store has a report that tells of the unplanned stream for which Begun returned the number.
func (b *Book) ReportsUnplanned(number uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reportedUnplanned >= number
}

// Doubt records that it is not certain which build began a stream.
func (b *Book) Doubt(now time.Time, s Stream) {
	defer b.wake()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record(now, s, "", true)
	b.changed = true
}

// BroughtBy records which endpoint brought the first event of a stream.
func (b *Book) BroughtBy(id uint64, endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.streams[id]; s != nil {
		s.source = endpoint
	}
}

// Restarted states that an endpoint has a new incarnation, of the given build. Which one began the endpoint's streams is not certain, since its
// entry may have been older than the incarnation.
func (b *Book) Restarted(now time.Time, endpoint, build string) {
	defer b.wake()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.streams {
		if s.source == endpoint && s.build != build && !s.unknown && now.Before(s.stream.Until) {
			s.unknown, b.changed = true, true
		}
	}
}

// Forget removes a stream that did not begin, unless another one has the same ID.
func (b *Book) Forget(s Stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known := b.streams[s.ID]; known != nil && !known.inherited {
		if known.users--; known.users <= 0 {
			delete(b.streams, s.ID)
		}
	}
}

// PlanAge returns how long ago the present plan became known.
func (b *Book) PlanAge(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.plannedAt)
}

// Dispute states that the store has another plan than the present one, which is not a later one. The next plan then replaces both.
func (b *Book) Dispute() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.disputed = true
}

// Disputed reports whether Dispute was called since the present plan became known.
func (b *Book) Disputed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.disputed
}

// Outdated states that the store has a report of this gateway from before it was restored.
func (b *Book) Outdated() {
	defer b.wake()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.changed = true
}

// record adds a stream. The caller must hold mu.
func (b *Book) record(now time.Time, s Stream, build string, unknown bool) {
	if limit := now.Add(MaxTakeUpTime); s.Until.After(limit) {
		s.Until = limit
	}
	b.lengthen(s.Until.Sub(now))
	if b.streams == nil {
		b.streams = map[uint64]*begun{}
	}
	if now.Sub(b.swept) > sweepInterval {
		b.swept = now
		maps.DeleteFunc(b.streams, func(_ uint64, s *begun) bool { return now.After(s.stream.Until) })
	}
	if _, known := b.streams[s.ID]; !known && len(b.streams) >= maxStreams {
		b.unlist(now, s.Until)
		return
	}
	next := &begun{stream: s, build: build, unknown: unknown, users: 1}
	if known := b.streams[s.ID]; known != nil && now.Before(known.stream.Until) {
		// Two callers use the same ID, or the same request is recorded again in doubt.
		next.users += max(1, known.users) // a reported stream has one, which never leaves
		next.unknown = unknown || known.build != build
		next.source, next.brought = known.source, known.brought
	}
	b.streams[s.ID] = next
}

// unlist records that streams that begin until now may be missing in reports until a time. The caller must hold mu.
func (b *Book) unlist(now, until time.Time) {
	from := uint64(0)
	if b.plan != nil {
		from = b.plan.Number
	}
	if now.After(b.unlistedUntil) {
		b.unlistedFrom = from
	}
	b.lacksUnplanned = true
	b.unlistedFrom = min(b.unlistedFrom, from)
	if until.After(b.unlistedUntil) {
		b.unlistedUntil = until
	}
}

// Removed states that the store has no report of another gateway any more. What is known of the gateway's streams, and what is not, stays in force
// until they can't be taken up.
func (b *Book) Removed(now time.Time, name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.reports[name]
	if r == nil {
		return
	}
	r.removed = true
	if r.goneSince.IsZero() {
		r.goneSince, r.absentAt = now, now
	}
	if r.isPast(now) {
		delete(b.reports, name)
	}
}

// IsPast reports whether none of the streams of another gateway can be taken up any more, as far as is known.
func (b *Book) IsPast(now time.Time, name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.reports[name]
	return r == nil || r.isPast(now)
}

// SetPresent states which gateways are present, by a list that was asked for at the given time and has just been received.
func (b *Book) SetPresent(asked, now time.Time, present func(name string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, r := range b.reports {
		r.absentAt = asked
		switch {
		case present(name):
			r.goneSince = time.Time{}
		case r.goneSince.IsZero():
			r.goneSince = now
		case r.removed && r.isPast(now):
			delete(b.reports, name)
		}
	}
}

// AllReported reports whether all gateways that are present have reported on the present plan, apart from this one.
func (b *Book) AllReported() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.reports {
		if b.plan != nil && r.number < b.plan.Number && r.goneSince.IsZero() {
			return false
		}
	}
	return true
}

// Ready reports whether streams may begin at this gateway: if the store had no report of this incarnation, or if a gateway might know a later plan
// without knowing that report, streams could be missing without anyone noticing.
func (b *Book) Ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready()
}

// ready is Ready. The caller must hold mu.
func (b *Book) ready() bool { return b.stored && b.plan.Revision() >= b.storedPlan }

// Stored states that a report was stored, and that the store then had the plan of the given number.
func (b *Book) Stored(number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.stored {
		b.stored, b.storedPlan = true, number
	}
	b.covered, b.reportedUnplanned = b.reporting, b.reportingUnplanned
}

// Require states the number of the plan that the store has, without which no stream may begin.
func (b *Book) Require(number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storedPlan, b.required = max(b.storedPlan, number), max(b.required, number)
}

// Unstored states that the store has lost the report of this gateway, so that one is due.
func (b *Book) Unstored() {
	defer b.wake()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stored, b.changed = false, true
}
