package kvstore

import "time"

const (
	// maxClockDrift is the maximum drift between the clocks of two machines in one second.
	maxClockDrift = time.Millisecond
	// minClockReset is the smallest backward difference that is taken as the servers' clock having been set back.
	minClockReset = 10 * time.Second
)

// serverClock estimates the servers' clock from the times in their responses. A response that the server or the network delayed carries
// a time in the past, and none carries a time in the future. So the response with the most advanced time is the most accurate one.
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
