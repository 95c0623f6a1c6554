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

// bubble runs a test with virtual time on one processor, since go1.26's race detector crashes when timers of a bubble
// fire on two at once.
func bubble(t *testing.T, run func(*testing.T)) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, run)
}

// TestRaiseEpoch guards against an epoch that two incarnations share, and a latest epoch that no one uses, under each
// failure of the platform.
func TestRaiseEpoch(t *testing.T) {
	for name, rule := range map[string]fault.Rule{
		"platform well":       {},
		"replies lost":        {Kind: fault.ReplyLost, Method: "PUT", Count: 3},
		"connections closed":  {Kind: fault.Refuse, Method: "PUT", Count: 3},
		"outage":              {Kind: fault.Outage, Count: 3},
		"over the rate limit": {Kind: fault.RateLimit, Count: 3},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
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
				// A start whose reply was lost and that another start overtook uses only its second epoch.
				is.Equal(len(seen), starts)
				obj, err := fake.Store.Get(endpoints.Kind, "Model1")
				is.NoErr(err)
				var e endpoints.Endpoint
				is.NoErr(json.Unmarshal(obj.Value, &e))
				is.True(seen[e.Epoch])
				is.True(e.Epoch >= starts)
			})
		})
	}
}

// delayed is a platform whose first write arrives only after the next one was read for.
type delayed struct {
	*platformtest.Fake
	late *platform.Object
}

func (d *delayed) Put(ctx context.Context, obj platform.Object) (uint64, error) {
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

// TestLateWrite guards against a second epoch for a start whose first write took effect after it was read back.
func TestLateWrite(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		d := &delayed{Fake: &platformtest.Fake{}}
		epoch, err := endpoints.RaiseEpoch(t.Context(), d, "Model1", 7)
		is.NoErr(err)
		is.Equal(epoch, uint64(1))
		epoch, err = endpoints.RaiseEpoch(t.Context(), d, "Model1", 8)
		is.NoErr(err)
		is.Equal(epoch, uint64(2))
	})
}

// TestEnds guards against a start that goes on without an epoch.
func TestEnds(t *testing.T) {
	bubble(t, func(t *testing.T) {
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
		is.True(err != nil) // an unreadable epoch is not overwritten
		_, err = endpoints.RaiseEpoch(t.Context(), &fake, "Model2", 0)
		is.True(err != nil)
	})
}
