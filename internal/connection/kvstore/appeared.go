package kvstore

import (
	"maps"
	"time"
)

const (
	// settleTime is how long after a part has appeared it is not fetched: until a call that frees it as a stalled save has arrived or is
	// refused.
	settleTime = stalledFreeTimeout + 10*time.Millisecond
	// maxSettling limits the parts that are recorded each when they appear together.
	maxSettling = 1000
)

// appearedParts records which parts of a store appeared within the last settleTime. Such a part may have been a stalled save when the leader of the
// store listed it, and be freed by a call that is on its way. A store refuses that call stalledFreeTimeout after the listing, and so after
// the part was completed.
//
// Times are durations since the start of this machine.
type appearedParts struct {
	settledFrom    map[Key]time.Duration
	allSettledFrom time.Duration
}

// addAll records that the contents of the store were not known and are known now.
func (a *appearedParts) addAll(now time.Duration) {
	a.settledFrom, a.allSettledFrom = nil, now+settleTime
}

// add records parts that have appeared.
func (a *appearedParts) add(parts []Key, now time.Duration) {
	if len(parts) > maxSettling {
		a.addAll(now)
		return
	}
	maps.DeleteFunc(a.settledFrom, func(_ Key, from time.Duration) bool { return from <= now })
	if len(parts) > 0 && a.settledFrom == nil {
		a.settledFrom = map[Key]time.Duration{}
	}
	for _, key := range parts {
		a.settledFrom[key] = now + settleTime
	}
}

// settled reports whether settleTime has passed since a part appeared.
func (a *appearedParts) settled(key Key, now time.Duration) bool {
	return now >= a.allSettledFrom && now >= a.settledFrom[key]
}
