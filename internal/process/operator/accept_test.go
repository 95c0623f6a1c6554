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

// unreliable loses replies, delays writes past their reply and lets a rival write between the calls.
type unreliable struct {
	*platformtest.Fake
	random *rand.Rand
	// share is the share of calls that something happens to.
	share float64
	// kinds is the number of kinds of faults in Put; the first two have no effect.
	kinds   int
	rival   func()
	delayed []platform.Object
	// values are all that were stored, in order.
	values [][]byte
}

func (u *unreliable) store(obj platform.Object) (uint64, error) {
	version, err := u.Store.Put(obj)
	if err == nil {
		u.values = append(u.values, obj.Value)
	}
	return version, err
}

// settle lets delayed writes take effect.
func (u *unreliable) settle() {
	for _, obj := range u.delayed {
		_, _ = u.store(obj)
	}
	u.delayed = nil
}

func (u *unreliable) before() (happens int) {
	if u.random.IntN(2) == 0 {
		u.settle()
	}
	if u.random.Float64() < u.share/4 {
		u.rival()
	}
	if u.random.Float64() < u.share {
		return 1 + u.random.IntN(u.kinds)
	}
	return 0
}

func (u *unreliable) Get(_ context.Context, kind, name string) (platform.Object, error) {
	if u.before() > 0 {
		return platform.Object{}, platform.ErrUnavailable
	}
	return u.Store.Get(kind, name)
}

func (u *unreliable) Put(_ context.Context, obj platform.Object) (uint64, error) {
	switch u.before() {
	case 1:
		return 0, platform.ErrUnavailable
	case 2:
		return 0, platform.ErrRateLimited
	case 3: // lost on the way
		return 0, platform.ErrUncertain
	case 4: // reply lost
		_, _ = u.store(obj)
		return 0, platform.ErrUncertain
	case 5: // still on the way
		u.delayed = append(u.delayed, obj)
		return 0, platform.ErrUncertain
	}
	return u.store(obj)
}

// TestOutcomeMatchesPlatform guards against an outcome that is not what happened: Done although the change was not
// accepted exactly once, or Rejected or Unavailable although it was.
func TestOutcomeMatchesPlatform(t *testing.T) {
	seen := map[Code]int{}
	for seed := range uint64(400) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t)
			old, err := r.mustRead(t.Context())
			is.NoErr(err)
			random := rand.New(rand.NewPCG(seed, 1))
			u := &unreliable{Fake: r.fake, random: random, share: random.Float64(), kinds: 5}
			if seed%4 == 0 {
				u.kinds, u.share = 2, 0.8+0.2*u.share
			}
			u.rival = func() {
				// The rival changes what stands, as a command of another operator does.
				object, err := r.fake.Store.Get(ConfigKind, ConfigName)
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
			r.Platform = u
			next := deployment()
			next.FailureDomains[1].State = settings.Leaving
			c, winner, err := r.accept(t.Context(), old, next)
			code := CodeOf(err)
			u.settle()
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
			// A conflict is certain even if the platform goes down before it tells who won.
			if code == Rejected && !errors.Is(err, platform.ErrUnavailable) && (winner == nil || winner.Operator != "bob") {
				t.Errorf("seed %d: rejected without a winner: %v", seed, err)
			}
			if code == Done && !bytes.Contains(c.Content, []byte(`"ada"`)) {
				t.Errorf("seed %d: content of another operator", seed)
			}
			seen[code]++
		})
	}
	for _, code := range []Code{Done, Rejected, Unavailable, Unknown} {
		if seen[code] == 0 {
			t.Errorf("no run ended as %s: %v", code, seen)
		}
	}
	t.Log(seen)
}

// TestRepeatAfterUnknown guards against a second acceptance when an operator repeats a command whose outcome was
// unknown, as the hint advises.
func TestRepeatAfterUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		ctx, cancel := context.WithCancel(t.Context())
		u := &unreliable{Fake: r.fake, random: rand.New(rand.NewPCG(1, 1)), kinds: 5}
		r.Platform = interrupted{u, cancel}
		_, err := r.LeaveDomain(ctx, "South", Options{})
		is.Equal(CodeOf(err), Unknown)
		version := r.stored(t).Version
		r.Platform = r.fake
		report, err := r.LeaveDomain(t.Context(), "South", Options{})
		is.NoErr(err)
		is.Equal(report.Version, version)
		is.Equal(len(report.Changes), 0)
	})
}

// interrupted ends the command while its write is under way.
type interrupted struct {
	*unreliable
	cancel func()
}

func (i interrupted) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	if ctx.Err() != nil {
		return platform.Object{}, platform.ErrUnavailable
	}
	return i.unreliable.Get(ctx, kind, name)
}

func (i interrupted) Put(_ context.Context, obj platform.Object) (uint64, error) {
	_, _ = i.store(obj)
	i.cancel()
	return 0, platform.ErrUncertain
}
