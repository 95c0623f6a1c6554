package kvstore

import (
	"maps"
	"time"
)

const (
	// maxClockDrift is the maximum drift between the clocks of two machines in one second.
	maxClockDrift = time.Millisecond
	// minClockReset is the difference above which a source whose clock is behind its earlier times is taken to have been set back at once.
	minClockReset = 10 * time.Second
	// maxStatedAge is how long before its call began the time that a response states may have been read. Another gateway states an estimate,
	// which is behind.
	maxStatedAge = 300 * time.Millisecond
	// clockStepTime is how long a source must state times ahead of its earlier ones, and no others, until its clock is taken to have been set
	// forward.
	clockStepTime = 5 * time.Second
	// minClockSetbacks is the number of responses in a row after which the clock of a source is taken to have been set back.
	minClockSetbacks = 2
	// clockSourceLifetime is how long a source counts after its last response.
	clockSourceLifetime = 10 * time.Second
	// maxResponseGap is how much of a time without any response counts for clockStepTime and clockSourceLifetime: while this machine is
	// suspended, no source can be heard.
	maxResponseGap = 2 * time.Second
)

// serverClock estimates the clock of the servers, that is of the KV stores, from the times in their responses. Deadlines by an estimate that is
// behind come too early, which costs time only; those by one that is ahead let engines fetch parts that have been freed.
//
// The time in a response was read between the call and the response. This bounds the offset between the two clocks from below, by the
// stated time when the response arrives, and from above, by the stated time when the call was sent. For each source, that is each store and each
// relay of a store, the narrowest bounds count. A response that contradicts them does not change them, unless the ones that follow agree with it:
// for clockStepTime if it is ahead, minClockSetbacks in a row if it is behind.
//
// The estimate is the highest lower bound that the bounds of more than half of the sources allow. The times that other gateways relay may hold it
// back, but do not advance it beyond the times of the stores that this gateway reads itself, if there are any.
type serverClock struct {
	known   bool
	offset  time.Duration // the servers' clock minus this machine's time since its start
	sources map[clockSource]*sourceClock
	// observedAt is the time since the start of this machine of the last observation, heardFor the time in which there were observations.
	observedAt, heardFor time.Duration
}

// clockSource is a store, or a relay of it.
type clockSource struct {
	store  string
	direct bool
}

// observe updates the estimate from the time that a response of a source stated and this machine's times since its start when the call was sent and
// when its response was received. It returns how the stated time was judged.
func (c *serverClock) observe(source clockSource, stated, sentAt, now time.Duration) clockVerdict {
	if c.sources == nil {
		c.sources = map[clockSource]*sourceClock{}
	}
	c.heardFor += min(now-c.observedAt, maxResponseGap)
	c.observedAt = now
	maps.DeleteFunc(c.sources, func(_ clockSource, s *sourceClock) bool { return c.heardFor-s.heardAt > clockSourceLifetime })
	s := c.sources[source]
	if s == nil {
		s = &sourceClock{}
		c.sources[source] = s
	}
	verdict := s.observe(offsetBounds{lowest: stated - now, lowestAt: now, highest: stated - sentAt + maxStatedAge, highestAt: now}, now, c.heardFor)
	offset, ok := c.estimate(now, true)
	if !ok {
		offset, _ = c.estimate(now, false)
	}
	c.known, c.offset = true, offset
	return verdict
}

// estimate returns the highest lower bound, of the direct sources if directOnly is set, that is not above the upper bounds of half of the
// sources or more. ok is false if there is none.
func (c *serverClock) estimate(now time.Duration, directOnly bool) (offset time.Duration, ok bool) {
	for source, s := range c.sources {
		if directOnly && !source.direct || ok && s.lowest <= offset {
			continue
		}
		allowing := 0
		for _, other := range c.sources {
			if s.lowestBy(now) <= other.highestBy(now) {
				allowing++
			}
		}
		if 2*allowing > len(c.sources) {
			offset, ok = s.lowest, true
		}
	}
	return offset, ok
}

