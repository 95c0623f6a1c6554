package staleness

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Ages counts the time since weight versions were named. It is safe for concurrent use.
type Ages struct {
	// StartAge is the age that is assumed of a version that was not seen named, until another gateway states it.
	StartAge time.Duration

	mu sync.Mutex
	// versions are the last versions of each model, in ascending order; there are at most maxVersions.
	versions map[string][]namedVersion
	// uncounted is the time in which the store did not answer before; lostAt is when it last stopped, if lost is set.
	uncounted time.Duration
	lostAt    time.Duration
	lost      bool
}

// Age is the age of a version.
type Age struct {
	Version uint64
	Age     time.Duration
}

// namedVersion is a version that was named at since, in counted time. known is false if that is an assumption.
type namedVersion struct {
	version uint64
	since   time.Duration
	known   bool
}

const (
	// minOutage is the shortest time without an answer of the store that is not counted. A shorter one is a lost connection.
	minOutage = time.Second
	// maxModels limits the models of which other gateways state ages.
	maxModels = 256
	// maxVersions limits the versions of a model that are recorded. Older ones were named before.
	maxVersions = 4
	// maxStated is the age above which a version is not stated to other gateways.
	maxStated = time.Minute
)

// counted returns the counted time at now. The caller must hold mu.
func (a *Ages) counted(now time.Duration) time.Duration {
	if a.lost && now-a.lostAt >= minOutage {
		now = a.lostAt
	}
	return now - a.uncounted
}

// Named records at now that a version of a model is named. seen is false if it was already named when the versions were first read.
func (a *Ages) Named(model string, version uint64, now time.Duration, seen bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	since := a.counted(now)
	if !seen {
		since -= a.StartAge
	}
	a.add(model, namedVersion{version: version, since: since, known: seen})
}

// SetPeer records the age that another gateway states of a version.
func (a *Ages) SetPeer(model string, stated Age, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, recorded := a.versions[model]; stated.Age >= 0 && (recorded || len(a.versions) < maxModels) {
		a.add(model, namedVersion{version: stated.Version, since: a.counted(now) - stated.Age, known: true})
	}
}

// add records a version, or merges it with what is recorded: a known time replaces an assumed one, and an earlier one a later one. The caller
// must hold mu.
func (a *Ages) add(model string, v namedVersion) {
	list := a.versions[model]
	i, recorded := slices.BinarySearchFunc(list, v.version, func(old namedVersion, version uint64) int { return cmp.Compare(old.version, version) })
	switch {
	case !recorded:
		list = slices.Insert(list, i, v)
	case v.known && !list[i].known, v.known == list[i].known && v.since < list[i].since:
		list[i] = v
	}
	if len(list) > maxVersions {
		// Versions below the dropped one have been replaced since it was named.
		list[1].since = min(list[1].since, list[0].since)
		list = list[1:]
	}
	if a.versions == nil {
		a.versions = map[string][]namedVersion{}
	}
	a.versions[model] = list
}

// ReplacedFor returns the counted time since a version of a model was replaced: since the first of the versions above it was named. It returns
// 0 if none is recorded.
func (a *Ages) ReplacedFor(model string, version uint64, now time.Duration) (age time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, v := range a.versions[model] {
		if v.version > version {
			age = max(age, a.counted(now)-v.since)
		}
	}
	return age
}

// Stated returns the ages to be sent to other gateways, by model: those that are known and recent.
func (a *Ages) Stated(now time.Duration) map[string][]Age {
	a.mu.Lock()
	defer a.mu.Unlock()
	stated := map[string][]Age{}
	for model, list := range a.versions {
		for _, v := range list {
			if age := a.counted(now) - v.since; v.known && age < maxStated {
				stated[model] = append(stated[model], Age{Version: v.version, Age: age})
			}
		}
	}
	return stated
}

// StoreLost records that the store has stopped answering at now; StoreRegained that it answers again.
func (a *Ages) StoreLost(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.lost {
		a.lost, a.lostAt = true, now
	}
}

// StoreRegained records that the store answers again at now.
func (a *Ages) StoreRegained(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lost && now-a.lostAt >= minOutage {
		a.uncounted += now - a.lostAt
	}
	a.lost = false
}
