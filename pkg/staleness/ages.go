package staleness

import (
	"sync"
	"time"
)

// Ages counts the time since weight versions were named. It is safe for concurrent use.
type Ages struct {
	// StartAge is the age that is assumed of a version that was not seen named, until another gateway states it.
	StartAge time.Duration

	mu       sync.Mutex
	versions map[string]map[uint64]namedVersion
	newest   map[string]uint64
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
	since time.Duration
	known bool
}

const (
	// minOutage is the shortest time without an answer of the store that is not counted. A shorter one is a lost connection.
	minOutage = time.Second
	// maxVersions limits the versions of a model that other gateways state, of which this one may not have learned yet.
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

// Named records at now that a version of a model is named and replaces all lower ones. seen is false if it was already named when the
// versions were first read.
func (a *Ages) Named(model string, version uint64, now time.Duration, seen bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	if version <= a.newest[model] {
		return
	}
	a.newest[model] = version
	for other := range a.versions[model] {
		if other < version {
			delete(a.versions[model], other)
		}
	}
	since := a.counted(now)
	if !seen {
		since -= a.StartAge
	}
	a.add(model, version, namedVersion{since: since, known: seen})
}

func (a *Ages) init() {
	if a.versions == nil {
		a.versions, a.newest = map[string]map[uint64]namedVersion{}, map[string]uint64{}
	}
}

// add records a version, or merges it with what is recorded: a known time replaces an assumed one, and an earlier one a later one.
func (a *Ages) add(model string, version uint64, v namedVersion) {
	if a.versions[model] == nil {
		a.versions[model] = map[uint64]namedVersion{}
	}
	old, ok := a.versions[model][version]
	switch {
	case ok && old.known && !v.known:
	case ok && old.known == v.known && old.since <= v.since:
	default:
		a.versions[model][version] = v
	}
}

// SetPeer records the age that another gateway states of a version.
func (a *Ages) SetPeer(model string, stated Age, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	_, recorded := a.versions[model][stated.Version]
	if stated.Version < a.newest[model] || stated.Age < 0 || (!recorded && len(a.versions[model]) >= maxVersions) {
		return
	}
	a.add(model, stated.Version, namedVersion{since: a.counted(now) - stated.Age, known: true})
}

// Age returns the counted time since a version was named, 0 if the version is not recorded.
func (a *Ages) Age(model string, version uint64, now time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	v, ok := a.versions[model][version]
	if !ok {
		return 0
	}
	return a.counted(now) - v.since
}

// Stated returns the ages to be sent to other gateways, by model: those of the newest versions, if they are known and recent.
func (a *Ages) Stated(now time.Duration) map[string]Age {
	a.mu.Lock()
	defer a.mu.Unlock()
	stated := map[string]Age{}
	for model, version := range a.newest {
		v := a.versions[model][version]
		if age := a.counted(now) - v.since; v.known && age < maxStated {
			stated[model] = Age{Version: version, Age: age}
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
