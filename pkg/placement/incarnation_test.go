package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
)

// incarnations returns two incarnations of an endpoint, a table to which two requests to the first one were given before the second was
// listed, and the requests.
func incarnations(now, first, second time.Time) (table *placement.Table, before, after *site.Endpoint, req *placement.Request) {
	list := endpoints(1)
	before = list[0]
	before.StartedAt = first
	table = newTable(nil, list, now)
	req = &placement.Request{Service: "S", Gateways: 1}
	table.Sent(now, before, req, 0)
	table.Sent(now, before, req, 0)
	restarted := *before
	restarted.StartedAt = second
	table.SetEndpoints(now, nil, []*site.Endpoint{&restarted})
	return table, before, &restarted, req
}

// TestLateOutcomeOfEarlierIncarnation guards against judging a restarted endpoint by attempts at its predecessor that end after its restart.
func TestLateOutcomeOfEarlierIncarnation(t *testing.T) {
	now := time.Now()
	started, restarted := now.Add(-time.Hour), now.Add(-time.Second)
	for _, o := range []placement.Outcome{placement.Misdirected, placement.Unreachable, placement.Broken, placement.Late, placement.Full, placement.Silent} {
		t.Run(o.String(), func(t *testing.T) {
			is := is.New(t)
			table, before, after, req := incarnations(now, started, restarted)
			for range 2 {
				if o == placement.Silent {
					is.True(!table.Silent(now, before))
				}
				suspect, _ := table.Ended(now, before, req, 0, o)
				is.True(!suspect)
			}
			is.Equal(len(table.Loads(now, 10)), 0) // neither attempt counts as in flight, and the endpoint isn't reported as silent
			other := *after
			other.ID = "other"
			table.Sent(now, &other, req, 0)
			c, refusal := table.Choose(now, req, []*site.Endpoint{after, &other})
			is.True(refusal == nil)
			is.Equal(c.Endpoint, after)
			is.Equal(c.Reason, placement.LeastLoad)
		})
	}
	t.Run("trust", func(t *testing.T) {
		is := is.New(t)
		table, before, after, req := incarnations(now, started, restarted)
		table.Sent(now, after, req, 0)
		table.Ended(now, after, req, 0, placement.Unreachable)
		_, trusted := table.Ended(now, before, req, 0, placement.Answered)
		is.True(!trusted)
		_, refusal := table.Choose(now, req, []*site.Endpoint{after})
		is.True(refusal != nil)
	})
	t.Run("probe", func(t *testing.T) {
		is := is.New(t)
		table, before, after, req := incarnations(now, started, restarted)
		table.Sent(now, after, req, 0)
		table.Ended(now, after, req, 0, placement.Unreachable)
		later := now.Add(time.Second)
		table.Sent(later, after, req, 0)
		table.Ended(later, before, req, 0, placement.Broken)
		_, refusal := table.Choose(later, req, []*site.Endpoint{after})
		is.True(refusal != nil) // the probe of the present incarnation is still under way
		table.Ended(later, after, req, 0, placement.Abandoned)
		c, refusal := table.Choose(later, req, []*site.Endpoint{after})
		is.True(refusal == nil)
		is.Equal(c.Reason, placement.Probe)
		table.Sent(later, before, req, 0) // by a snapshot from before the restart
		_, refusal = table.Choose(later, req, []*site.Endpoint{after})
		is.True(refusal == nil)
	})
}

// TestOutcomeWithoutStatedStart guards against outcomes that count for no incarnation since an entry doesn't state when the endpoint started.
func TestOutcomeWithoutStatedStart(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct{ first, second time.Time }{
		"neither": {time.Time{}, time.Time{}},
		"epoch":   {time.Time{}, time.UnixMilli(0)},
		"first":   {now.Add(-time.Hour), time.Time{}},
		"second":  {time.UnixMilli(0), now},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table, before, _, req := incarnations(now, c.first, c.second)
			suspect, _ := table.Ended(now, before, req, 0, placement.Unreachable)
			is.True(suspect)
		})
	}
}
