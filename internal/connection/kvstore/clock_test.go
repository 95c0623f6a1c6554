package kvstore

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestServerClock guards against deadlines that are over when they are sent, since the last answer told the time at which its
// question came in.
func TestServerClock(t *testing.T) {
	is := is.New(t)
	var c serverClock
	c.observe(time.Hour, time.Minute)
	is.Equal(c.now(time.Minute), time.Hour)
	c.observe(time.Hour+time.Second, time.Minute+2*time.Second) // waited for a second
	is.Equal(c.now(time.Minute+2*time.Second), time.Hour+2*time.Second)
	c.observe(time.Hour+4*time.Second+10*time.Millisecond, time.Minute+4*time.Second) // came sooner than the first one
	is.Equal(c.now(time.Minute+4*time.Second), time.Hour+4*time.Second+10*time.Millisecond)
}

// TestServerClockDrifts guards against a clock that runs ahead for good.
func TestServerClockDrifts(t *testing.T) {
	is := is.New(t)
	var c serverClock
	for s := range 3600 {
		now := time.Duration(s) * time.Second
		c.observe(now-time.Duration(s)*200*time.Microsecond, now)
	}
	ahead := c.now(time.Hour) - (time.Hour - 3600*200*time.Microsecond)
	is.True(ahead < 10*time.Millisecond)
	c.observe(time.Minute, time.Hour) // the servers' clock was set back
	is.Equal(c.now(time.Hour), time.Minute)
}
