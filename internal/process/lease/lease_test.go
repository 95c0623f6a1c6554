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

// objects is a store with one object.
type objects struct {
	value    json.RawMessage
	revision uint64
	// fail answers calls of a gateway that the store turns away; lose carries writes out and loses their answers.
	fail, lose bool
}

func (o *objects) Get(context.Context, string) (json.RawMessage, uint64, error) {
	switch {
	case o.fail:
		return nil, 0, platform.ErrRateLimited
	case o.revision == 0:
		return nil, 0, platform.ErrNotFound
	}
	return o.value, o.revision, nil
}

func (o *objects) Put(_ context.Context, _ string, revision uint64, value any) (uint64, error) {
	if o.fail {
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
	if o.lose {
		return 0, platform.ErrUncertain
	}
	return o.revision, nil
}

// site is two gateways with a clock that the test moves.
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

func acquire(t *testing.T, l *lease.Lease) bool {
	t.Helper()
	l.Wanted()
	held, err := l.Acquire(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return held
}

// TestSuspendedHolder guards against a holder that was suspended, does not know it, and orders beside its successor.
func TestSuspendedHolder(t *testing.T) {
	is := is.New(t)
	s := newSite()
	ctx := context.Background()
	is.True(acquire(t, s.a))
	is.True(s.a.Renew(ctx, []string{"e1"}, []string{"e1"}))
	is.True(s.a.MayOrder("e1"))
	is.True(!acquire(t, s.b))
	s.now += 1700 * time.Millisecond // A stands still
	is.True(!s.a.MayOrder("e1"))     // the lease has lapsed before anyone may take it
	is.True(acquire(t, s.b))
	is.True(s.b.Token() > s.a.Token())
	is.True(!s.a.Renew(ctx, nil, nil))
	is.True(!s.a.Held())
}

// TestOrdersOfTwoHolders guards against holders that take turns at an endpoint within the lease time.
func TestOrdersOfTwoHolders(t *testing.T) {
	is := is.New(t)
	s := newSite()
	ctx := context.Background()
	is.True(acquire(t, s.a))
	is.True(s.a.Renew(ctx, []string{"e1"}, []string{"e1"}))
	s.now += 900 * time.Millisecond
	is.True(s.a.MayOrder("e1")) // the last moment at which A orders
	last := s.now
	is.True(!acquire(t, s.b)) // B sees the lease for the first time
	s.now += lease.DefaultSilence
	is.True(acquire(t, s.b))
	is.True(s.b.MayOrder("e2")) // A had nothing to do with it
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

// TestThirdHolderKnowsOrdersOfTheFirst guards against forgetting recent orders when the lease changes hands twice.
func TestThirdHolderKnowsOrdersOfTheFirst(t *testing.T) {
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

// TestLostAnswer guards against giving the lease up, or ordering without it, after an answer of the store was lost.
func TestLostAnswer(t *testing.T) {
	is := is.New(t)
	s := newSite()
	ctx := context.Background()
	is.True(acquire(t, s.a))
	s.store.lose = true
	is.True(s.a.Renew(ctx, []string{"e1"}, nil)) // the write took effect
	s.store.lose = false
	is.True(s.a.Renew(ctx, nil, nil))
	s.store.fail = true
	is.True(!s.a.Renew(ctx, []string{"e2"}, nil)) // nobody knows of e2
	is.True(s.a.Held())
	s.now += 2 * time.Second
	is.True(!s.a.Renew(ctx, nil, nil))
	is.True(!s.a.Held())
}

// TestPublished guards against orders to endpoints that other gateways do not know to be about to change, and against names
// that stay when the work is done.
func TestPublished(t *testing.T) {
	is := is.New(t)
	s := newSite()
	var named objects
	s.a.Publish, s.a.PublishName = &named, "Updating"
	ctx := context.Background()
	is.True(acquire(t, s.a))
	is.True(s.a.Renew(ctx, []string{"e1"}, nil))
	is.Equal(string(named.value), `{"Token":1,"Endpoints":["e1"]}`)
	is.True(s.a.Renew(ctx, []string{"e1"}, nil))
	is.Equal(named.revision, uint64(1)) // nobody is woken for nothing
	named.fail = true
	is.True(!s.a.Renew(ctx, []string{"e2"}, nil))
	named.fail, named.lose = false, true
	is.True(!s.a.Renew(ctx, []string{"e2"}, nil)) // written, but not known to be
	named.lose = false
	is.True(s.a.Renew(ctx, []string{"e2"}, nil))
	is.Equal(string(named.value), `{"Token":1,"Endpoints":["e2"]}`)
	s.a.Release(ctx)
	is.Equal(string(named.value), `{"Token":1,"Endpoints":null}`)
}

// TestFreeLeaseGoesToLastHolder guards against holders that change with each piece of work.
func TestFreeLeaseGoesToLastHolder(t *testing.T) {
	is := is.New(t)
	s := newSite()
	ctx := context.Background()
	is.True(acquire(t, s.a))
	s.a.Release(ctx)
	is.True(!acquire(t, s.b))
	is.True(acquire(t, s.a))
	s.a.Release(ctx)
	s.a.Unwanted()
	s.now += time.Second
	is.True(acquire(t, s.b)) // the last holder does not want it, or is gone
}
