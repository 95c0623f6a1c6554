package builds_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"primrosecourse/pkg/builds"
)

// write is one write of the store: a plan, or the report of a gateway.
type write struct {
	plan    *builds.Plan
	report  *builds.Report
	gateway int
}

type logGateway struct {
	book    *builds.Book
	at      int // writes seen
	up      bool
	writing *builds.Report
	stored  bool // Put done, latest not read yet
	// unplanned are streams without a plan that may begin once they are reported.
	unplanned []begun
}

// TestTakeUpByAnyPrefixOfWrites guards against streams joined from two builds. Each gateway sees any prefix of the writes of the store, and stops
// and starts between any two calls.
func TestTakeUpByAnyPrefixOfWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "gateways")
		now := time.Unix(1000, 0)
		var log []write
		var plan *builds.Plan
		reports := make([]*builds.Report, n)
		gs := make([]*logGateway, n)
		var streams []begun
		ids := uint64(0)
		see := func(i, to int) {
			g := gs[i]
			for ; g.at < to; g.at++ {
				w := log[g.at]
				if w.plan != nil {
					g.book.SetPlan(now, w.plan)
				} else if w.gateway != i {
					g.book.Heard(now, fmt.Sprint(w.gateway), w.report)
				}
			}
			g.book.SetPresent(now, now, func(string) bool { return true })
		}
		start := func(i int) {
			gs[i] = &logGateway{book: &builds.Book{}, up: true}
			gs[i].book.Restore(now, reports[i])
			gs[i].book.Require(plan.Revision())
		}
		for i := range n {
			start(i)
		}
		capacity := map[string]float64{"old": 4}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "gateway")
			g := gs[i]
			step := rapid.IntRange(0, 10).Draw(t, "step")
			switch {
			case !g.up:
				start(i)
			case step <= 2:
				if !g.book.Ready() {
					continue
				}
				ids++
				s := builds.Stream{Service: "S", ID: ids, Key: rapid.Uint64Range(0, 15).Draw(t, "key"), KeyKnown: true, Until: now.Add(8 * time.Second)}
				build, ok := g.book.Begin(now, s)
				if !ok {
					build = rapid.SampledFrom([]string{"old", "new"}).Draw(t, "free")
					g.unplanned = append(g.unplanned, begun{s, build, g.book.Begun(now, s, build)})
					continue
				}
				streams = append(streams, begun{s, build, 0})
			case step == 3:
				see(i, min(len(log), g.at+rapid.IntRange(1, 8).Draw(t, "more")))
			case step == 4:
				build := rapid.SampledFrom([]string{"old", "new", "newer"}).Draw(t, "build")
				capacity[build] = float64(rapid.IntRange(0, 4).Draw(t, "capacity"))
				supply := builds.Supply{"S": capacity}
				if rapid.IntRange(0, 9).Draw(t, "without") == 0 {
					supply = builds.Supply{}
				}
				next, changed, _ := builds.Next(g.book.Plan(), supply)
				if changed && (plan == nil || next.Number > plan.Number) {
					plan = next
					log = append(log, write{plan: next})
				}
			case step == 5 && g.stored:
				g.book.Stored(plan.Revision())
				g.stored = false
				g.unplanned = slices.DeleteFunc(g.unplanned, func(s begun) bool {
					reported := g.book.ReportsUnplanned(s.number)
					if reported {
						streams = append(streams, s)
					}
					return reported
				})
			case step == 5 && g.writing == nil:
				g.writing, _ = g.book.Due(now)
			case step == 5:
				reports[i] = g.writing
				log = append(log, write{report: g.writing, gateway: i})
				g.writing, g.stored = nil, true
			case step == 6:
				g.up = false
			case step == 7:
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			case len(streams) > 0:
				s := rapid.SampledFrom(streams).Draw(t, "stream")
				if now.After(s.stream.Until) || g.book.Plan().Revision() < plan.Revision() {
					continue
				}
				build, k, _ := g.book.TakeUp(now, s.stream)
				if k != builds.Own && k != builds.Reported && k != builds.Planned {
					continue
				}
				if build != s.build {
					t.Fatalf("gateway %d takes stream %d up at %q (%s), began at %q", i, s.stream.ID, build, k, s.build)
				}
			}
		}
	})
}
