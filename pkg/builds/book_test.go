package builds_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"primrosecourse/pkg/builds"
)

// fleet is a set of gateways that share a store, in which each of them sees a change some time after it was written.
type fleet struct {
	now      time.Time
	plan     *builds.Plan
	reports  []*builds.Report
	gateways []*gateway
	streams  []begun
	ids      uint64
}

type gateway struct {
	book *builds.Book
	up   bool
	// writing is a report that has been computed and not been stored yet.
	writing *builds.Report
	// unplanned are streams without a plan that may begin once they are reported.
	unplanned []begun
}

type begun struct {
	stream builds.Stream
	build  string
	// number is that of an unplanned stream.
	number uint64
}

const timeout = 8 * time.Second

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), reports: make([]*builds.Report, n)}
	for range n {
		f.gateways = append(f.gateways, &gateway{})
	}
	return f
}

// start starts a gateway, which reads the store before it serves.
func (f *fleet) start(i int) {
	g := f.gateways[i]
	g.book, g.up, g.writing, g.unplanned = &builds.Book{}, true, nil, nil
	f.read(i)
	g.book.Restore(f.now, f.reports[i])
}

// read makes a gateway see all that is stored.
func (f *fleet) read(i int) {
	book := f.gateways[i].book
	if f.plan != nil {
		book.SetPlan(f.now, f.plan)
	}
	for j, r := range f.reports {
		if j != i && r != nil {
			book.Heard(f.now, fmt.Sprint(j), r)
		}
	}
	book.SetPresent(f.now, f.now, func(string) bool { return true })
}

// propose stores the next plan as a gateway knows it, unless the store has a later one.
func (f *fleet) propose(i int, supply builds.Supply) {
	next, changed, _ := builds.Next(f.gateways[i].book.Plan(), supply)
	if changed && (f.plan == nil || next.Number > f.plan.Number) {
		f.plan = next
	}
}

func (f *fleet) begin(i int, key uint64, free string) {
	f.ids++
	s := builds.Stream{Service: "S", ID: f.ids, Key: key, KeyKnown: true, Until: f.now.Add(timeout)}
	g := f.gateways[i]
	build, ok := g.book.Begin(f.now, s)
	if !ok {
		number := g.book.Begun(f.now, s, free)
		g.unplanned = append(g.unplanned, begun{s, free, number})
		return
	}
	g.book.Brought(s.ID)
	f.streams = append(f.streams, begun{s, build, 0})
}

// beginReported begins the unplanned streams of a gateway that are reported.
func (f *fleet) beginReported(i int) {
	g := f.gateways[i]
	g.unplanned = slices.DeleteFunc(g.unplanned, func(s begun) bool {
		reported := g.book.ReportsUnplanned(s.number)
		if reported {
			g.book.Brought(s.stream.ID)
			f.streams = append(f.streams, s)
		}
		return reported
	})
}

// TestTakeUpNeverJoinsBuilds lets gateways with stale knowledge restart, plan, report and take up streams in any order. A build that is
// stated as known must be the one that began the stream.
func TestTakeUpNeverJoinsBuilds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "gateways")
		f := newFleet(n)
		for i := range n {
			f.start(i)
		}
		capacity := map[string]float64{"old": 4}
		pick := rapid.IntRange(0, n-1)
		known := 0
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			i := pick.Draw(t, "gateway")
			g := f.gateways[i]
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case !g.up:
				f.start(i)
			case step <= 2 && g.book.Ready():
				f.begin(i, rapid.Uint64Range(0, 15).Draw(t, "key"), rapid.SampledFrom([]string{"old", "new"}).Draw(t, "free"))
			case step == 3:
				f.read(i)
			case step == 4:
				build := rapid.SampledFrom([]string{"old", "new", "newer"}).Draw(t, "build")
				capacity[build] = float64(rapid.IntRange(0, 4).Draw(t, "capacity"))
				supply := builds.Supply{"S": capacity}
				if rapid.IntRange(0, 9).Draw(t, "without") == 0 {
					supply = builds.Supply{}
				}
				f.propose(i, supply)
			case step == 5 && g.writing == nil:
				g.writing, _ = g.book.Due(f.now)
			case step == 5:
				f.reports[i], g.writing = g.writing, nil
				g.book.Stored(f.plan.Revision())
				f.beginReported(i)
			case step == 6:
				g.up = false
			case step == 7:
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			case len(f.streams) > 0:
				s := rapid.SampledFrom(f.streams).Draw(t, "stream")
				if f.now.After(s.stream.Until) || g.book.Plan().Revision() < f.plan.Revision() {
					continue
				}
				build, k, _ := g.book.TakeUp(f.now, s.stream)
				if k != builds.Own && k != builds.Reported && k != builds.Planned {
					continue
				}
				known++
				if build != s.build {
					t.Fatalf("gateway %d takes stream %d up at build %q (%s), which began at %q", i, s.stream.ID, build, k, s.build)
				}
			}
		}
	})
}

