package lease_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/internal/process/lease"
	"primrosecourse/internal/version/registry"
)

// restore brings the store back to an earlier state, in the next era, and tells the gateways when the era began.
func (f *fixture) restore(old fakeStore) {
	era := registry.Era(f.store.revision) + 1
	f.store = old
	f.store.revision = era*registry.EraSize + old.revision%registry.EraSize
	since := f.now
	for _, l := range []*lease.Lease{f.a, f.b} {
		l.EraSince = func() time.Duration { return since }
	}
}

// await lets time pass until a lease is acquired, and returns how long that took.
func (f *fixture) await(t *testing.T, l *lease.Lease) time.Duration {
	t.Helper()
	from := f.now
	for !acquire(t, l) {
		if f.now += 100 * time.Millisecond; f.now-from > time.Minute {
			t.Fatal("lease is not acquired")
		}
	}
	return f.now - from
}

// TestTokenAfterRestore guards against a fencing token that is given out again, and against two holders that order one endpoint within the lease
// time, because the store lost an acquisition.
func TestTokenAfterRestore(t *testing.T) {
	for name, lost := range map[string]bool{"the copy has an earlier holder": false, "the copy has no lease": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			ctx := context.Background()
			old := f.store
			if !lost {
				is.True(acquire(t, f.b))
				f.b.Release(ctx, nil)
				old = f.store
			}
			f.await(t, f.a)
			is.True(f.a.Renew(ctx, []string{"e1"}, nil))
			is.True(f.a.MayOrder("e1"))
			ordered, token := f.now, f.a.Token()
			f.restore(old)
			f.await(t, f.b)
			is.True(f.now-ordered >= lease.DefaultValidity) // A no longer orders
			is.True(!f.a.MayOrder("e1"))
			is.True(f.b.Token() > token)
			is.True(!f.a.Renew(ctx, nil, nil))
			is.True(!f.a.Held())
			for f.now < ordered+lease.DefaultValidity+lease.DefaultTime {
				is.True(f.b.Renew(ctx, nil, nil))
				is.True(!f.b.MayOrder("e1"))
				is.True(!f.b.MayOrder("e2")) // the orders of A are not known
				f.now += 300 * time.Millisecond
			}
			is.True(f.b.Renew(ctx, nil, nil))
			f.now += 300 * time.Millisecond
			is.True(f.b.Renew(ctx, nil, nil))
			is.True(f.b.MayOrder("e1"))
		})
	}
}

// TestNextHolderAfterRestore guards against a holder that does not know of orders lost in a restore, since it acquired the lease from another one
// that did.
func TestNextHolderAfterRestore(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	ctx := context.Background()
	old := f.store
	f.await(t, f.a)
	is.True(f.a.Renew(ctx, []string{"e1"}, nil))
	restored := f.now
	f.restore(old)
	f.await(t, f.b)
	c := f.gateway("C")
	f.b.Release(ctx, nil)
	f.await(t, c)
	for f.now < restored+lease.DefaultValidity+lease.DefaultTime {
		is.True(!c.MayOrder("e1"))
		f.now += 100 * time.Millisecond
		is.True(c.Renew(ctx, nil, nil))
	}
}

// TestAcquisitionInLaterEra guards against a holder that waits for orders of before a restore although the lease was acquired since.
func TestAcquisitionInLaterEra(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	ctx := context.Background()
	f.store.revision = registry.EraSize
	f.store.value = []byte(`{"Holder":"","Last":"C","Token":5,"Renewal":3,"Era":1}`)
	f.b.EraSince = func() time.Duration { return f.now } // B has just started
	f.await(t, f.b)
	is.True(f.b.Renew(ctx, []string{"e1"}, nil))
	is.True(f.b.MayOrder("e1"))
}

// TestHolderInCopy guards against a gateway that goes on with a lease that the copy says it holds, although another one may have taken it since.
func TestHolderInCopy(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	ctx := context.Background()
	is.True(acquire(t, f.a))
	is.True(f.a.Renew(ctx, []string{"e1"}, nil))
	old := f.store
	is.True(!acquire(t, f.b))
	f.now += 2 * time.Second // A is suspended
	is.True(acquire(t, f.b))
	is.True(f.b.Renew(ctx, []string{"e2"}, nil))
	is.True(f.b.MayOrder("e2"))
	f.restore(old)
	is.True(!f.a.Renew(ctx, []string{"e1"}, nil))
	is.True(!f.a.Renew(ctx, []string{"e1"}, nil))
	is.True(!f.a.MayOrder("e1"))
}
