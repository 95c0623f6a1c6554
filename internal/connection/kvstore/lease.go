package kvstore

import "time"

const (
	// contentsLifetime is how long after a store last confirmed its epoch parts may be fetched by its recorded contents. It covers two
	// polls, since a response may state the time at which its call arrived, and most of the time limit of a fetch.
	contentsLifetime = 2*pollWait + callTimeout
	// minFetchTime is the shortest time for a fetch that is worth starting.
	minFetchTime = 250 * time.Millisecond
	// maxLeaseDrift covers the drift between the clocks of the servers and of gateways in contentsLifetime.
	maxLeaseDrift = 100 * time.Millisecond
)

// lease bounds the use of a store's recorded contents. A store that restarts is empty, and a part that is then saved again must not be
// fetched before it is complete, but some gateways learn of the restart later than others. So each fetch ends within contentsLifetime
// after the store confirmed its epoch to the gateway that requests the fetch, directly or through another gateway, or the engine discards
// it. A gateway that finds a new epoch requests no save for as long: all that was confirmed under the earlier epoch has expired then.
// Neither a gateway that stands still nor a lost message undermines this, since the engine itself enforces the limit of the fetch.
//
// A save that was requested before a restart may begin after it; tiering.Saves keeps its part from being fetched meanwhile.
type lease struct {
	// confirmedAt is when the store last confirmed its epoch, by the servers' clock; 0 if unknown.
	confirmedAt time.Duration
	// savesFrom is the time since the start of this machine from which on saves may be requested, 0 before the first epoch.
	savesFrom time.Duration
}

// begin starts the lease of a new epoch that was found at the given time since the start of this machine.
func (l *lease) begin(now time.Duration) {
	l.confirmedAt, l.savesFrom = 0, now+contentsLifetime+maxLeaseDrift
}

// begun reports whether an epoch has been found.
func (l *lease) begun() bool { return l.savesFrom > 0 }

// confirm records that the store confirmed its epoch, at a time by the servers' clock, 0 if unknown.
func (l *lease) confirm(at time.Duration) { l.confirmedAt = at }

// fetchBy returns the time by the servers' clock by which fetches must have ended.
func (l *lease) fetchBy() time.Duration {
	if l.confirmedAt == 0 {
		return 0
	}
	return l.confirmedAt + contentsLifetime
}

// savesIn returns how long no saves may be requested yet.
func (l *lease) savesIn(now time.Duration) time.Duration { return max(0, l.savesFrom-now) }
