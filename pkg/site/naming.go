package site

import "time"

// Naming is when this gateway learned that a weight version of a model is to be served. Times are durations since the start of the machine.
type Naming struct {
	Version uint64
	// NamedAt is when this gateway first saw the version named, UnnamedAt the last time at which it knew that the version was not yet
	// named. UnnamedAt is negative if the version was already named when the gateway first read the versions.
	NamedAt, UnnamedAt time.Duration
}

// Namings are the last namings of the versions of one model that this gateway saw, in ascending order of the versions. A version counts as
// replaced from the first naming of a later one on: what was given up after that time must not be used again because still another version is
// named.
type Namings []Naming

// maxNamings limits Namings. Versions are not named that often within the time for which a replaced one is used.
const maxNamings = 16

// Add returns the namings with a later one. The receiver is not changed.
func (n Namings) Add(next Naming) Namings {
	list := append(append(make(Namings, 0, len(n)+1), n...), next)
	if len(list) > maxNamings {
		list = list[1:]
		list[0].UnnamedAt = min(list[0].UnnamedAt, n[0].UnnamedAt) // versions below the dropped one have been replaced since it was named
	}
	return list
}

// replacement returns the first naming of a version above the given one, and false if there is none.
func (n Namings) replacement(version uint64) (next Naming, ok bool) {
	for _, next := range n {
		if next.Version > version {
			return next, true
		}
	}
	return Naming{}, false
}

// MaxReplacedFor returns an upper limit of the time for which a version has been replaced, 0 if it has not been.
func (n Namings) MaxReplacedFor(version uint64, now time.Duration) time.Duration {
	if next, ok := n.replacement(version); ok {
		return now - next.UnnamedAt
	}
	return 0
}

// MinReplacedFor returns a lower limit of the time for which a version has been replaced, 0 if it has not been.
func (n Namings) MinReplacedFor(version uint64, now time.Duration) time.Duration {
	if next, ok := n.replacement(version); ok {
		return now - next.NamedAt
	}
	return 0
}

// Oldest returns the lowest version that is not certain to have been replaced for at least d, 0 if there is none below the named one or none
// is named.
func (n Namings) Oldest(d, now time.Duration) (version uint64) {
	for _, next := range n {
		if now-next.UnnamedAt >= d {
			version = next.Version
		}
	}
	return version
}
