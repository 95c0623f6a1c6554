package intake_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/intake"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func states(rate float64) intake.Statement { return intake.Statement{HasRate: true, Rate: rate} }

// TestStatements guards against a stated rate that is forgotten too early, that is kept after the endpoint ceased to state it, or that an
// answer which was overtaken on its way changes.
func TestStatements(t *testing.T) {
	for _, test := range []struct {
		name    string
		steps   func(table *intake.Table)
		limited bool
		rate    float64
	}{
		{"never stated", func(*intake.Table) {}, false, 0},
		{"stated", func(table *intake.Table) { table.Observe(at(10), at(0), "e", states(5)) }, true, 5},
		{"stated long ago", func(table *intake.Table) { table.Observe(at(-60_000), at(-60_010), "e", states(5)) }, true, 5},
		{"no longer stated", func(table *intake.Table) {
			table.Observe(at(10), at(0), "e", states(5))
			table.Observe(at(30), at(20), "e", intake.Statement{})
		}, false, 0},
		{"an answer to an earlier request states none", func(table *intake.Table) {
			table.Observe(at(10), at(5), "e", states(5))
			table.Observe(at(30), at(0), "e", intake.Statement{})
		}, true, 5},
		{"an answer to an earlier request states more", func(table *intake.Table) {
			table.Observe(at(10), at(5), "e", states(5))
			table.Observe(at(30), at(0), "e", states(50))
		}, true, 5},
		{"an answer to an earlier request states less", func(table *intake.Table) {
			table.Observe(at(10), at(5), "e", states(5))
			table.Observe(at(30), at(0), "e", states(2))
		}, true, 2},
		{"an unreadable rate", func(table *intake.Table) {
			table.Observe(at(10), at(0), "e", states(5))
			table.Observe(at(30), at(20), "e", intake.Statement{Invalid: true})
		}, true, 5},
		{"a restart", func(table *intake.Table) {
			table.Started("e", at(-1000))
			table.Observe(at(10), at(0), "e", states(5))
			table.Started("e", at(20))
		}, false, 0},
		{"another process was told", func(table *intake.Table) {
			table.SetPeer(at(30), "p", 1, []intake.Report{{Endpoint: "e", Rate: 7, Ago: 5 * time.Millisecond}})
		}, true, 7},
		{"another process was told earlier than this one", func(table *intake.Table) {
			table.Observe(at(30), at(20), "e", intake.Statement{})
			table.SetPeer(at(40), "p", 1, []intake.Report{{Endpoint: "e", Rate: 7, Ago: 30 * time.Millisecond}})
		}, false, 0},
		{"another process was told and then silent", func(table *intake.Table) {
			table.SetPeer(at(-5000), "p", 1, []intake.Report{{Endpoint: "e", Rate: 7}})
		}, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := intake.New()
			test.steps(table)
			rate, _, limited := table.Rate(at(50), "e")
			is.Equal(limited, test.limited)
			if limited {
				is.Equal(rate, test.rate)
			}
		})
	}
}

// TestClosed guards against requests to an endpoint that leaves or wants none for some time, and against one that is left out for longer.
func TestClosed(t *testing.T) {
	for _, test := range []struct {
		name    string
		steps   func(table *intake.Table)
		leaving bool
		pause   time.Duration
	}{
		{"open", func(*intake.Table) {}, false, 0},
		{"leaves", func(table *intake.Table) { table.Observe(at(10), at(0), "e", intake.Statement{Leaving: true}) }, true, 0},
		{"a later answer does not say so", func(table *intake.Table) {
			table.Observe(at(10), at(0), "e", intake.Statement{Leaving: true})
			table.Observe(at(30), at(20), "e", intake.Statement{})
		}, true, 0},
		{"restarted", func(table *intake.Table) {
			table.Started("e", at(-1000))
			table.Observe(at(10), at(0), "e", intake.Statement{Leaving: true, Pause: time.Second})
			table.Started("e", at(20))
		}, false, 0},
		{"leaves, as told to another process", func(table *intake.Table) {
			table.SetPeer(at(10), "p", 1, []intake.Report{{Endpoint: "e", Rate: -1, Leaving: true}})
		}, true, 0},
		{"as told to another process long ago", func(table *intake.Table) {
			table.SetPeer(at(-5000), "p", 1, []intake.Report{{Endpoint: "e", Rate: -1, Leaving: true}})
		}, false, 0},
		{"pauses", func(table *intake.Table) {
			table.Observe(at(10), at(0), "e", intake.Statement{Pause: 300 * time.Millisecond})
		}, false,
			260 * time.Millisecond},
		{"paused", func(table *intake.Table) {
			table.Observe(at(-400), at(-410), "e", intake.Statement{Pause: 300 * time.Millisecond})
		}, false, 0},
		{"a shorter pause after a longer one", func(table *intake.Table) {
			table.Observe(at(10), at(0), "e", intake.Statement{Pause: 300 * time.Millisecond})
			table.Observe(at(20), at(0), "e", intake.Statement{Pause: 50 * time.Millisecond})
		}, false, 260 * time.Millisecond},
		{"an answer without a pause during one", func(table *intake.Table) {
			table.Observe(at(10), at(0), "e", intake.Statement{Pause: 300 * time.Millisecond})
			table.Observe(at(20), at(0), "e", intake.Statement{})
		}, false, 260 * time.Millisecond},
		{"an hour", func(table *intake.Table) { table.Observe(at(50), at(0), "e", intake.Statement{Pause: time.Hour}) }, false, time.Minute},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := intake.New()
			test.steps(table)
			leaving, pause := table.Closed(at(50), "e")
			is.Equal(leaving, test.leaving)
			is.Equal(pause, test.pause)
		})
	}
}

// TestHeldRateIsRefreshed guards against a rate of 0 that holds for ever, since no request is sent whose answer could end it.
func TestHeldRateIsRefreshed(t *testing.T) {
	is := is.New(t)
	table := intake.New()
	table.Observe(at(10), at(0), "e", states(0))
	admitted := 0
	for ms := 20; ms < 20_000; ms += 100 {
		if table.Admit(at(ms), "e", 1, 0.5).Admitted {
			table.Sent(at(ms), "e")
			admitted++
		}
	}
	is.True(admitted > 0 && admitted <= 20)
}
