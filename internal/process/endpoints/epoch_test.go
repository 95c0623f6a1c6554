package endpoints_test

import (
	"context"
	"encoding/json"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"primrosecourse/internal/process/endpoints"
	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/process/platform/platformtest"
	"primrosecourse/internal/standin/fault"
)

// runInBubble runs a test in a synctest bubble on one processor, since go1.26's race detector crashes when timers of a
// bubble fire on two processors at once.
func runInBubble(t *testing.T, run func(*testing.T)) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, run)
}

// TestRaiseEpoch guards against two incarnations with the same epoch, and against an epoch in the object that no incarnation
// uses, under each kind of platform failure.
func TestRaiseEpoch(t *testing.T) {
	for name, rule := range map[string]fault.Rule{
		"no failure":          {},
		"replies lost":        {Kind: fault.ReplyLost, Method: "PUT", Count: 3},
		"connections closed":  {Kind: fault.Refuse, Method: "PUT", Count: 3},
		"outage":              {Kind: fault.Outage, Count: 3},
		"over the rate limit": {Kind: fault.RateLimit, Count: 3},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				is := is.New(t)
				var fake platformtest.Fake
				fake.Faults.Set(rule)
				const starts = 5
				var mu sync.Mutex
				seen := map[uint64]bool{}
				var wg sync.WaitGroup
				for i := range starts {
					wg.Go(func() {
						epoch, err := endpoints.RaiseEpoch(t.Context(), &fake, "Model1", uint64(i+1))
						is.NoErr(err)
						mu.Lock()
						defer mu.Unlock()
						is.True(!seen[epoch])
						seen[epoch] = true
					})
				}
				wg.Wait()
				// If the response to a start's write was lost and another start has raised the epoch since, the first start raises it again
				// and uses only that second epoch.
				is.Equal(len(seen), starts)
				obj, err := fake.Store.Get(endpoints.Kind, "Model1")
				is.NoErr(err)
				var value endpoints.Endpoint
				is.NoErr(json.Unmarshal(obj.Value, &value))
				is.True(seen[value.Epoch])
				is.True(value.Epoch >= starts)
			})
		})
	}
}

// delayedPlatform is a platform whose first write takes effect only after the object was read for the second one.
type delayedPlatform struct {
	*platformtest.Fake
	// late is the first write, nil before it. It has no kind once it has taken effect.
	late *platform.Object
}

func (d *delayedPlatform) Put(ctx context.Context, obj platform.Object) (uint64, error) {
	if d.late == nil {
		d.late = &obj
		return 0, platform.ErrUncertain
	}
	if d.late.Kind != "" {
		_, _ = d.Fake.Put(ctx, *d.late)
		d.late = &platform.Object{}
	}
	return d.Fake.Put(ctx, obj)
}

// TestLateWrite guards against a second epoch for a start whose first write takes effect only after the object was read again.
func TestLateWrite(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		d := &delayedPlatform{Fake: &platformtest.Fake{}}
		epoch, err := endpoints.RaiseEpoch(t.Context(), d, "Model1", 7)
		is.NoErr(err)
		is.Equal(epoch, uint64(1))
		epoch, err = endpoints.RaiseEpoch(t.Context(), d, "Model1", 8)
		is.NoErr(err)
		is.Equal(epoch, uint64(2))
	})
}

// TestRaiseEpochErrors guards against a start that continues without a valid epoch.
func TestRaiseEpochErrors(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		var fake platformtest.Fake
		fake.Faults.Set(fault.Rule{Kind: fault.Outage})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := endpoints.RaiseEpoch(ctx, &fake, "Model1", 7)
		is.True(errors.Is(err, context.DeadlineExceeded))
		fake.Faults.ClearAll()
		_, err = fake.Store.Put(platform.Object{Kind: endpoints.Kind, Name: "Model1", Value: []byte("{")})
		is.NoErr(err)
		_, err = endpoints.RaiseEpoch(t.Context(), &fake, "Model1", 7)
		is.True(err != nil) // a malformed object is not overwritten
		_, err = endpoints.RaiseEpoch(t.Context(), &fake, "Model2", 0)
		is.True(err != nil)
	})
}
