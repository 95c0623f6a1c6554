package staleness_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/staleness"
)

const model = "M"

// TestRule guards against requests that are sent so late that they begin on replaced weights after the limit.
func TestRule(t *testing.T) {
	rule := staleness.Rule{Limit: 10 * time.Second}
	for _, test := range []struct {
		name       string
		rule       staleness.Rule
		age, begin time.Duration
		want       bool
	}{
		{"just named", rule, 0, time.Second, true},
		{"begins before the slack", rule, 7 * time.Second, time.Second, true},
		{"waits into the slack", rule, 7 * time.Second, 1100 * time.Millisecond, false},
		{"in the slack", rule, 8100 * time.Millisecond, 0, false},
		{"after the limit", rule, time.Hour, 0, false},
		{"negative wait", rule, 8100 * time.Millisecond, -time.Hour, false},
		{"no limit", staleness.Rule{}, time.Hour, time.Hour, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(test.rule.MayBegin(test.age, test.begin), test.want)
		})
	}
}

// TestReplacedFor guards against a time that is less than the time since a version was replaced.
func TestReplacedFor(t *testing.T) {
	const start, now = time.Hour, time.Hour + 5*time.Second
	for _, test := range []struct {
		name  string
		steps func(a *staleness.Ages)
		want  time.Duration
	}{
		{"seen", func(a *staleness.Ages) { a.Named(model, 2, start, true) }, 5 * time.Second},
		{"named before the start", func(a *staleness.Ages) { a.Named(model, 2, start, false) }, 9 * time.Second},
		{"not named", func(*staleness.Ages) {}, 0},
		{"stated by another gateway after the start", func(a *staleness.Ages) {
			a.Named(model, 2, start, false)
			a.SetPeer(model, staleness.Age{Version: 2, Age: time.Second}, start)
		}, 6 * time.Second},
		{"stated by another gateway before the first read", func(a *staleness.Ages) {
			a.SetPeer(model, staleness.Age{Version: 2, Age: time.Second}, start-time.Second)
			a.Named(model, 2, start, false)
		}, 7 * time.Second},
		{"higher age of another gateway", func(a *staleness.Ages) {
			a.Named(model, 2, start, true)
			a.SetPeer(model, staleness.Age{Version: 2, Age: 4 * time.Second}, start)
		}, 9 * time.Second},
		{"lower age of another gateway", func(a *staleness.Ages) {
			a.Named(model, 2, start, true)
			a.SetPeer(model, staleness.Age{Version: 2}, start+time.Second)
		}, 5 * time.Second},
		{"negative age of another gateway", func(a *staleness.Ages) {
			a.Named(model, 2, start, false)
			a.SetPeer(model, staleness.Age{Version: 2, Age: -time.Hour}, start)
		}, 9 * time.Second},
		{"version itself", func(a *staleness.Ages) {
			a.Named(model, 1, start-time.Minute, true)
			a.Named(model, 2, start, true)
			a.SetPeer(model, staleness.Age{Version: 1, Age: time.Hour}, start)
		}, 5 * time.Second},
		{"two newer versions", func(a *staleness.Ages) {
			a.Named(model, 2, start, true)
			a.Named(model, 3, start+3*time.Second, true)
		}, 5 * time.Second},
		{"started between two newer versions", func(a *staleness.Ages) {
			a.Named(model, 3, start, true)
			a.SetPeer(model, staleness.Age{Version: 2, Age: 3 * time.Second}, start)
		}, 8 * time.Second},
		{"many newer versions", func(a *staleness.Ages) {
			for version := range uint64(10) {
				a.Named(model, 2+version, start+time.Duration(version)*time.Millisecond, true)
			}
		}, 5 * time.Second},
		{"store lost for 3 s", func(a *staleness.Ages) {
			a.Named(model, 2, start, true)
			a.StoreLost(start + time.Second)
			a.StoreRegained(start + 4*time.Second)
		}, 2 * time.Second},
		{"store lost until now", func(a *staleness.Ages) {
			a.Named(model, 2, start, true)
			a.StoreLost(start + time.Second)
		}, time.Second},
		{"connection lost for half a second", func(a *staleness.Ages) {
			a.Named(model, 2, start, true)
			a.StoreLost(start + time.Second)
			a.StoreRegained(start + 1500*time.Millisecond)
		}, 5 * time.Second},
		{"store lost by this gateway only", func(a *staleness.Ages) {
			a.Named(model, 2, start, true)
			a.StoreLost(start + time.Second)
			a.SetPeer(model, staleness.Age{Version: 2, Age: 4 * time.Second}, start+4*time.Second)
			a.StoreRegained(start + 4*time.Second)
		}, 5 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := &staleness.Ages{StartAge: 4 * time.Second}
			test.steps(a)
			is.New(t).Equal(a.ReplacedFor(model, 1, now), test.want)
		})
	}
}

// TestStated guards against assumed ages that other gateways take for known ones.
func TestStated(t *testing.T) {
	is := is.New(t)
	a := &staleness.Ages{StartAge: time.Second}
	a.Named(model, 2, time.Hour, false)
	is.Equal(len(a.Stated(time.Hour)), 0)
	a.SetPeer(model, staleness.Age{Version: 2, Age: 3 * time.Second}, time.Hour)
	is.Equal(a.Stated(time.Hour + time.Second)[model], []staleness.Age{{Version: 2, Age: 4 * time.Second}})
	is.Equal(len(a.Stated(time.Hour+2*time.Minute)), 0)
}

// TestModelsAreBounded guards against memory that grows with each model that another gateway names.
func TestModelsAreBounded(t *testing.T) {
	is := is.New(t)
	a := &staleness.Ages{}
	for i := range 10_000 {
		a.SetPeer(fmt.Sprint(i), staleness.Age{Version: 1}, time.Hour)
	}
	is.True(len(a.Stated(time.Hour)) <= 256)
	a.Named("own", 2, time.Hour, true)
	is.Equal(a.ReplacedFor("own", 1, time.Hour+time.Second), time.Second)
}
