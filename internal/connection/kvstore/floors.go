package kvstore

import (
	"math"
	"slices"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/bootclock"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/tiering"
)

// rolloutShare is the share of a model's endpoints that must serve a new weight version before the parts of the previous one are
// given up. With fewer, the old parts are worth more: nearly all of them are in the store, while few of the new ones are
// requested again before the remaining endpoints switch.
const rolloutShare = 0.8

// Uses reports whether this gateway still uses parts of a weight version. Those of a replaced one may be freed unless the gateways that free them have
// found this one in their lists since before the naming.
func (c *Catalog) Uses(model string, version uint64) bool {
	if !c.Floors.Uses(model, version) {
		return false
	}
	now := bootclock.Now()
	replacedFor := c.View.Current().Namings[model].MaxReplacedFor(version, now)
	if replacedFor == 0 {
		return true
	}
	since, present := c.View.PresentSince()
	return present && replacedFor <= now-since
}

// raiseFloors raises the version floors of this gateway. The floor of a model rises to rolledOutVersion, but not above the named version,
// and above each version once that has been replaced for Lifetimes.Last. If the named versions have not been confirmed for
// tiering.MaxViewAge, the floors also rise to the highest floors of the other gateways.
func (c *Catalog) raiseFloors(snapshot *site.Snapshot) {
	now := bootclock.Now()
	if c.View.VersionsAge() >= tiering.MaxViewAge && c.Floors.Adopt(now) {
		event.Info(c.Log, event.WeightVersionGivenUp, "floors", c.Floors.Own(), "reason", "named versions were not confirmed recently; adopted the floors of other gateways")
	}
	for model, named := range snapshot.Versions {
		floor, reason := min(named, rolledOutVersion(snapshot, model)), "most endpoints have a newer version"
		if oldest := snapshot.Namings[model].Oldest(c.Lifetimes.Last(), now); oldest > floor {
			floor, reason = oldest, "the grace period after its replacement is over"
		}
		if floor > 0 && c.Floors.Raise(model, floor, now) {
			event.Info(c.Log, event.WeightVersionGivenUp, "model", model, "below", floor, "named", named, "reason", reason)
		}
	}
}

// rolledOutVersion returns the highest weight version such that at least rolloutShare of the ready endpoints with a model have it or a
// newer one, and 0 if there are no such endpoints. It may be older than the named version, since versions may be named faster than
// endpoints load them.
func rolledOutVersion(snapshot *site.Snapshot, model string) uint64 {
	var versions []uint64
	for _, endpoints := range snapshot.Endpoints {
		for _, e := range endpoints {
			if version, serves := e.Version(model); serves && e.State == site.Ready {
				versions = append(versions, version)
			}
		}
	}
	if len(versions) == 0 {
		return 0
	}
	slices.Sort(versions)
	return versions[len(versions)-int(math.Ceil(rolloutShare*float64(len(versions))))]
}
