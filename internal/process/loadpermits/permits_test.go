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

// runInBubble runs a test in a synctest bubble on one processor, since go1.26's race detector crashes when timers of a
// bubble fire on two processors at once.
func runInBubble(t *testing.T, run func(*testing.T)) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, run)
}

// TestConcurrentLoadLimit guards against a third concurrent load under each kind of platform failure, and against an agent that
// never acquires a permit.
func TestConcurrentLoadLimit(t *testing.T) {
	for name, rule := range map[string]fault.Rule{
		"no failure":          {},
		"replies lost":        {Kind: fault.ReplyLost, Method: "PUT", Skip: 2, Count: 6},
		"connections closed":  {Kind: fault.Refuse, Method: "PUT", Skip: 2, Count: 6},
		"outage":              {Kind: fault.Outage, Count: 40},
		"over the rate limit": {Kind: fault.RateLimit, Count: 40},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				is := is.New(t)
				var fake platformtest.Fake
				fake.Faults.Set(rule)
				var mu sync.Mutex
				running, peak := 0, 0
				add := func(n int) {
					mu.Lock()
					defer mu.Unlock()
					running += n
					peak = max(peak, running)
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
				start := time.Now()
				wg.Wait()
				is.Equal(peak, loadpermits.DefaultSlots)
				t.Logf("12 loads of 1 s took %v", time.Since(start))
				is.True(time.Since(start) < loadpermits.DefaultExpiry) // no slot stayed taken until its expiry
			})
		})
	}
}

// TestExpiry guards against a slot that stays taken forever after its agent crashed, and against a late release that frees the slot
// of another agent.
func TestExpiry(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		var fake platformtest.Fake
		permits := &loadpermits.Permits{Platform: &fake, Slots: 1}
		dead, err := permits.Acquire(t.Context())
		is.NoErr(err)
		start := time.Now()
		next, err := permits.Acquire(t.Context())
		is.NoErr(err)
		is.True(time.Since(start) >= loadpermits.DefaultExpiry)
		is.NoErr(dead.Release(t.Context()))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = permits.Acquire(ctx)
		is.True(err != nil) // the only slot is still taken by next
		is.NoErr(next.Release(t.Context()))
		_, err = permits.Acquire(t.Context())
		is.NoErr(err)
	})
}
