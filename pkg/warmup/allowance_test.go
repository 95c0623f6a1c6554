package warmup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/warmup"
)

var start = time.Unix(1_800_000_000, 0)

func atMs(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestAllowance guards against more runs on a cold engine than it can serve, and against too few on a warm one.
func TestAllowance(t *testing.T) {
	cold := func(a *warmup.Allowance) { a.Observe(atMs(0), warmup.Report{Incarnation: 1, Capacity: 2}) }
	warm := func(a *warmup.Allowance) { a.Observe(atMs(0), warmup.Report{Incarnation: 1, Warm: true, Capacity: 4}) }
	for _, test := range []struct {
		name  string
		steps func(a *warmup.Allowance)
		free  int
	}{
		{"before the first message", func(*warmup.Allowance) {}, 0},
		{"cold", cold, 2},
		{"warm", warm, 4},
		{"cold and fully used", func(a *warmup.Allowance) {
			cold(a)
			a.Accepted(atMs(1), 1)
			a.Accepted(atMs(2), 1)
		}, 0},
		{"capacity below the allowance", func(a *warmup.Allowance) {
			cold(a)
			a.FirstToken(1, 0)
			a.Observe(atMs(1), warmup.Report{Incarnation: 1, Capacity: 1})
		}, 1},
		{"first token in time", func(a *warmup.Allowance) {
			cold(a)
			a.FirstToken(1, time.Second)
			a.Observe(atMs(1), warmup.Report{Incarnation: 1, Capacity: 4})
		}, 3},
		{"late first token", func(a *warmup.Allowance) {
			cold(a)
			a.FirstToken(1, 2*time.Second)
			a.Observe(atMs(1), warmup.Report{Incarnation: 1, Capacity: 4})
		}, 2},
		{"first token of the previous incarnation", func(a *warmup.Allowance) {
			cold(a)
			a.Observe(atMs(1), warmup.Report{Incarnation: 2, Capacity: 4})
			a.FirstToken(1, 0)
		}, 2},
		{"first token at the batch limit", func(a *warmup.Allowance) {
			warm(a)
			a.FirstToken(1, 0)
		}, 4},
		{"restart seen in a report", func(a *warmup.Allowance) {
			warm(a)
			a.Accepted(atMs(1), 1)
			a.Observe(atMs(2), warmup.Report{Incarnation: 2, Capacity: 2})
		}, 2},
		{"restart seen in an acceptance", func(a *warmup.Allowance) {
			warm(a)
			a.Accepted(atMs(1), 1)
			a.Accepted(atMs(2), 2)
		}, 1},
		{"end of a run of the previous incarnation", func(a *warmup.Allowance) {
			warm(a)
			a.Accepted(atMs(1), 1)
			a.Accepted(atMs(2), 2)
			a.Ended(1)
		}, 1},
		{"end of a run", func(a *warmup.Allowance) {
			cold(a)
			a.Accepted(atMs(1), 1)
			a.Ended(1)
		}, 2},
		{"runs of a predecessor process", func(a *warmup.Allowance) {
			a.Observe(atMs(0), warmup.Report{Incarnation: 1, Warm: true, Capacity: 4, Running: 3})
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

// TestNeedsReport guards against a submission that relies on an outdated message or on a cold engine's allowance.
func TestNeedsReport(t *testing.T) {
	is := is.New(t)
	a := warmup.New(warmup.Settings{BatchLimit: 4, ColdLimit: 2})
	is.True(a.NeedsReport(atMs(0))) // no message yet
	a.Observe(atMs(0), warmup.Report{Incarnation: 1, Warm: true, Capacity: 4})
	is.True(!a.NeedsReport(atMs(50)))
	is.True(a.NeedsReport(atMs(51)))
	a.Accepted(atMs(60), 1)
	is.True(!a.NeedsReport(atMs(110))) // an acceptance is a message too
	a.Lost()
	is.True(a.NeedsReport(atMs(61)))
	a.Accepted(atMs(70), 2)
	is.True(a.NeedsReport(atMs(70))) // cold
}

func BenchmarkAllowance(b *testing.B) {
	for _, limit := range []int{2, 16, 256} {
		b.Run(fmt.Sprint("BatchLimit=", limit), func(b *testing.B) {
			a := warmup.New(warmup.Settings{BatchLimit: limit})
			a.Observe(atMs(0), warmup.Report{Incarnation: 1, Warm: true, Capacity: limit})
			for b.Loop() {
				if a.Free() > 0 {
					a.Accepted(atMs(1), 1)
				}
				a.FirstToken(1, 0)
				a.Ended(1)
			}
		})
	}
}
