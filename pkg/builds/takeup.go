package builds

import (
	"slices"
	"time"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Knowledge -output=knowledge_string.go

// Knowledge is how the build of a stream is known.
type Knowledge uint8

// The values of Knowledge.
const (
	// Unplanned means that no plan covers the service.
	Unplanned Knowledge = iota
	// Own means that this gateway began the stream.
	Own
	// Reported means that another gateway, or an earlier incarnation of this one, reported the stream.
	Reported
	// Planned means that the plan determines the build.
	Planned
	// Uncertain means that the build can't be known.
	Uncertain
	// Behind means that the build is not known until all gateways have reported on the present plan.
	Behind
	// Lost means that the build is not known since a gateway restarted, until its streams can't be taken up any more.
	Lost
	// Unnamed means that the build is not known since the caller does not state which request brought the first event.
	Unnamed
	// Told means that another gateway, which still serves, began the stream.
	Told
)

// TakeUp returns the build that began a stream and how that is known. If it is not known, wait is about the time until it may be. The plan must
// be the latest one at the time at which the stream is taken up.
func (b *Book) TakeUp(now time.Time, s Stream) (build string, k Knowledge, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.ID != 0 {
		if known, ok := b.streams[s.ID]; ok && now.Before(known.stream.Until) {
			return known.found(Own)
		}
		for _, r := range b.reports {
			if known, ok := r.streams[s.ID]; ok && now.Before(known.stream.Until) {
				return known.found(Reported)
			}
		}
	}
	build, moved, ok := b.plan.build(s.Service, s.Key)
	if !ok {
		if k, wait = b.mayBeMissing(now, b.plan.Revision(), false); k != Planned {
			return "", k, wait
		}
		return "", Unplanned, 0
	}
	if !s.KeyKnown {
		if !b.plan.isUniform(s.Service) {
			return "", Unnamed, 0
		}
		moved = slices.Max(b.plan.Services[s.Service].Moved)
	}
	if s.ID == 0 && b.lists(now, s.Service, build) {
		return "", Unnamed, 0
	}
	if k, wait = b.mayBeMissing(now, moved, b.plan.isFirst(s.Service, moved)); k != Planned {
		return "", k, wait
	}
	return build, Planned, 0
}

func (s *begun) found(k Knowledge) (build string, _ Knowledge, wait time.Duration) {
	if s.unknown {
		return "", Uncertain, 0
	}
	if s.inherited {
		k = Reported
	}
	return s.build, k, 0
}

// mayBeMissing returns Planned if all streams are reported that began before a bucket was moved by the plan of the given number. unplanned is true if
// these can only have begun without a plan. The caller must hold mu.
func (b *Book) mayBeMissing(now time.Time, moved uint64, unplanned bool) (k Knowledge, wait time.Duration) {
	switch {
	case !b.restored:
		return Lost, reportTime
	case moved > b.unlistedFrom && now.Before(b.unlistedUntil) && (!unplanned || b.lacksUnplanned):
		return Lost, b.unlistedUntil.Sub(now)
	}
	for _, r := range b.reports {
		switch {
		case r.isPast(now):
		case r.number < moved || r.number > b.plan.Revision():
			return Behind, reportTime
		case moved > r.unlistedFrom && now.Before(r.unlistedUntil) && (!unplanned || !r.listsUnplanned):
			return Lost, r.unlistedUntil.Sub(now)
		}
	}
	return Planned, 0
}

// lists reports whether a stream of the service is listed that may have begun at another build than the given one. The caller must hold mu.
func (b *Book) lists(now time.Time, service, build string) bool {
	differs := func(s *begun) bool {
		return s.stream.Service == service && now.Before(s.stream.Until) && (s.unknown || s.build != build)
	}
	for _, s := range b.streams {
		planned, _, _ := b.plan.build(service, s.stream.Key)
		if differs(s) && (s.inherited || s.unknown || planned != s.build) {
			return true
		}
	}
	for _, r := range b.reports {
		for _, s := range r.streams {
			if differs(&s) {
				return true
			}
		}
	}
	return false
}
