package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/intake"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
)

// TestEndpointUnlistedForAMoment guards against what an endpoint stated in its answers, such as that it leaves, being forgotten while its entry
// cannot be read or is missing, and against endpoints that are kept for ever.
func TestEndpointUnlistedForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &Gateway{Table: placement.New(), listedAt: map[string]time.Time{}}
		e := &site.Endpoint{ID: "e", Service: "s", StartedAt: time.UnixMilli(1)}
		listed := &site.Snapshot{Endpoints: map[string][]*site.Endpoint{"s": {e}}}
		leaves := func() bool {
			leaving, _ := g.Table.Intake.Closed(time.Now(), "e")
			return leaving
		}
		g.updateTable(listed)
		g.Table.Intake.Observe(time.Now(), time.Now(), "e", intake.Statement{Leaving: true})
		is.True(leaves())
		g.updateTable(&site.Snapshot{})
		time.Sleep(10 * time.Second)
		g.updateTable(&site.Snapshot{})
		g.updateTable(listed)
		is.True(leaves())
		g.updateTable(&site.Snapshot{})
		time.Sleep(stateRetention + time.Second)
		g.updateTable(&site.Snapshot{})
		is.True(!leaves())
		is.Equal(len(g.listedAt), 0)
		restarted := *e
		restarted.StartedAt = time.UnixMilli(2)
		g.Table.Intake.Observe(time.Now(), time.Now(), "e", intake.Statement{Leaving: true})
		g.updateTable(&site.Snapshot{Endpoints: map[string][]*site.Endpoint{"s": {&restarted}}})
		is.True(!leaves()) // an earlier incarnation stated it
	})
}

// TestUnchangedEndpoints guards against endpoints that are forgotten, or counted as warm, since snapshots come that differ in something else, and
// against a configuration that is not applied to endpoints that did not change.
func TestUnchangedEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &Gateway{Table: placement.New(), listedAt: map[string]time.Time{}}
		warm := &site.Endpoint{ID: "warm", Service: "s", StartedAt: time.UnixMilli(1)}
		cold := &site.Endpoint{ID: "cold", Service: "s", StartedAt: time.UnixMilli(1), ColdRemaining: time.Second}
		snapshot := func() *site.Snapshot {
			return &site.Snapshot{Endpoints: map[string][]*site.Endpoint{"s": {cold, warm}}, EndpointsRevision: 7}
		}
		for range int(2 * stateRetention / (300 * time.Millisecond)) {
			g.updateTable(snapshot())
			time.Sleep(300 * time.Millisecond)
			is.Equal(len(g.listedAt), 2)
			is.True(g.Table.IsCold(time.Now(), cold)) // until its entry states something else
		}
		warmed := snapshot()
		warmed.Endpoints["s"], warmed.EndpointsRevision = []*site.Endpoint{warm}, 8
		g.updateTable(warmed)
		time.Sleep(2 * time.Second)
		is.True(!g.Table.IsCold(time.Now(), cold))
	})
}

// BenchmarkUpdateTable measures how long a new snapshot takes that differs in its endpoints, or only in something else.
func BenchmarkUpdateTable(b *testing.B) {
	for _, n := range []int{300, 3000, 10000} {
		for _, changed := range []bool{true, false} {
			b.Run(fmt.Sprintf("endpoints=%d/changed=%v", n, changed), func(b *testing.B) {
				var list []*site.Endpoint
				for i := range n {
					list = append(list, &site.Endpoint{ID: fmt.Sprintf("i-%08x", i), Service: "s", StartedAt: time.UnixMilli(1)})
				}
				g := &Gateway{Table: placement.New(), listedAt: map[string]time.Time{}}
				s := &site.Snapshot{Endpoints: map[string][]*site.Endpoint{"s": list}, EndpointsRevision: 1}
				for b.Loop() {
					next := *s
					if changed {
						s.EndpointsRevision++
					}
					g.updateTable(&next)
				}
			})
		}
	}
}
