package builds_test

import (
	"testing"
	"time"

	"primrosecourse/pkg/builds"
)

var t0 = time.Unix(1000, 0)

func st(id uint64) builds.Stream {
	return builds.Stream{Service: "S", ID: id, Key: id, KeyKnown: true, Until: t0.Add(8 * time.Second)}
}

func plans(t *testing.T, supplies ...map[string]float64) (list []*builds.Plan) {
	t.Helper()
	var p *builds.Plan
	for _, s := range supplies {
		supply := builds.Supply{}
		if s != nil {
			supply["S"] = s
		}
		p, _, _ = builds.Next(p, supply)
		list = append(list, p)
	}
	return list
}

func known(k builds.Knowledge) bool {
	return k == builds.Own || k == builds.Reported || k == builds.Planned
}

// TestTruncatedReport guards against streams that a report has no room for and that are then looked for at another build.
func TestTruncatedReport(t *testing.T) {
	p := plans(t, map[string]float64{"old": 1}, map[string]float64{"new": 1})
	g, h := &builds.Book{}, &builds.Book{}
	for _, b := range []*builds.Book{g, h} {
		b.Restore(t0, nil)
		b.SetPlan(t0, p[0])
	}
	for id := uint64(1); id <= 9000; id++ {
		g.Begin(t0, st(id))
	}
	g.SetPlan(t0, p[1])
	h.SetPlan(t0, p[1])
	r, _ := g.Due(t0)
	h.Heard(t0, "g", r)
	wrong := 0
	for id := uint64(1); id <= 9000; id++ {
		if b, k, _ := h.TakeUp(t0, st(id)); known(k) && b != "old" {
			wrong++
		}
	}
	t.Logf("listed %d, unlistedFrom %d, ms %d", len(r.Streams), r.UnlistedFrom, r.UnlistedMs)
	if wrong > 0 {
		t.Errorf("%d of 9000 streams are taken up at the wrong build", wrong)
	}
}

// TestUnplannedWithoutReport guards against a stream that may go on anywhere since no plan covers its service, though a report is missing.
func TestUnplannedWithoutReport(t *testing.T) {
	p := plans(t, map[string]float64{"old": 1}, nil)
	h := &builds.Book{}
	h.Restore(t0, nil)
	h.SetPlan(t0, p[0])
	h.Heard(t0, "g", &builds.Report{Number: 1})
	h.SetPlan(t0, p[1])
	if _, k, _ := h.TakeUp(t0, st(1)); k == builds.Unplanned {
		t.Errorf("%s although g has not reported on plan 2; the caller then takes the only listed build", k)
	}
}

// TestReadyWithoutPlan guards against streams that begin at a gateway that has restarted and knows no plan yet.
func TestReadyWithoutPlan(t *testing.T) {
	p := plans(t, map[string]float64{"old": 1}, map[string]float64{"new": 1})
	g, h := &builds.Book{}, &builds.Book{}
	last := &builds.Report{Number: 2}
	g.Restore(t0, last)
	h.Restore(t0, nil)
	h.SetPlan(t0, p[1])
	h.Heard(t0, "g", last)
	if !g.Ready() {
		return
	}
	if _, ok := g.Begin(t0, st(1)); ok {
		t.Fatal("planned")
	}
	g.Begun(t0, st(1), "old") // the endpoint that placement chose
	if r, due := g.Due(t0); due {
		h.Heard(t0, "g", r)
	}
	if b, k, _ := h.TakeUp(t0, st(1)); known(k) && b != "old" {
		t.Errorf("taken up at %q (%s), began at old", b, k)
	}
}

