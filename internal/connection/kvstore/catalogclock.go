package kvstore

import (
	"time"

	"primrosecourse/internal/event"
)

// setClock takes the time that a response to a call of sentAt stated, 0 if none, into account. The caller must hold mu.
func (c *Catalog) setClock(state *storeState, source eventSource, stated, sentAt time.Duration) {
	if stated <= 0 {
		return
	}
	now := c.now()
	verdict := c.clock.observe(clockSource{store: state.store.Name, direct: source.direct}, stated, sentAt, now)
	if verdict == clockDisregarded || verdict == clockSet {
		event.Info(c.Log, event.ServersClockDisputed, "store", state.store.Name, "from", source.address, "decision", verdict.String(),
			"statedMs", stated.Milliseconds(), "tookMs", (now - sentAt).Milliseconds(), "clockMs", c.clock.serverTime(now).Milliseconds())
	}
}

// confirmedAt returns a time by the servers' clock at which a store was in the epoch of its response: the time that the response states,
// or that of the call. It returns 0 if the servers' clock is unknown. The caller must hold mu.
func (c *Catalog) confirmedAt(stated, sentAt time.Duration) time.Duration {
	switch {
	case stated > 0:
		return c.notAhead(stated)
	case !c.clock.known:
		return 0
	}
	return c.clock.serverTime(sentAt)
}

// notAhead returns a past time that a response states, or the estimated current time by the servers' clock if that is earlier. The caller must
// hold mu.
func (c *Catalog) notAhead(stated time.Duration) time.Duration {
	if !c.clock.known {
		return stated
	}
	return min(stated, c.clock.serverTime(c.now()))
}

// Clock returns the estimated current time by the servers' clock, and false if no response has stated a time yet.
func (c *Catalog) Clock() (clock time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.serverTime(c.now()), c.clock.known
}
