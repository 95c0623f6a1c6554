package waitlist

import (
	"math"
	"time"
)

const (
	// smoothingTime is the time constant of the rates. Prompts end after some 100 ms to a second, so that a rate over less time would vary
	// with single answers.
	smoothingTime = 1500 * time.Millisecond
	// minMeterAge is the shortest time over which a rate is measured.
	minMeterAge = 200 * time.Millisecond
	// residenceWeight is the weight of an ended attempt with as many tokens as the mean in the mean time of attempts.
	residenceWeight = 1.0 / 16
	// roomShare is the part of the room that is in use while requests wait for it.
	roomShare = 0.9
	// quietMeans is the multiple of the mean time for which it is usual that none of a few requests in flight ends.
	quietMeans = 4
	// minShare is the least share of the rate that a priority is assumed to get beside more urgent requests.
	minShare = 0.02
)

// meter is a rate that decays with smoothingTime.
type meter struct {
	sum         float64 // of the tokens, decayed
	since, last time.Time
}

func (m *meter) add(now time.Time, tokens int) {
	if m.since.IsZero() {
		m.since, m.last = now, now
	}
	m.sum = m.sum*math.Exp(-now.Sub(m.last).Seconds()/smoothingTime.Seconds()) + float64(tokens)
	m.last = now
}

// perSecond returns the rate. The sum is divided by the part of the time constant that has passed since the first addition.
func (m *meter) perSecond(now time.Time) float64 {
	if m.since.IsZero() {
		return 0
	}
	age := max(minMeterAge, now.Sub(m.since)).Seconds() / smoothingTime.Seconds()
	decayed := m.sum * math.Exp(-now.Sub(m.last).Seconds()/smoothingTime.Seconds())
	return decayed / smoothingTime.Seconds() / (1 - math.Exp(-age))
}

// flow measures the room that this process takes and frees.
type flow struct {
	freed  meter
	taken  [Priorities]meter
	held   int     // tokens in flight
	room   float64 // this process's share of the room at all endpoints, 0 if that is unknown
	mean   float64 // mean time of attempts in seconds, weighted by tokens; 0 before the first end
	tokens float64 // mean tokens of ended attempts
	// quietSince is when an attempt last ended, or the first one in flight began.
	quietSince time.Time
}

func (f *flow) sent(now time.Time, priority, tokens int) {
	if f.held == 0 {
		f.quietSince = now
	}
	f.held += tokens
	f.taken[priority].add(now, tokens)
}

func (f *flow) ended(now time.Time, tokens int, took time.Duration) {
	f.held, f.quietSince = max(0, f.held-tokens), now
	f.freed.add(now, tokens)
	if f.mean == 0 {
		f.mean, f.tokens = took.Seconds(), float64(tokens)
		return
	}
	weight := min(0.5, residenceWeight*float64(tokens)/f.tokens)
	f.mean += (took.Seconds() - f.mean) * weight
	f.tokens += (float64(tokens) - f.tokens) * residenceWeight
}

// rate returns the rate at which room comes free for this process in tokens per second, 0 if it is unknown. It is the highest of three: the
// smoothed sum of what was freed; the tokens in flight divided by their mean time, which say more at the start of a burst and if answers are
// few; and the same of this process's share of all room, since a process that had few requests of late gets room that others free. The
// latter two count for less if there are requests in flight and none has ended for longer than quietMeans of the mean time.
func (f *flow) rate(now time.Time) float64 {
	if f.mean <= 0 {
		return 0
	}
	mean, factor := max(f.mean, 0.001), 1.0
	if f.held > 0 {
		factor = min(1, quietMeans*mean/max(mean, now.Sub(f.quietSince).Seconds()))
	} else if f.room == 0 && now.Sub(f.freed.last) > smoothingTime {
		return 0
	}
	return max(f.freed.perSecond(now), factor*float64(f.held)/mean, factor*roomShare*f.room/mean)
}

// rateFor returns the part of the rate that is left for a priority by more urgent requests.
func (f *flow) rateFor(now time.Time, priority int) float64 {
	total := f.rate(now)
	left := total
	for p := range priority {
		left -= f.taken[p].perSecond(now)
	}
	return max(left, minShare*total)
}