// TestReportAhead guards against a stream that is taken up by a plan older than the reports.
func TestReportAhead(t *testing.T) {
	p := plans(t, map[string]float64{"old": 1}, map[string]float64{"new": 1}, map[string]float64{"old": 1})
	g, h := &builds.Book{}, &builds.Book{}
	for _, b := range []*builds.Book{g, h} {
		b.Restore(t0, nil)
		b.SetPlan(t0, p[0])
	}
	g.Begin(t0, st(1))
	h.SetPlan(t0, p[1])
	g.SetPlan(t0, p[2])
	r, _ := g.Due(t0)
	h.Heard(t0, "g", r)
	if b, k, _ := h.TakeUp(t0, st(1)); known(k) && b != "old" {
		t.Errorf("taken up at %q (%s), began at old", b, k)
	}
}

// TestForgetOfAnother guards against a request that removes what is known of another stream of the same ID.
func TestForgetOfAnother(t *testing.T) {
	p := plans(t, map[string]float64{"old": 1}, map[string]float64{"new": 1})
	g := &builds.Book{}
	g.Restore(t0, nil)
	g.SetPlan(t0, p[0])
	g.Begin(t0, st(1))
	g.Begin(t0, st(1))
	g.Forget(st(1))
	g.SetPlan(t0, p[1])
	if b, k, _ := g.TakeUp(t0, st(1)); known(k) && b != "old" {
		t.Errorf("taken up at %q (%s), began at old", b, k)
	}
}

// TestReportBecomesComplete guards against a gateway whose streams count as missing after each restart, since its report says so for ever.
func TestReportBecomesComplete(t *testing.T) {
	p := plans(t, map[string]float64{"old": 1}, map[string]float64{"new": 1})
	g := &builds.Book{}
	g.Restore(t0, &builds.Report{Number: 1})
	g.SetPlan(t0, p[1])
	if r, _ := g.Due(t0); r.UnlistedMs == 0 {
		t.Fatal("no stream is missing after a restart")
	}
	g.Stored(2)
	if _, due := g.Due(t0.Add(time.Second)); due {
		t.Error("a report is due while streams are missing")
	}
	if r, due := g.Due(t0.Add(time.Minute)); !due || r.UnlistedMs != 0 {
		t.Errorf("due %v, %+v", due, r)
	}
}

// TestRestartedSource guards against a stream that is taken up at the build of an entry that was older than the endpoint, once the entry shows that.
func TestRestartedSource(t *testing.T) {
	p := plans(t, map[string]float64{"old": 1})
	g := &builds.Book{}
	g.Restore(t0, &builds.Report{Number: 1})
	g.SetPlan(t0, p[0])
	g.Begin(t0, st(1))
	g.BroughtBy(1, "e")
	g.Begin(t0, st(2))
	g.BroughtBy(2, "f")
	g.Restarted(t0, "e", "new")
	if b, k, _ := g.TakeUp(t0, st(1)); known(k) {
		t.Errorf("%q, %s", b, k)
	}
	if _, k, _ := g.TakeUp(t0, st(2)); !known(k) {
		t.Errorf("stream of another endpoint: %s", k)
	}
	if r, due := g.Due(t0); !due || len(r.Streams) != 1 || !r.Streams[0].Unknown {
		t.Errorf("due %v, %+v", due, r)
	}
}

