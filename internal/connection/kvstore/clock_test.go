package kvstore

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestServerClockUsesMostAdvancedResponse guards against deadlines that have passed when they are sent: the last response may state the
// time at which its call arrived, before the server delayed it.
func TestServerClockUsesMostAdvancedResponse(t *testing.T) {
	is := is.New(t)
	var c serverClock
	observe := func(stated, delay, now time.Duration) { c.observe(clockSource{"K", true}, stated, now-delay, now) }
	observe(time.Hour, 20*time.Millisecond, time.Minute)
	is.Equal(c.serverTime(time.Minute), time.Hour)
	observe(time.Hour+time.Second, time.Second, time.Minute+2*time.Second) // was delayed for 1 s
	is.Equal(c.serverTime(time.Minute+2*time.Second), time.Hour+2*time.Second)
	observe(time.Hour+4*time.Second+10*time.Millisecond, 10*time.Millisecond, time.Minute+4*time.Second) // had less delay than the first one
	is.Equal(c.serverTime(time.Minute+4*time.Second), time.Hour+4*time.Second+10*time.Millisecond)
}

// TestServerClockFollowsDriftAndReset guards against an estimate that stays ahead of the servers' clock after that has run slow or was
// set back.
func TestServerClockFollowsDriftAndReset(t *testing.T) {
	is := is.New(t)
	var c serverClock
	observe := func(stated, now time.Duration) { c.observe(clockSource{"K", true}, stated, now, now) }
	for s := range 3600 {
		now := time.Duration(s) * time.Second
		observe(now-time.Duration(s)*200*time.Microsecond, now)
	}
	ahead := c.serverTime(time.Hour) - (time.Hour - 3600*200*time.Microsecond)
	is.True(ahead < 10*time.Millisecond)
	observe(time.Minute, time.Hour) // the servers' clock was set back
	is.Equal(c.serverTime(time.Hour), time.Minute)
}
