package builds_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"primrosecourse/pkg/builds"
)

// TestBegan guards against a gateway that tells others a build at which it did not begin a stream, or does not tell that it is in doubt.
func TestBegan(t *testing.T) {
	p := plans(t, map[string]float64{"old": 1}, map[string]float64{"new": 1})
	for _, c := range []struct {
		name     string
		change   func(g *builds.Book)
		after    time.Duration
		build    string
		recorded bool
	}{
		{name: "begun", change: func(g *builds.Book) { g.Brought(1) }, build: "old", recorded: true},
		{name: "begun, moved since", change: func(g *builds.Book) { g.Brought(1); g.SetPlan(t0, p[1]) }, build: "old", recorded: true},
		{name: "no event yet", change: func(*builds.Book) {}},
		{name: "forgotten", change: func(g *builds.Book) { g.Forget(st(1)) }},
		{name: "over", change: func(g *builds.Book) { g.Brought(1) }, after: 8 * time.Second},
		{name: "in doubt", change: func(g *builds.Book) { g.Brought(1); g.Doubt(t0, st(1)) }, recorded: true},
		{name: "endpoint restarted", change: func(g *builds.Book) { g.Brought(1); g.BroughtBy(1, "e"); g.Restarted(t0, "e", "new") }, recorded: true},
		{name: "two builds", change: func(g *builds.Book) { g.Brought(1); g.SetPlan(t0, p[1]); g.Begin(t0, st(1)) }, recorded: true},
		{name: "twice at one build", change: func(g *builds.Book) { g.Brought(1); g.Begin(t0, st(1)) }, build: "old", recorded: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := &builds.Book{}
			g.Restore(t0, nil)
			g.SetPlan(t0, p[0])
			g.Begin(t0, st(1))
			c.change(g)
			if build, recorded := g.Began(t0.Add(c.after), 1); build != c.build || recorded != c.recorded {
				t.Errorf("%q, recorded %v; want %q, %v", build, recorded, c.build, c.recorded)
			}
			for _, id := range []uint64{0, 2} {
				if build, recorded := g.Began(t0, id); build != "" || recorded {
					t.Errorf("stream %d that did not begin: %q, %v", id, build, recorded)
				}
			}
		})
	}
}

// TestRestartedGatewayIsIncomplete guards against a gateway that counts as knowing all of its streams though those of its earlier incarnation are lost.
func TestRestartedGatewayIsIncomplete(t *testing.T) {
	g := &builds.Book{}
	if g.Complete(t0) {
		t.Error("complete before the earlier report was read")
	}
	g.Restore(t0, &builds.Report{Number: 1, LongestMs: 20_000, Streams: []builds.Listed{{ID: 1, Service: "S", Build: "old", LeftMs: 9000}}})
	if g.Complete(t0.Add(19 * time.Second)) {
		t.Error("complete while streams of the earlier incarnation may be taken up")
	}
	if !g.Complete(t0.Add(20 * time.Second)) {
		t.Error("incomplete for ever")
	}
	if build, recorded := g.Began(t0, 1); build != "" || !recorded {
		t.Errorf("stream of the earlier incarnation: %q, %v", build, recorded)
	}
	first := &builds.Book{}
	first.Restore(t0, nil)
	if !first.Complete(t0) {
		t.Error("a gateway without an earlier incarnation is incomplete")
	}
}

