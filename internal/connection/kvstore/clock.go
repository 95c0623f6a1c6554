package kvstore

import "time"

const (
	// maxClockDrift is the maximum drift between the clocks of two machines in one second.
	maxClockDrift = time.Millisecond
	// minClockReset is the backward difference above which the servers' clock is taken to have been set back.
	minClockReset = 10 * time.Second
)

// serverClock estimates the clock of the servers, that is of the KV stores, from the times in their responses. A response that the
// server or the network delayed carries a time in the past, and none carries a time in the future. So the response with the time that is
// most advanced relative to this machine's is the most accurate one.
type serverClock struct {
	known      bool
	offset     time.Duration // the servers' clock minus this machine's time since its start
	observedAt time.Duration // this machine's time since its start at the last accepted observation
}

// observe updates the estimate from the servers' time in a response and this machine's time since its start when it was received.
func (c *serverClock) observe(serverTime, now time.Duration) {
	offset := serverTime - now
	lowest := c.offset - time.Duration((now-c.observedAt).Seconds()*float64(maxClockDrift))
	if !c.known || offset >= lowest || lowest-offset > minClockReset {
		c.known, c.offset, c.observedAt = true, offset, now
	}
}

// serverTime returns the servers' time for the given time of this machine since its start.
func (c *serverClock) serverTime(now time.Duration) time.Duration { return now + c.offset }
