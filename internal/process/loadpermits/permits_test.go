package loadpermits_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"primrosecourse/internal/process/loadpermits"
	"primrosecourse/internal/process/platform/platformtest"
	"primrosecourse/internal/standin/fault"
)

// bubble runs a test with virtual time on one processor, since go1.26's race detector crashes when timers of a bubble
// fire on two at once.
func bubble(t *testing.T, run func(*testing.T)) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, run)
}

// TestTwoAtOnce guards against a third load at a time, under each failure of the platform, and against an agent that
// never gets its turn.
func TestTwoAtOnce(t *testing.T) {
	for name, rule := range map[string]fault.Rule{
		"platform well":       {},
		"replies lost":        {Kind: fault.ReplyLost, Method: "PUT", Skip: 2, Count: 6},
		"connections closed":  {Kind: fault.Refuse, Method: "PUT", Skip: 2, Count: 6},
		"outage":              {Kind: fault.Outage, Count: 40},
		"over the rate limit": {Kind: fault.RateLimit, Count: 40},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				is := is.New(t)
				var fake platformtest.Fake
				fake.Faults.Set(rule)
				var mu sync.Mutex
				running, most := 0, 0
				add := func(n int) {
					mu.Lock()
					defer mu.Unlock()
					running += n
					most = max(most, running)
				}
				var wg sync.WaitGroup
				for i := range 12 {
					wg.Go(func() {
						permits := &loadpermits.Permits{Platform: &fake, Holder: fmt.Sprint("Agent", i)}
						permit, err := permits.Acquire(t.Context())
						is.NoErr(err)
						add(1)
						time.Sleep(time.Second)
						add(-1)
						is.NoErr(permit.Release(t.Context()))
					})
				}
				began := time.Now()
				wg.Wait()
				is.Equal(most, loadpermits.DefaultSlots)
				t.Logf("12 loads of 1 s took %v", time.Since(began))
				is.True(time.Since(began) < loadpermits.DefaultExpiry) // no slot was lost until its expiry
			})
		})
	}
}

// TestExpiry guards against a slot that a dead agent holds for ever, and one that a late release takes from another.
func TestExpiry(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		var fake platformtest.Fake
		permits := &loadpermits.Permits{Platform: &fake, Slots: 1}
		dead, err := permits.Acquire(t.Context())
		is.NoErr(err)
		began := time.Now()
		next, err := permits.Acquire(t.Context())
		is.NoErr(err)
		is.True(time.Since(began) >= loadpermits.DefaultExpiry)
		is.NoErr(dead.Release(t.Context()))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = permits.Acquire(ctx)
		is.True(err != nil) // next still holds the only slot
		is.NoErr(next.Release(t.Context()))
		_, err = permits.Acquire(t.Context())
		is.NoErr(err)
	})
}