// TestTakeUpOfUnnamedStream checks that a stream whose origin is not stated is taken up only if its build can be no other.
func TestTakeUpOfUnnamedStream(t *testing.T) {
	now := time.Unix(1000, 0)
	one, _, _ := builds.Next(nil, builds.Supply{"S": {"old": 4}})
	two, _, _ := builds.Next(one, builds.Supply{"S": {"old": 2, "new": 2}})
	for _, c := range []struct {
		name    string
		plan    *builds.Plan
		stream  builds.Stream
		build   string
		planned bool
	}{
		{"one build", one, builds.Stream{Service: "S"}, "old", true},
		{"two builds", two, builds.Stream{Service: "S"}, "", false},
		{"two builds, known prompt", two, builds.Stream{Service: "S", Key: 1, KeyKnown: true}, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &builds.Book{}
			b.Restore(now, nil)
			b.SetPlan(now, c.plan)
			build, k, _ := b.TakeUp(now, c.stream)
			if (k == builds.Planned) != c.planned || (c.build != "" && build != c.build) {
				t.Errorf("build %q, %s", build, k)
			}
		})
	}
}

// TestNextMovesFewStreams checks that a plan follows the supply, without moving more streams than the shares require.
func TestNextMovesFewStreams(t *testing.T) {
	random := rand.New(rand.NewPCG(30, 2))
	plan, _, urgent := builds.Next(nil, builds.Supply{"S": {"old": 12}})
	if !urgent {
		t.Error("the first plan is not urgent")
	}
	for range 1000 {
		capacity := map[string]float64{"old": float64(random.IntN(5)), "new": float64(random.IntN(5)), "newer": float64(random.IntN(2))}
		sum := capacity["old"] + capacity["new"] + capacity["newer"]
		next, changed, _ := builds.Next(plan, builds.Supply{"S": capacity})
		if err := next.Validate(); err != nil {
			t.Fatal(err)
		}
		if !changed {
			continue
		}
		a := next.Services["S"]
		shares := a.Shares()
		for i, build := range a.Builds {
			if exact := capacity[build] / sum * builds.Buckets; float64(shares[i]) < exact-1 || float64(shares[i]) > exact+1 {
				t.Fatalf("supply %v: %s has %d of %d buckets", capacity, build, shares[i], builds.Buckets)
			}
		}
		// A bucket moves only to a build that had less than its share.
		before := map[string]int{}
		for i, build := range plan.Services["S"].Builds {
			before[build] = plan.Services["S"].Shares()[i]
		}
		gained := map[string]int{}
		for bucket, moved := range a.Moved {
			if moved == next.Number {
				gained[a.Builds[a.Owners[bucket]]]++
			}
		}
		for i, build := range a.Builds {
			if gained[build] > max(0, shares[i]-before[build]) {
				t.Fatalf("%d buckets were moved to %s, which has %d now and had %d", gained[build], build, shares[i], before[build])
			}
		}
		plan = next
	}
}

// TestValidatePlan checks that a plan which another writer left is refused instead of used.
func TestValidatePlan(t *testing.T) {
	valid, _, _ := builds.Next(nil, builds.Supply{"S": {"old": 1}})
	a := valid.Services["S"]
	for name, broken := range map[string]*builds.Assignment{
		"no assignment": nil,
		"no builds":     {Owners: a.Owners, Moved: a.Moved},
		"few buckets":   {Builds: a.Builds, Owners: a.Owners[1:], Moved: a.Moved},
		"few moves":     {Builds: a.Builds, Owners: a.Owners, Moved: a.Moved[1:]},
		"foreign owner": {Builds: a.Builds, Owners: append([]int{1}, a.Owners[1:]...), Moved: a.Moved},
		"later move":    {Builds: a.Builds, Owners: a.Owners, Moved: append([]uint64{2}, a.Moved[1:]...)},
	} {
		if (&builds.Plan{Number: 1, Services: map[string]*builds.Assignment{"S": broken}}).Validate() == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if err := valid.Validate(); err != nil {
		t.Error(err)
	}
}
