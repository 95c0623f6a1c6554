package tiering

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Lifetimes states for how long the parts of a replaced weight version stay in use. All gateways of a site must have the same.
type Lifetimes struct {
	// Longest is the time since another version was named after which no part of the version is used. Values below
	// ReplacedVersionLifetime, and so the zero value, stand for it.
	Longest time.Duration
}

// Last returns the time since another version was named after which no part of a version is used.
func (l Lifetimes) Last() time.Duration { return max(ReplacedVersionLifetime, l.Longest) }

// Of returns how long the part with the given ID stays in use after another version was named. The lifetimes of the parts are spread evenly
// from ReplacedVersionLifetime to Last by a hash: while engines load the new version one after the other, the stores then free room for its
// parts at the same rate.
func (l Lifetimes) Of(id string) time.Duration {
	share := float64(xxhash.Sum64String(id)>>11) / (1 << 53)
	return ReplacedVersionLifetime + time.Duration(share*float64(l.Last()-ReplacedVersionLifetime))
}

// MayUse reports whether parts of a weight version may be fetched and saved: those of the named version or a later one, and
// those of an earlier version whose lifetime has not passed since it was replaced, but none if the snapshot is as old as
// MaxViewAge. snapshotAge is the age of the snapshot of the named versions. replacedFor is the time since the last moment at
// which no later version than the given one was known to be named, an upper limit of the time for which it has been replaced.
func (l Lifetimes) MayUse(version, named uint64, snapshotAge, replacedFor time.Duration) bool {
	return snapshotAge < MaxViewAge && (version >= named || replacedFor < l.Last())
}

// MayUsePart is MayUse for a single part.
func (l Lifetimes) MayUsePart(version, named uint64, id string, snapshotAge, replacedFor time.Duration) bool {
	return l.MayUse(version, named, snapshotAge, replacedFor) && (version >= named || replacedFor < l.Of(id))
}

// Retired reports whether a part of a weight version may be freed. replacedFor is the time since this gateway learned of the
// first later version, a lower limit of the time for which the version has been replaced.
func (l Lifetimes) Retired(version, named uint64, id string, replacedFor time.Duration) bool {
	return version < named && replacedFor >= l.Of(id)+TransferTimeout+retireMargin
}

// unawareTime is the time since the naming of a version after which no gateway lets engines fetch parts of a replaced one because it has not learned
// of the naming.
const unawareTime = MaxViewAge + TransferTimeout + retireMargin

// MayList reports whether a list of the gateways that is made now serves to free the parts of a weight version by version floors. replacedFor is a lower
// limit of the time for which the version has been replaced.
func MayList(replacedFor time.Duration) bool {
	return replacedFor >= unawareTime-TransferTimeout-retireMargin
}

// MayFree reports whether the parts of a weight version may be freed if the version floors of all gateways on a list exclude it, which was up to date
// listedFor ago. replacedFor is a lower limit of the time for which the version has been replaced. A gateway that is not on the list lets engines fetch
// such parts only before it learns of the naming, or has left and had them fetched before the list.
func MayFree(replacedFor, listedFor time.Duration) bool {
	return replacedFor >= unawareTime && listedFor <= replacedFor && listedFor >= TransferTimeout+retireMargin
}