// TestResolve guards against a stream that goes on by a plan of which another gateway may know better, and against one that is refused although a
// gateway that serves began it.
func TestResolve(t *testing.T) {
	same, later := builds.Answer{Plan: 3, Complete: true}, builds.Answer{Plan: 4, Complete: true}
	earlier, restarted := builds.Answer{Plan: 2, Complete: true}, builds.Answer{Plan: 3}
	began := func(build string) builds.Answer {
		return builds.Answer{Plan: 4, Complete: true, Recorded: true, Build: build}
	}
	doubt := builds.Answer{Plan: 3, Complete: true, Recorded: true}
	settled := builds.Finding{Build: "old", Knowledge: builds.Planned, Plan: 3, Settled: true, Named: true}
	with := func(change func(f *builds.Finding)) builds.Finding {
		f := settled
		change(&f)
		return f
	}
	confirmed := func(k builds.Knowledge) builds.Finding {
		return builds.Finding{Knowledge: k, Plan: 3, Confirmed: true, Named: true}
	}
	confirmedAt := func(k builds.Knowledge) builds.Finding {
		f := confirmed(k)
		f.Build = "old"
		return f
	}
	unsettled := with(func(f *builds.Finding) { f.Settled = false })
	unnamed := with(func(f *builds.Finding) { f.Named = false })
	for _, c := range []struct {
		name      string
		finding   builds.Finding
		others    int
		unlisted  bool
		answers   []builds.Answer
		build     string
		knowledge builds.Knowledge
	}{
		{name: "confirmed", finding: confirmedAt(builds.Planned), others: 2, build: "old", knowledge: builds.Planned},
		{name: "all know the same plan", finding: settled, others: 2, answers: []builds.Answer{same, same}, build: "old", knowledge: builds.Planned},
		{name: "one knows an earlier plan", finding: settled, others: 2, answers: []builds.Answer{earlier, same}, build: "old", knowledge: builds.Planned},
		{name: "one knows a later plan", finding: settled, others: 3, answers: []builds.Answer{same, later, same}, knowledge: builds.Behind},
		{name: "one of many does not answer", finding: settled, others: 5, answers: []builds.Answer{same, same, same, same}, knowledge: builds.Behind},
		{name: "none answers", finding: settled, others: 2, knowledge: builds.Behind},
		{name: "no others", finding: settled, build: "old", knowledge: builds.Planned},
		{name: "others never listed", finding: settled, unlisted: true, knowledge: builds.Behind},
		{name: "one has restarted", finding: settled, others: 2, answers: []builds.Answer{same, restarted}, knowledge: builds.Behind},
		{name: "one is in doubt", finding: settled, others: 2, answers: []builds.Answer{same, doubt}, knowledge: builds.Behind},
		{name: "not settled", finding: unsettled, others: 1, answers: []builds.Answer{same}, knowledge: builds.Behind},
		{name: "one began it at another build", finding: settled, others: 3, answers: []builds.Answer{same, began("new")}, build: "new", knowledge: builds.Told},
		{name: "one began it, not settled", finding: unsettled, others: 3, answers: []builds.Answer{began("old")}, build: "old", knowledge: builds.Told},
		{name: "one began it, another is in doubt", finding: settled, others: 3, answers: []builds.Answer{doubt, began("new")}, build: "new", knowledge: builds.Told},
		{name: "two began it", finding: settled, others: 2, answers: []builds.Answer{began("new"), began("old")}, knowledge: builds.Uncertain},
		{name: "two began it at one build", finding: settled, others: 2, answers: []builds.Answer{began("new"), began("new")}, build: "new",
			knowledge: builds.Told},
		{name: "one began it, lost", finding: confirmed(builds.Lost), others: 2, answers: []builds.Answer{began("new")}, build: "new", knowledge: builds.Told},
		{name: "one began it, behind", finding: confirmed(builds.Behind), others: 2, answers: []builds.Answer{began("new")}, build: "new", knowledge: builds.Told},
		{name: "one began it, unplanned", finding: confirmed(builds.Unplanned), others: 2, answers: []builds.Answer{began("new")}, build: "new",
			knowledge: builds.Told},
		{name: "none began it, lost", finding: confirmed(builds.Lost), others: 2, answers: []builds.Answer{same, same}, knowledge: builds.Lost},
		{name: "none began it, behind", finding: confirmed(builds.Behind), others: 2, answers: []builds.Answer{same, same}, knowledge: builds.Behind},
		{name: "none began it, unplanned", finding: confirmed(builds.Unplanned), others: 2, answers: []builds.Answer{same, same}, knowledge: builds.Unplanned},
		{name: "lost, not confirmed", finding: with(func(f *builds.Finding) { f.Build, f.Knowledge = "", builds.Lost }), others: 1,
			answers: []builds.Answer{same}, knowledge: builds.Lost},
		{name: "uncertain, one began it", finding: confirmed(builds.Uncertain), others: 1, answers: []builds.Answer{began("new")}, knowledge: builds.Uncertain},
		{name: "reported, another began it at another build", finding: confirmedAt(builds.Reported), others: 1, answers: []builds.Answer{began("new")},
			knowledge: builds.Uncertain},
		{name: "reported, not confirmed, another began it", finding: with(func(f *builds.Finding) { f.Knowledge = builds.Reported }), others: 2,
			answers: []builds.Answer{began("old")}, build: "old", knowledge: builds.Told},
		{name: "origin not stated", finding: unnamed, others: 1, answers: []builds.Answer{same}, build: "old", knowledge: builds.Planned},
		{name: "origin not stated, one knows an earlier plan", finding: unnamed, others: 2, answers: []builds.Answer{same, earlier}, knowledge: builds.Behind},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := builds.Answers{Listed: !c.unlisted, Others: c.others, Asked: c.others}
			for _, answer := range c.answers {
				a.Add(answer)
			}
			if build, k := c.finding.Resolve(&a); build != c.build || k != c.knowledge {
				t.Errorf("%q, %s; want %q, %s", build, k, c.build, c.knowledge)
			}
		})
	}
}

// TestNeedsOthers guards against questions that can't let a stream go on, and against a stream that is refused without one.
func TestNeedsOthers(t *testing.T) {
	for k := builds.Unplanned; k <= builds.Unnamed; k++ {
		for _, confirmed := range []bool{true, false} {
			f := builds.Finding{Knowledge: k, Confirmed: confirmed, Named: true}
			var want bool
			switch k {
			case builds.Behind, builds.Lost, builds.Unplanned:
				want = true
			case builds.Own, builds.Reported, builds.Planned:
				want = !confirmed
			}
			if f.NeedsOthers() != want {
				t.Errorf("%s, confirmed %v: %v", k, confirmed, !want)
			}
		}
	}
}

