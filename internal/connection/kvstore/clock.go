package kvstore

import "time"

const (
	// clockDrift is how much the clocks of two machines may part in a second.
	clockDrift = time.Millisecond
	// clockStep is from when on a difference means that the servers' clock was set back.
	clockStep = 10 * time.Second
)

// serverClock is the servers' clock as their answers tell it. An answer that waited, at the server or on its way, tells a time that is
// over; none tells one that is to come. So the most advanced answer counts.
type serverClock struct {
	known  bool
	offset time.Duration // the servers' clock less this machine's time since its start
	at     time.Duration
}

// observe takes the time that an answer tells, and this machine's time.
func (c *serverClock) observe(told, now time.Duration) {
	offset := told - now
	least := c.offset - time.Duration((now-c.at).Seconds()*float64(clockDrift))
	if !c.known || offset >= least || least-offset > clockStep {
		c.known, c.offset, c.at = true, offset, now
	}
}

// now returns the servers' time, given this machine's.
func (c *serverClock) now(now time.Duration) time.Duration { return now + c.offset }
