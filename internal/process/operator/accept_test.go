package operator

import (
	"bytes"
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/process/platform/platformtest"
	"primrosecourse/pkg/settings"
)

// unreliablePlatform is a platform that loses responses, applies writes after it has reported an unknown outcome, and runs
// another operator's writes between the calls.
type unreliablePlatform struct {
	*platformtest.Fake
	random *rand.Rand
	// faultRate is the fraction of calls with a fault.
	faultRate float64
	// faultKinds is the number of kinds of fault that Put draws from, in the order of its cases. Kinds 1 and 2 store nothing
	// and report that nothing was stored.
	faultKinds int
	rival      func()
	delayed    []platform.Object
	// values are all stored values, in order.
	values [][]byte
}

func (p *unreliablePlatform) store(obj platform.Object) (uint64, error) {
	version, err := p.Store.Put(obj)
	if err == nil {
		p.values = append(p.values, obj.Value)
	}
	return version, err
}

// applyDelayed applies the delayed writes.
func (p *unreliablePlatform) applyDelayed() {
	for _, obj := range p.delayed {
		_, _ = p.store(obj)
	}
	p.delayed = nil
}

// beforeCall runs delayed and rival writes at random. It returns the fault of the call, from 1 to faultKinds, or 0 for
// none.
func (p *unreliablePlatform) beforeCall() (faultKind int) {
	if p.random.IntN(2) == 0 {
		p.applyDelayed()
	}
	if p.random.Float64() < p.faultRate/4 {
		p.rival()
	}
	if p.random.Float64() < p.faultRate {
		return 1 + p.random.IntN(p.faultKinds)
	}
	return 0
}

func (p *unreliablePlatform) Get(_ context.Context, kind, name string) (platform.Object, error) {
	if p.beforeCall() > 0 {
		return platform.Object{}, platform.ErrUnavailable
	}
	return p.Store.Get(kind, name)
}

func (p *unreliablePlatform) Put(_ context.Context, obj platform.Object) (uint64, error) {
	switch p.beforeCall() {
	case 1:
		return 0, platform.ErrUnavailable
	case 2:
		return 0, platform.ErrRateLimited
	case 3: // request lost
		return 0, platform.ErrUncertain
	case 4: // response lost
		_, _ = p.store(obj)
		return 0, platform.ErrUncertain
	case 5: // applied later
		p.delayed = append(p.delayed, obj)
		return 0, platform.ErrUncertain
	}
	return p.store(obj)
}

// TestOutcomeMatchesPlatform guards against an outcome that contradicts the stored values: Done although the change was
// not accepted exactly once, or Rejected or Unavailable although it was accepted.
func TestOutcomeMatchesPlatform(t *testing.T) {
	seen := map[Code]int{}
	for seed := range uint64(400) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			old, err := f.readExisting(t.Context())
			is.NoErr(err)
			random := rand.New(rand.NewPCG(seed, 1))
			u := &unreliablePlatform{Fake: f.fake, random: random, faultRate: random.Float64(), faultKinds: 5}
			if seed%4 == 0 {
				u.faultKinds, u.faultRate = 2, 0.8+0.2*u.faultRate
			}
			u.rival = func() {
				// The rival changes the stored value, as a command of another operator does.
				object, err := f.fake.Store.Get(ConfigKind, ConfigName)
				is.NoErr(err)
				accepted, err := settings.DecodeAccepted(object.Value)
				is.NoErr(err)
				accepted.Operator, accepted.At = "bob", time.Now()
				accepted.Deployment.Limits.MaxTokens++
				if object.Value, err = accepted.Encode(); err == nil {
					_, err = u.store(object)
				}
				is.NoErr(err)
			}
			f.Platform = u
			next := deployment()
			next.FailureDomains[1].State = settings.Leaving
			c, winner, err := f.accept(t.Context(), old, next)
			code := CodeOf(err)
			u.applyDelayed()
			stored := 0
			for _, value := range u.values {
				accepted, err := settings.DecodeAccepted(value)
				is.NoErr(err)
				if accepted.Operator == "ada" {
					stored++
				}
			}
			want := map[Code][2]int{Done: {1, 1}, Rejected: {0, 0}, Unavailable: {0, 0}, Unknown: {0, 1}}[code]
			if stored < want[0] || stored > want[1] {
				t.Errorf("seed %d: outcome %s, but stored %d times: %v", seed, code, stored, err)
			}
			// After a conflict the outcome is Rejected, but without a winner if the platform goes down before the winner can be
			// read.
			if code == Rejected && !errors.Is(err, platform.ErrUnavailable) && (winner == nil || winner.Operator != "bob") {
				t.Errorf("seed %d: rejected without a winner or with the wrong one: %v", seed, err)
			}
			if code == Done && !bytes.Contains(c.Content, []byte(`"ada"`)) {
				t.Errorf("seed %d: Done returned the content of another operator", seed)
			}
			seen[code]++
		})
	}
	for _, code := range []Code{Done, Rejected, Unavailable, Unknown} {
		if seen[code] == 0 {
			t.Errorf("no seed ended with outcome %s: %v", code, seen)
		}
	}
	t.Log(seen)
}

// TestRepeatAfterUnknown guards against accepting a change twice when an operator retries a command whose outcome was
// unknown, as primrosectl advises.
func TestRepeatAfterUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t)
		ctx, cancel := context.WithCancel(t.Context())
		u := &unreliablePlatform{Fake: f.fake, random: rand.New(rand.NewPCG(1, 1)), faultKinds: 5}
		f.Platform = interruptedPlatform{u, cancel}
		_, err := f.LeaveDomain(ctx, "South", Options{})
		is.Equal(CodeOf(err), Unknown)
		version := f.stored(t).Version
		f.Platform = f.fake
		report, err := f.LeaveDomain(t.Context(), "South", Options{})
		is.NoErr(err)
		is.Equal(report.Version, version)
		is.Equal(len(report.Changes), 0)
	})
}

// interruptedPlatform cancels the context of the command after its first write is stored but before the response.
type interruptedPlatform struct {
	*unreliablePlatform
	cancel func()
}

func (p interruptedPlatform) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	if ctx.Err() != nil {
		return platform.Object{}, platform.ErrUnavailable
	}
	return p.unreliablePlatform.Get(ctx, kind, name)
}

func (p interruptedPlatform) Put(_ context.Context, obj platform.Object) (uint64, error) {
	_, _ = p.store(obj)
	p.cancel()
	return 0, platform.ErrUncertain
}