// TestAskedGatewaysNeverJoinBuilds lets gateways of which some are cut off from the store for any time begin streams and take them up, by what the
// others answer. A build that is stated as known must be the one that began the stream.
func TestAskedGatewaysNeverJoinBuilds(t *testing.T) {
	told, planned := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "gateways")
		f := newFleet(n)
		f.plan, _, _ = builds.Next(nil, builds.Supply{"S": {"old": 4}})
		for i := range n {
			f.start(i)
		}
		pick := rapid.IntRange(0, n-1)
		supplies := []map[string]float64{{"old": 4}, {"new": 4}, {"old": 2, "new": 2}}
		for range rapid.IntRange(30, 200).Draw(t, "steps") {
			i := pick.Draw(t, "gateway")
			g := f.gateways[i]
			switch step := rapid.IntRange(0, 11).Draw(t, "step"); {
			case !g.up:
				f.start(i)
			case step <= 2 && g.book.Ready():
				f.begin(i, rapid.Uint64Range(0, 15).Draw(t, "key"), "old")
			case step == 3:
				f.read(i)
			case step == 4:
				f.propose(i, builds.Supply{"S": rapid.SampledFrom(supplies).Draw(t, "capacity")})
			case step == 5 && g.writing == nil:
				g.writing, _ = g.book.Due(f.now)
			case step == 5:
				f.reports[i], g.writing = g.writing, nil
				g.book.Stored(f.plan.Revision())
				f.beginReported(i)
			case step == 6 && rapid.IntRange(0, 3).Draw(t, "end") > 0:
				g.up = false
			case step == 7:
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			case step == 8:
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 70).Draw(t, "s")) * time.Second)
			case len(f.streams) > 0:
				s := f.streams[len(f.streams)-1-rapid.IntRange(0, min(5, len(f.streams)-1)).Draw(t, "stream")]
				if !f.now.Before(s.stream.Until) { // the caller has given up
					continue
				}
				build, k := f.ask(i, s.stream, rapid.IntRange(0, 4).Draw(t, "confirmed") == 0)
				switch k {
				case builds.Told:
					told++
				case builds.Planned:
					planned++
				case builds.Own, builds.Reported:
				default:
					continue
				}
				if build != s.build {
					t.Fatalf("gateway %d takes stream %d up at build %q (%s), which began at %q", i, s.stream.ID, build, k, s.build)
				}
			}
		}
	})
	if told == 0 || planned == 0 {
		t.Errorf("%d builds were told and %d planned", told, planned)
	}
}

// ask returns what a gateway knows of a stream by what those answer that run. If it reaches the store, it confirms its plan there.
func (f *fleet) ask(i int, s builds.Stream, reachesStore bool) (build string, k builds.Knowledge) {
	book := f.gateways[i].book
	if build, _ := book.Began(f.now, s.ID); build != "" {
		return build, builds.Own
	}
	own := builds.Finding{Plan: book.Plan().Revision(), Confirmed: reachesStore && book.Plan().Revision() >= f.plan.Revision(),
		Settled: book.Settled(f.now, s.Service), Named: true}
	own.Build, own.Knowledge, _ = book.TakeUp(f.now, s)
	a := builds.Answers{Listed: true, Others: len(f.gateways) - 1}
	if own.NeedsOthers() {
		for j, g := range f.gateways {
			if j != i && g.up {
				build, recorded := g.book.Began(f.now, s.ID)
				a.Add(builds.Answer{Build: build, Recorded: recorded, Plan: g.book.Plan().Revision(), Complete: g.book.Complete(f.now)})
			}
		}
	}
	return own.Resolve(&a)
}

// TestGatewayWithoutPlanIsIncomplete guards against a gateway that has just started, under a name without a report, and counts as knowing all streams
// before it knows the plan that the store has.
func TestGatewayWithoutPlanIsIncomplete(t *testing.T) {
	g := &builds.Book{}
	g.Restore(t0, nil)
	g.Require(2)
	if g.Complete(t0) {
		t.Error("complete without the plan that the store has")
	}
}

// TestReusedIDKeepsReportedStream guards against a stream of an earlier incarnation that is forgotten since a later request with its ID did not begin.
func TestReusedIDKeepsReportedStream(t *testing.T) {
	p := plans(t, map[string]float64{"old": 1}, map[string]float64{"new": 1})
	g := &builds.Book{}
	g.Restore(t0, &builds.Report{Number: 2, Streams: []builds.Listed{{ID: 1, Service: "S", Build: "old", LeftMs: 9000}}})
	g.SetPlan(t0, p[1])
	g.Begin(t0, st(1))
	g.Forget(st(1))
	if build, k, _ := g.TakeUp(t0, st(1)); k == builds.Planned {
		t.Errorf("%s, %s", build, k)
	}
}
