package lease_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/internal/process/lease"
	"primrosecourse/internal/process/platform"
)

// fakeStore is a store with one object.
type fakeStore struct {
	value    json.RawMessage
	revision uint64
	// reject makes all calls fail without an effect; loseResponses makes writes take effect but return an error.
	reject, loseResponses bool
	// slow is called in each write; it may be nil.
	slow func()
}

func (s *fakeStore) Get(context.Context, string) (json.RawMessage, uint64, error) {
	switch {
	case s.reject:
		return nil, 0, platform.ErrRateLimited
	case len(s.value) == 0:
		return nil, s.revision, platform.ErrNotFound
	}
	return s.value, s.revision, nil
}

func (s *fakeStore) Put(_ context.Context, _ string, revision uint64, value any) (uint64, error) {
	if s.slow != nil {
		s.slow()
	}
	if s.reject {
		return 0, platform.ErrRateLimited
	}
	if revision != s.revision {
		return 0, platform.ErrConflict
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	s.value = encoded
	s.revision++
	if s.loseResponses {
		return 0, platform.ErrUncertain
	}
	return s.revision, nil
}

// fixture is two gateways with a common clock that the test advances.
type fixture struct {
	now   time.Duration
	store fakeStore
	a, b  *lease.Lease
}

func newFixture() *fixture {
	f := &fixture{now: time.Hour}
	f.a, f.b = f.gateway("A"), f.gateway("B")
	return f
}

// gateway returns the lease of a gateway that has just started.
func (f *fixture) gateway(name string) *lease.Lease {
	l := lease.New(name, &f.store, "Lease")
	l.Clock = func() time.Duration { return f.now }
	l.ThawTime = 300 * time.Millisecond
	return l
}

// acquire calls MarkWanted and then Acquire, and reports whether the lease is held.
func acquire(t *testing.T, l *lease.Lease) bool {
	t.Helper()
	l.MarkWanted()
	held, err := l.Acquire(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return held
}

// TestSuspendedHolder guards against a holder that resumes after a suspension and sends orders although another gateway holds
// the lease.
func TestSuspendedHolder(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	ctx := context.Background()
	is.True(acquire(t, f.a))
	is.True(f.a.Renew(ctx, []string{"e1"}, nil))
	is.True(f.a.MayOrder("e1"))
	is.True(!acquire(t, f.b))
	f.now += 1700 * time.Millisecond // A is suspended
	is.True(!f.a.MayOrder("e1"))     // the lease expires before another gateway may take it
	is.True(acquire(t, f.b))
	is.True(f.b.Token() > f.a.Token())
	is.True(!f.a.Renew(ctx, nil, nil))
	is.True(!f.a.Held())
}

// TestOrdersOfTwoHolders guards against an endpoint getting orders from two holders within the lease time.
func TestOrdersOfTwoHolders(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	ctx := context.Background()
	is.True(acquire(t, f.a))
	is.True(f.a.Renew(ctx, []string{"e1"}, nil))
	f.now += 900 * time.Millisecond
	is.True(f.a.MayOrder("e1")) // A sends its last order
	last := f.now
	is.True(!acquire(t, f.b)) // B reads the lease for the first time
	f.now += lease.DefaultSilence
	is.True(acquire(t, f.b))
	is.True(f.b.MayOrder("e2")) // A sent it no orders
	for f.now < last+3*time.Second {
		is.True(!f.b.MayOrder("e1"))
		f.now += 300 * time.Millisecond
		is.True(f.b.Renew(ctx, nil, nil))
	}
	for range 10 {
		f.now += 300 * time.Millisecond
		is.True(f.b.Renew(ctx, nil, nil))
	}
	is.True(f.b.MayOrder("e1"))
}

// TestOrdersBeforePreviousHolder guards against losing the record of recent orders when the holder changes twice.
func TestOrdersBeforePreviousHolder(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	ctx := context.Background()
	is.True(acquire(t, f.a))
	is.True(f.a.Renew(ctx, []string{"e1"}, nil))
	is.True(!acquire(t, f.b))
	f.now += lease.DefaultSilence
	is.True(acquire(t, f.b))
	is.True(f.b.Renew(ctx, nil, nil))
	c := lease.New("C", &f.store, "Lease")
	c.Clock = f.a.Clock
	is.True(!acquire(t, c))
	f.now += lease.DefaultSilence
	is.True(acquire(t, c))
	is.True(!c.MayOrder("e1"))
}

// TestWaitDoesNotBeginAnewWithEachHolder guards against an endpoint that no holder may order while holders follow each other.
func TestWaitDoesNotBeginAnewWithEachHolder(t *testing.T) {
	for name, stop := range map[string]func(l *lease.Lease){
		"released": func(l *lease.Lease) { l.Release(context.Background(), nil) },
		"killed":   func(*lease.Lease) {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			ctx := context.Background()
			is.True(acquire(t, f.a))
			is.True(f.a.Renew(ctx, []string{"e1"}, nil))
			f.now += 900 * time.Millisecond
			is.True(f.a.MayOrder("e1")) // A sends its last order
			last := f.now
			f.a.Release(ctx, map[string]time.Duration{"e1": 0})
			for i := range 20 {
				holder := f.gateway(fmt.Sprint("H", i))
				holder.MarkWanted()
				for !acquire(t, holder) {
					f.now += 100 * time.Millisecond
				}
				is.True(holder.Renew(ctx, []string{"other"}, nil))
				mayOrder := holder.MayOrder("e1")
				is.True(!mayOrder || f.now >= last+holder.Time)
				if mayOrder {
					is.True(f.now <= last+holder.Time+holder.ThawTime+2*holder.Silence)
					return
				}
				stop(holder)
			}
			t.Fatal("no holder may order e1")
		})
	}
}

// TestRestartedHolderKeepsEarlierOrders guards against orders by a holder that has restarted to an endpoint that the holder before it ordered.
func TestRestartedHolderKeepsEarlierOrders(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	ctx := context.Background()
	is.True(acquire(t, f.a))
	is.True(f.a.Renew(ctx, []string{"e1"}, nil))
	f.a.Release(ctx, map[string]time.Duration{"e1": 0})
	f.b.MarkWanted()
	f.now += 800 * time.Millisecond
	is.True(acquire(t, f.b))
	is.True(f.b.Renew(ctx, []string{"e2"}, nil))
	restarted := f.gateway("B")
	is.True(acquire(t, restarted))
	is.True(restarted.MayOrder("e2"))
	is.True(!restarted.MayOrder("e1"))
}

// TestRestartedHolderPassesOnItsOrders guards against orders of a second holder to an endpoint that a holder ordered before it restarted.
func TestRestartedHolderPassesOnItsOrders(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	ctx := context.Background()
	is.True(acquire(t, f.a))
	is.True(f.a.Renew(ctx, []string{"e1"}, nil))
	restarted := f.gateway("A")
	is.True(acquire(t, restarted))
	is.True(restarted.Renew(ctx, []string{"e2"}, nil))
	is.True(restarted.MayOrder("e1"))
	restarted.Release(ctx, nil)
	f.b.MarkWanted()
	f.now += 800 * time.Millisecond
	is.True(acquire(t, f.b))
	is.True(f.b.Renew(ctx, nil, nil))
	is.True(f.b.MayOrder("e2")) // released without an order
	is.True(!f.b.MayOrder("e1"))
	f.now += 800 * time.Millisecond
	is.True(f.b.Renew(ctx, nil, nil))
	is.True(!f.b.MayOrder("e1"))
}

// TestSlowStore guards against a lease that expires while a slow store confirms the renewal, so that no endpoint ever gets orders.
func TestSlowStore(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.store.slow = func() { f.now += 600 * time.Millisecond }
	var published fakeStore
	published.slow = f.store.slow
	f.a.Publish, f.a.PublishName = &published, "Updating"
	is.True(acquire(t, f.a))
	is.True(f.a.Renew(context.Background(), []string{"e1"}, nil))
	is.True(f.a.MayOrder("e1"))
	f.now += 400 * time.Millisecond
	is.True(!f.a.MayOrder("e1")) // a second after the start of the write, well before another gateway may take it
}

// TestLostAnswer guards against giving up the lease, or sending orders without it, after a response of the store was lost.
func TestLostAnswer(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	ctx := context.Background()
	is.True(acquire(t, f.a))
	f.store.loseResponses = true
	is.True(f.a.Renew(ctx, []string{"e1"}, nil)) // the write took effect
	f.store.loseResponses = false
	is.True(f.a.Renew(ctx, nil, nil))
	f.store.reject = true
	is.True(!f.a.Renew(ctx, []string{"e2"}, nil)) // not confirmed, so e2 must not get orders
	is.True(f.a.Held())
	f.now += 2 * time.Second
	is.True(!f.a.Renew(ctx, nil, nil))
	is.True(!f.a.Held())
}

// TestPublished guards against orders to endpoints that were not published as about to change, and against endpoints that stay
// published after the lease is released.
func TestPublished(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	var published fakeStore
	f.a.Publish, f.a.PublishName = &published, "Updating"
	ctx := context.Background()
	is.True(acquire(t, f.a))
	is.True(f.a.Renew(ctx, []string{"e1"}, nil))
	is.Equal(string(published.value), `{"Token":1,"Endpoints":["e1"]}`)
	is.True(f.a.Renew(ctx, []string{"e1"}, nil))
	is.Equal(published.revision, uint64(1)) // no write without a change, since it would wake all watchers
	published.reject = true
	is.True(!f.a.Renew(ctx, []string{"e2"}, nil))
	published.reject, published.loseResponses = false, true
	is.True(!f.a.Renew(ctx, []string{"e2"}, nil)) // written, but not confirmed
	published.loseResponses = false
	is.True(f.a.Renew(ctx, []string{"e2"}, nil))
	is.Equal(string(published.value), `{"Token":1,"Endpoints":["e2"]}`)
	f.a.Release(ctx, nil)
	is.Equal(string(published.value), `{"Token":1,"Endpoints":null}`)
}

// TestFreeLeaseGoesToLastHolder guards against a change of holder each time the lease is released and acquired again.
func TestFreeLeaseGoesToLastHolder(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	ctx := context.Background()
	is.True(acquire(t, f.a))
	f.a.Release(ctx, nil)
	is.True(!acquire(t, f.b))
	is.True(acquire(t, f.a))
	f.a.Release(ctx, nil)
	f.a.ClearWanted()
	f.now += time.Second
	is.True(acquire(t, f.b)) // the last holder did not take it within its head start
}

// TestLeaseUsedByOrders guards against a data race between the goroutine that renews the lease and those that send orders.
func TestLeaseUsedByOrders(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.True(acquire(t, f.a))
	var orders sync.WaitGroup
	for range 4 {
		orders.Go(func() {
			for range 200 {
				if f.a.MayOrder("E1") && f.a.Valid() && f.a.Held() {
					f.a.Abandon(f.a.Token(), "an endpoint has seen a higher fencing token")
				}
			}
		})
	}
	for range 200 {
		_ = acquire(t, f.a)
		_ = f.a.Renew(context.Background(), nil, map[string]time.Duration{"E1": 0})
	}
	orders.Wait()
}

// TestAbandonOfFormerToken guards against an order that is refused late: the lease that was acquired again since must stay.
func TestAbandonOfFormerToken(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.True(acquire(t, f.a))
	former := f.a.Token()
	f.a.Abandon(former, "an endpoint has seen a higher fencing token")
	is.True(!f.a.Held())
	is.True(acquire(t, f.a))
	f.a.Abandon(former, "an endpoint has seen a higher fencing token")
	is.True(f.a.Held())
	is.True(f.a.Token() > former)
}
