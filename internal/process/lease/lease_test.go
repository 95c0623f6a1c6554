package lease_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/internal/process/lease"
	"primrosecourse/internal/process/platform"
)

// objects is a fake store with one object.
type objects struct {
	value    json.RawMessage
	revision uint64
	// reject fails all calls without effect; loseAnswers carries writes out but loses their answers.
	reject, loseAnswers bool
}

func (o *objects) Get(context.Context, string) (json.RawMessage, uint64, error) {
	switch {
	case o.reject:
		return nil, 0, platform.ErrRateLimited
	case o.revision == 0:
		return nil, 0, platform.ErrNotFound
	}
	return o.value, o.revision, nil
}

func (o *objects) Put(_ context.Context, _ string, revision uint64, value any) (uint64, error) {
	if o.reject {
		return 0, platform.ErrRateLimited
	}
	if revision != o.revision {
		return 0, platform.ErrConflict
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	o.value = encoded
	o.revision++
	if o.loseAnswers {
		return 0, platform.ErrUncertain
	}
	return o.revision, nil
}

// site is two gateways with a common clock that the test advances.
type site struct {
	now   time.Duration
	store objects
	a, b  *lease.Lease
}

func newSite() *site {
	s := &site{now: time.Hour}
	clock := func() time.Duration { return s.now }
	s.a, s.b = lease.New("A", &s.store, "Lease"), lease.New("B", &s.store, "Lease")
	s.a.Clock, s.b.Clock = clock, clock
	s.a.ThawTime, s.b.ThawTime = 300*time.Millisecond, 300*time.Millisecond
	return s
}

// acquire calls Acquire as a gateway that has orders to give.
func acquire(t *testing.T, l *lease.Lease) bool {
	t.Helper()
	l.MarkWanted()
	held, err := l.Acquire(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return held
}

// TestSuspendedHolder guards against a holder that resumes after a suspension and gives orders although another gateway holds
// the lease.
func TestSuspendedHolder(t *testing.T) {
	is := is.New(t)
	s := newSite()
	ctx := context.Background()
	is.True(acquire(t, s.a))
	is.True(s.a.Renew(ctx, []string{"e1"}, []string{"e1"}))
	is.True(s.a.MayOrder("e1"))
	is.True(!acquire(t, s.b))
	s.now += 1700 * time.Millisecond // A is suspended
	is.True(!s.a.MayOrder("e1"))     // the lease has expired before another gateway may take it
	is.True(acquire(t, s.b))
	is.True(s.b.Token() > s.a.Token())
	is.True(!s.a.Renew(ctx, nil, nil))
	is.True(!s.a.Held())
}

// TestOrdersOfTwoHolders guards against an endpoint getting orders from two holders within the lease time.
func TestOrdersOfTwoHolders(t *testing.T) {
	is := is.New(t)
	s := newSite()
	ctx := context.Background()
	is.True(acquire(t, s.a))
	is.True(s.a.Renew(ctx, []string{"e1"}, []string{"e1"}))
	s.now += 900 * time.Millisecond
	is.True(s.a.MayOrder("e1")) // A gives its last order
	last := s.now
	is.True(!acquire(t, s.b)) // B reads the lease for the first time
	s.now += lease.DefaultSilence
	is.True(acquire(t, s.b))
	is.True(s.b.MayOrder("e2")) // A gave it no orders
	for s.now < last+3*time.Second {
		is.True(!s.b.MayOrder("e1"))
		s.now += 300 * time.Millisecond
		is.True(s.b.Renew(ctx, nil, nil))
	}
	for range 10 {
		s.now += 300 * time.Millisecond
		is.True(s.b.Renew(ctx, nil, nil))
	}
	is.True(s.b.MayOrder("e1"))
}

// TestOrdersBeforePreviousHolder guards against losing the record of recent orders when the holder changes twice.
func TestOrdersBeforePreviousHolder(t *testing.T) {
	is := is.New(t)
	s := newSite()
	ctx := context.Background()
	is.True(acquire(t, s.a))
	is.True(s.a.Renew(ctx, []string{"e1"}, []string{"e1"}))
	is.True(!acquire(t, s.b))
	s.now += lease.DefaultSilence
	is.True(acquire(t, s.b))
	is.True(s.b.Renew(ctx, nil, nil))
	c := lease.New("C", &s.store, "Lease")
	c.Clock = s.a.Clock
	is.True(!acquire(t, c))
	s.now += lease.DefaultSilence
	is.True(acquire(t, c))
	is.True(!c.MayOrder("e1"))
}

// TestLostAnswer guards against giving up the lease, or giving orders without it, after an answer of the store was lost.
func TestLostAnswer(t *testing.T) {
	is := is.New(t)
	s := newSite()
	ctx := context.Background()
	is.True(acquire(t, s.a))
	s.store.loseAnswers = true
	is.True(s.a.Renew(ctx, []string{"e1"}, nil)) // the write took effect
	s.store.loseAnswers = false
	is.True(s.a.Renew(ctx, nil, nil))
	s.store.reject = true
	is.True(!s.a.Renew(ctx, []string{"e2"}, nil)) // not confirmed, so e2 must not get orders
	is.True(s.a.Held())
	s.now += 2 * time.Second
	is.True(!s.a.Renew(ctx, nil, nil))
	is.True(!s.a.Held())
}

// TestPublished guards against orders to endpoints that were not published as about to change, and against endpoints that stay
// published after the lease is released.
func TestPublished(t *testing.T) {
	is := is.New(t)
	s := newSite()
	var published objects
	s.a.Publish, s.a.PublishName = &published, "Updating"
	ctx := context.Background()
	is.True(acquire(t, s.a))
	is.True(s.a.Renew(ctx, []string{"e1"}, nil))
	is.Equal(string(published.value), `{"Token":1,"Endpoints":["e1"]}`)
	is.True(s.a.Renew(ctx, []string{"e1"}, nil))
	is.Equal(published.revision, uint64(1)) // no write without a change, since it would wake all watchers
	published.reject = true
	is.True(!s.a.Renew(ctx, []string{"e2"}, nil))
	published.reject, published.loseAnswers = false, true
	is.True(!s.a.Renew(ctx, []string{"e2"}, nil)) // written, but not confirmed
	published.loseAnswers = false
	is.True(s.a.Renew(ctx, []string{"e2"}, nil))
	is.Equal(string(published.value), `{"Token":1,"Endpoints":["e2"]}`)
	s.a.Release(ctx)
	is.Equal(string(published.value), `{"Token":1,"Endpoints":null}`)
}

// TestFreeLeaseGoesToLastHolder guards against a change of holder each time the lease is released and acquired again.
func TestFreeLeaseGoesToLastHolder(t *testing.T) {
	is := is.New(t)
	s := newSite()
	ctx := context.Background()
	is.True(acquire(t, s.a))
	s.a.Release(ctx)
	is.True(!acquire(t, s.b))
	is.True(acquire(t, s.a))
	s.a.Release(ctx)
	s.a.ClearWanted()
	s.now += time.Second
	is.True(acquire(t, s.b)) // the last holder did not take it within its head start
}
