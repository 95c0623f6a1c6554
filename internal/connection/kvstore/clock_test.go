package kvstore

import (
	"math/rand/v2"
	"strconv"
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

// TestServerClockOfRandomResponses guards against an estimate that is ahead of the servers' clock, or far behind it, or a response that is disregarded
// although it states a time between its call and itself; with a faulty store among three, against one that follows it.
func TestServerClockOfRandomResponses(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 59))
		faulty := seed%2 == 1
		const stores = 3
		var c serverClock
		offset := time.Duration(r.Int64N(int64(time.Hour)))
		perSecond := time.Duration(r.Int64N(int64(maxClockDrift))) - maxClockDrift/2
		now := time.Minute
		trueTime := func(at time.Duration) time.Duration {
			return at + offset + time.Duration((at-time.Minute).Seconds()*float64(perSecond))
		}
		for step := range 2000 {
			if step == 1000 {
				now += time.Duration(r.Int64N(int64(30 * time.Second))) // the machine is suspended
			}
			now += time.Duration(r.Int64N(int64(300 * time.Millisecond)))
			store := r.IntN(stores)
			if step < stores {
				store = stores - 1 - step // the faulty one is heard last
			}
			took := time.Duration(r.Int64N(int64(time.Second)))
			if step%10 < stores {
				took = time.Duration(r.Int64N(int64(20 * time.Millisecond)))
			}
			stated := trueTime(now - time.Duration(r.Float64()*float64(took)))
			if faulty && store == 0 && r.IntN(2) == 0 {
				stated += time.Duration(r.Int64N(int64(20*time.Second))) - 10*time.Second
			}
			verdict := c.observe(clockSource{strconv.Itoa(store), true}, stated, now-took, now)
			if verdict != clockAgreed && (!faulty || store != 0) {
				t.Fatalf("seed %d, step %d: a sound response is %v", seed, step, verdict)
			}
			ahead, allowed := c.serverTime(now)-trueTime(now), 50*time.Millisecond
			if faulty {
				allowed += maxStatedAge
			}
			if ahead > allowed {
				t.Fatalf("seed %d, step %d: %v ahead", seed, step, ahead)
			}
			if step > 100 && -ahead > 300*time.Millisecond {
				t.Fatalf("seed %d, step %d: %v behind", seed, step, -ahead)
			}
		}
	}
}
