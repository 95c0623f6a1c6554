package warmup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/warmup"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestAllowance guards against a cold engine that is given more than it bears, and a warm one that is given too little.
func TestAllowance(t *testing.T) {
	cold := func(a *warmup.Allowance) { a.Observe(at(0), warmup.Sign{Incarnation: 1, Capacity: 2}) }
	warm := func(a *warmup.Allowance) { a.Observe(at(0), warmup.Sign{Incarnation: 1, Warm: true, Capacity: 4}) }
	for _, test := range []struct {
		name  string
		steps func(a *warmup.Allowance)
		free  int
	}{
		{"nothing known", func(*warmup.Allowance) {}, 0},
		{"cold", cold, 2},
		{"warm", warm, 4},
		{"cold and used up", func(a *warmup.Allowance) {
			cold(a)
			a.Accepted(at(1), 1)
			a.Accepted(at(2), 1)
		}, 0},
		{"capacity below the allowance", func(a *warmup.Allowance) {
			cold(a)
			a.FirstToken(1, 0)
			a.Observe(at(1), warmup.Sign{Incarnation: 1, Capacity: 1})
		}, 1},
		{"a first token in time grows it", func(a *warmup.Allowance) {
			cold(a)
			a.FirstToken(1, time.Second)
			a.Observe(at(1), warmup.Sign{Incarnation: 1, Capacity: 4})
		}, 3},
		{"a late first token does not", func(a *warmup.Allowance) {
			cold(a)
			a.FirstToken(1, 2*time.Second)
			a.Observe(at(1), warmup.Sign{Incarnation: 1, Capacity: 4})
		}, 2},
		{"a first token of the incarnation before does not", func(a *warmup.Allowance) {
			cold(a)
			a.Observe(at(1), warmup.Sign{Incarnation: 2, Capacity: 4})
			a.FirstToken(1, 0)
		}, 2},
		{"it stops at the batch limit", func(a *warmup.Allowance) {
			warm(a)
			a.FirstToken(1, 0)
		}, 4},
		{"turned cold, seen in a report", func(a *warmup.Allowance) {
			warm(a)
			a.Accepted(at(1), 1)
			a.Observe(at(2), warmup.Sign{Incarnation: 2, Capacity: 2})
		}, 2},
		{"turned cold, seen in an acceptance", func(a *warmup.Allowance) {
			warm(a)
			a.Accepted(at(1), 1)
			a.Accepted(at(2), 2)
		}, 1},
		{"the end of a run of the incarnation before frees nothing", func(a *warmup.Allowance) {
			warm(a)
			a.Accepted(at(1), 1)
			a.Accepted(at(2), 2)
			a.Ended(1)
		}, 1},
		{"the end of a run frees its place", func(a *warmup.Allowance) {
			cold(a)
			a.Accepted(at(1), 1)
			a.Ended(1)
		}, 2},
		{"runs of a predecessor count", func(a *warmup.Allowance) {
			a.Observe(at(0), warmup.Sign{Incarnation: 1, Warm: true, Capacity: 4, Running: 3})
		}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := warmup.New(warmup.Settings{BatchLimit: 4, ColdLimit: 2})
			test.steps(a)
			is.Equal(a.Free(), test.free)
		})
	}
}

// TestNeedsSign guards against a submission on an old sign.
func TestNeedsSign(t *testing.T) {
	is := is.New(t)
	a := warmup.New(warmup.Settings{BatchLimit: 4, ColdLimit: 2})
	is.True(a.NeedsSign(at(0))) // nothing known
	a.Observe(at(0), warmup.Sign{Incarnation: 1, Warm: true, Capacity: 4})
	is.True(!a.NeedsSign(at(50)))
	is.True(a.NeedsSign(at(51)))
	a.Accepted(at(60), 1)
	is.True(!a.NeedsSign(at(110))) // an acceptance is a sign
	a.Lost()
	is.True(a.NeedsSign(at(61)))
	a.Accepted(at(70), 2)
	is.True(a.NeedsSign(at(70))) // cold
}

func BenchmarkAllowance(b *testing.B) {
	for _, limit := range []int{2, 16, 256} {
		b.Run(fmt.Sprint("BatchLimit=", limit), func(b *testing.B) {
			a := warmup.New(warmup.Settings{BatchLimit: limit})
			a.Observe(at(0), warmup.Sign{Incarnation: 1, Warm: true, Capacity: limit})
			for b.Loop() {
				if a.Free() > 0 {
					a.Accepted(at(1), 1)
				}
				a.FirstToken(1, 0)
				a.Ended(1)
			}
		})
	}
}