// TestRestartBesideFirstPlan guards against streams that count as lost after a restart though none can be missing: the gateway had not reported on the
// first plan that covers their service, so that it had begun only unplanned streams, and each of these was reported before.
func TestRestartBesideFirstPlan(t *testing.T) {
	for _, c := range []struct {
		name     string
		supplies []builds.Supply
		restored func(r *builds.Report)
		known    bool
	}{
		{"first plan", []builds.Supply{{"S": {"old": 1, "new": 1}}}, nil, true},
		{"first plan of the service", []builds.Supply{{"T": {"old": 1}}, {"S": {"old": 1, "new": 1}, "T": {"old": 1}}}, nil, true},
		{"moved since", []builds.Supply{{"S": {"old": 1}}, {"S": {"new": 1}}}, nil, false},
		{"covered by an earlier plan", []builds.Supply{{"S": {"old": 1}}, {}, {"S": {"new": 1}}}, nil, false},
		{"earlier report", []builds.Supply{{"S": {"old": 1, "new": 1}}}, func(r *builds.Report) { r.ListsUnplanned = false }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, h := &builds.Book{}, &builds.Book{}
			g.Restore(t0, nil)
			number := g.Begun(t0, st(1), "new")
			if g.ReportsUnplanned(number) {
				t.Fatal("an unplanned stream may begin before it is reported")
			}
			last, _ := g.Due(t0)
			g.Stored(0)
			if !g.ReportsUnplanned(number) {
				t.Fatal("a reported stream may not begin")
			}
			if c.restored != nil {
				c.restored(last)
			}
			again := &builds.Book{}
			again.Restore(t0, last)
			h.Restore(t0, nil)
			var p *builds.Plan
			for _, s := range c.supplies {
				p, _, _ = builds.Next(p, s)
				again.SetPlan(t0, p)
				h.SetPlan(t0, p)
			}
			next, _ := again.Due(t0)
			h.Heard(t0, "g", next)
			for name, b := range map[string]*builds.Book{"g": again, "h": h} {
				if build, k, _ := b.TakeUp(t0, st(1)); build != "new" || k != builds.Reported {
					t.Errorf("%s: the unplanned stream has build %q, %s", name, build, k)
				}
				if _, k, _ := b.TakeUp(t0, st(2)); (k == builds.Planned) != c.known {
					t.Errorf("%s: a stream of the plan is %s", name, k)
				}
			}
		})
	}
}

// TestRemovedReport guards against a gateway whose report is gone and which counts as one without streams.
func TestRemovedReport(t *testing.T) {
	now := time.Unix(1000, 0)
	one, _, _ := builds.Next(nil, builds.Supply{"S": {"old": 4}})
	two, _, _ := builds.Next(one, builds.Supply{"S": {"new": 4}})
	s := builds.Stream{Service: "S", ID: 1, Key: 1, KeyKnown: true}
	b := &builds.Book{}
	b.Restore(now, nil)
	b.SetPlan(now, one)
	b.Heard(now, "other", &builds.Report{Number: 1, LongestMs: 30_000})
	b.SetPresent(now, now, func(string) bool { return true })
	b.SetPlan(now, two)
	if _, k, _ := b.TakeUp(now, s); k != builds.Behind {
		t.Errorf("before: %s", k)
	}
	b.Removed(now, "other")
	for _, c := range []struct {
		after time.Duration
		want  builds.Knowledge
	}{{0, builds.Behind}, {29 * time.Second, builds.Behind}, {31 * time.Second, builds.Planned}} {
		b.SetPresent(now.Add(c.after), now.Add(c.after), func(string) bool { return false })
		if _, k, _ := b.TakeUp(now.Add(c.after), s); k != c.want {
			t.Errorf("%v after the removal: %s, want %s", c.after, k, c.want)
		}
	}
}

// TestReportAfterRemovedOne guards against streams that are forgotten since their gateway has started again without its report, which the store had lost.
func TestReportAfterRemovedOne(t *testing.T) {
	now := time.Unix(1000, 0)
	one, _, _ := builds.Next(nil, builds.Supply{"S": {"old": 4}})
	two, _, _ := builds.Next(one, builds.Supply{"S": {"new": 4}})
	b := &builds.Book{}
	b.Restore(now, nil)
	b.SetPlan(now, one)
	b.SetPlan(now, two)
	b.Heard(now, "other", &builds.Report{Number: 2, Streams: []builds.Listed{{ID: 1, Service: "S", Build: "old", LeftMs: 9000}}})
	b.Removed(now, "other")
	b.Heard(now.Add(time.Second), "other", &builds.Report{Number: 2})
	build, k, _ := b.TakeUp(now.Add(time.Second), builds.Stream{Service: "S", ID: 1, Key: 1, KeyKnown: true})
	if k == builds.Planned {
		t.Errorf("%s, %s", build, k)
	}
}