// serverTime returns the servers' time for the given time of this machine since its start.
func (c *serverClock) serverTime(now time.Duration) time.Duration { return now + c.offset }

// offsetBounds bounds the offset of a clock at the times at which the bounds were observed.
type offsetBounds struct {
	lowest, highest     time.Duration
	lowestAt, highestAt time.Duration
}

func drift(d time.Duration) time.Duration {
	return time.Duration(d.Seconds() * float64(maxClockDrift))
}

// lowestBy returns the lower bound at a later time.
func (b *offsetBounds) lowestBy(now time.Duration) time.Duration {
	return b.lowest - drift(now-b.lowestAt)
}

// highestBy returns the upper bound at a later time.
func (b *offsetBounds) highestBy(now time.Duration) time.Duration {
	return b.highest + drift(now-b.highestAt)
}

// contradicts reports whether no offset is within both bounds now.
func (b *offsetBounds) contradicts(other offsetBounds, now time.Duration) bool {
	return b.lowestBy(now) > other.highestBy(now) || other.lowestBy(now) > b.highestBy(now)
}

// narrow takes over the bounds of others that are narrower now.
func (b *offsetBounds) narrow(other offsetBounds, now time.Duration) {
	if other.lowestBy(now) >= b.lowestBy(now) {
		b.lowest, b.lowestAt = other.lowest, other.lowestAt
	}
	if other.highestBy(now) <= b.highestBy(now) {
		b.highest, b.highestAt = other.highest, other.highestAt
	}
}

// sourceClock bounds the offset of the clock of one source.
type sourceClock struct {
	offsetBounds
	// count is the number of responses within the bounds, 0 before the first one.
	count int
	// heardAt is serverClock.heardFor at the last response.
	heardAt time.Duration
	// step holds the bounds of the last stepCount responses, since serverClock.heardFor was stepSince, all of which contradict the bounds.
	step      offsetBounds
	stepCount int
	stepSince time.Duration
}

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=clockVerdict -trimprefix=clock -output=clockverdict_string.go

// clockVerdict is how a time that a source stated was judged.
type clockVerdict int

const (
	// clockAgreed: the time is within the bounds of its source.
	clockAgreed clockVerdict = iota
	// clockDisregarded: it is outside them, and the one before was not.
	clockDisregarded
	// clockDisregardedAgain: it is outside them, as was the one before.
	clockDisregardedAgain
	// clockSet: from now on, the clock of the source is taken to have been set.
	clockSet
)

func (s *sourceClock) observe(o offsetBounds, now, heardFor time.Duration) clockVerdict {
	s.heardAt = heardFor
	if s.count == 0 {
		s.offsetBounds, s.count = o, 1
		return clockAgreed
	}
	if !s.contradicts(o, now) {
		s.narrow(o, now)
		s.count, s.stepCount = s.count+1, 0
		return clockAgreed
	}
	verdict := clockDisregardedAgain
	if s.stepCount == 0 {
		verdict = clockDisregarded
	}
	if s.stepCount > 0 && !s.step.contradicts(o, now) {
		s.step.narrow(o, now)
		s.stepCount++
	} else {
		s.step, s.stepCount, s.stepSince = o, 1, heardFor
	}
	if s.wasSet(now) {
		s.offsetBounds, s.count, s.stepCount = s.step, s.stepCount, 0
		return clockSet
	}
	return verdict
}

// wasSet reports whether the responses that contradict the bounds show that the clock of the source was set. If it had stated hardly any time before,
// the earlier ones may as well be wrong, and the lower ones count.
func (s *sourceClock) wasSet(now time.Duration) bool {
	back := s.lowestBy(now) - s.step.highestBy(now)
	if back > 0 {
		return back > minClockReset || s.stepCount >= min(s.count, minClockSetbacks)
	}
	return s.heardAt-s.stepSince >= clockStepTime
}
