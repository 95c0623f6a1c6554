package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"primrosecourse/pkg/quarantine"
)

// at returns a time in milliseconds of a test.
func at(ms int) time.Time { return time.UnixMilli(1_000_000).Add(time.Duration(ms) * time.Millisecond) }

// run returns a run of request 7 at an endpoint.
func run(endpoint string, beganMs, endedMs int, known quarantine.Evidence) quarantine.Run {
	return quarantine.Run{Fingerprint: 7, Endpoint: endpoint, Began: at(beganMs), Ended: at(endedMs), Known: known}
}

func evidence(crashes int, endpoints ...string) quarantine.Evidence {
	return quarantine.Evidence{Endpoints: endpoints, Crashes: crashes}
}

// TestSuccessive guards against endpoints that crash together being counted as if a request had crashed one after the other, and the reverse.
func TestSuccessive(t *testing.T) {
	none := quarantine.Evidence{}
	for name, test := range map[string]struct {
		runs []quarantine.Run
		want int
	}{
		"none":                           {nil, 0},
		"one":                            {[]quarantine.Run{run("a", 0, 10, none)}, 1},
		"one after the other":            {[]quarantine.Run{run("a", 0, 100, none), run("b", 100, 200, none)}, 2},
		"reported in another order":      {[]quarantine.Run{run("b", 101, 200, none), run("a", 0, 100, none)}, 2},
		"together":                       {[]quarantine.Run{run("a", 0, 100, none), run("b", 50, 100, none), run("c", 90, 190, none)}, 1},
		"together, sent on meanwhile":    {[]quarantine.Run{run("a", 0, 100, none), run("b", 101, 102, none), run("c", 103, 104, none)}, 1},
		"together, then another":         {[]quarantine.Run{run("a", 0, 100, none), run("b", 50, 120, none), run("c", 130, 200, none)}, 2},
		"twice at the crashed endpoint":  {[]quarantine.Run{run("a", 0, 100, none), run("a", 101, 200, none)}, 1},
		"after one seen elsewhere":       {[]quarantine.Run{run("b", 0, 100, evidence(1, "a"))}, 2},
		"two after one seen elsewhere":   {[]quarantine.Run{run("b", 0, 100, evidence(1, "a")), run("c", 102, 200, evidence(1, "a"))}, 3},
		"together with one seen earlier": {[]quarantine.Run{run("b", 0, 100, none), run("c", 50, 120, evidence(1, "a"))}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(quarantine.Successive(test.runs, 50*time.Millisecond), test.want)
		})
	}
}

// TestEvidenceOfEarlierVersions guards against marks without a count, as earlier versions write them, that count for nothing.
func TestEvidenceOfEarlierVersions(t *testing.T) {
	is := is.New(t)
	old := quarantine.Evidence{Endpoints: []string{"a", "b"}}
	is.Equal(old.Count(), 2)
	is.Equal(old.Merge(evidence(1, "c")), evidence(2, "a", "b", "c"))
}

// TestClearedByGoodEnd guards against evidence that stays after the request ended well, and against evidence that is lost with it.
func TestClearedByGoodEnd(t *testing.T) {
	none := quarantine.Evidence{}
	t.Run("cleared", func(t *testing.T) {
		is := is.New(t)
		r := quarantine.NewRequests(quarantine.RequestSettings{})
		shared := evidence(1, "a")
		is.Equal(r.EndedWell(at(0), 7, shared), shared)
		is.Equal(r.Known(7, shared).Count(), 0)
		writes := r.Due(at(1))
		is.Equal(len(writes), 1)
		is.Equal(writes[0].Cleared, shared)
		// Another gateway has seen a further crash meanwhile.
		is.Equal(r.Known(7, evidence(2, "a", "b")).Count(), 2)
	})
	t.Run("before it was written", func(t *testing.T) {
		is := is.New(t)
		r := quarantine.NewRequests(quarantine.RequestSettings{})
		is.Equal(r.Crashed(at(10), run("a", 0, 10, none)), quarantine.Marked)
		r.EndedWell(at(20), 7, none)
		is.Equal(len(r.Due(at(30))), 0)
		is.Equal(r.Len(), 0)
	})
	t.Run("while it is written", func(t *testing.T) {
		is := is.New(t)
		r := quarantine.NewRequests(quarantine.RequestSettings{})
		r.Crashed(at(10), run("a", 0, 10, none))
		write := r.Due(at(10))[0]
		r.EndedWell(at(20), 7, none)
		r.Written(at(30), write, true)
		writes := r.Due(at(31))
		is.Equal(len(writes), 1)
		is.Equal(writes[0].Cleared.Endpoints, []string{"a"})
	})
	t.Run("before the crash was confirmed", func(t *testing.T) {
		is := is.New(t)
		r := quarantine.NewRequests(quarantine.RequestSettings{})
		r.EndedWell(at(20), 7, none)
		is.Equal(r.Crashed(at(40), run("a", 0, 10, none)), quarantine.EndedWellSince)
		is.Equal(r.Known(7, none).Count(), 0)
	})
	t.Run("a run from before it crashes", func(t *testing.T) {
		is := is.New(t)
		r := quarantine.NewRequests(quarantine.RequestSettings{})
		shared := evidence(1, "a")
		r.EndedWell(at(20), 7, shared)
		r.Crashed(at(70), run("b", 10, 40, shared))
		is.Equal(r.Known(7, shared), evidence(1, "b"))
	})
	t.Run("by another process", func(t *testing.T) {
		is := is.New(t)
		r := quarantine.NewRequests(quarantine.RequestSettings{})
		r.Crashed(at(10), run("a", 0, 10, none))
		r.Written(at(20), r.Due(at(10))[0], true)
		is.Equal(r.Known(7, evidence(1, "a")).Count(), 1)
		is.Equal(r.Known(7, none).Count(), 0)
		r.Crashed(at(2000), run("b", 1000, 1900, none))
		is.Equal(r.Known(7, none), evidence(1, "b"))
	})
	t.Run("not at the limit", func(t *testing.T) {
		is := is.New(t)
		r := quarantine.NewRequests(quarantine.RequestSettings{})
		is.Equal(r.EndedWell(at(0), 7, evidence(2, "a", "b")).Count(), 0)
		is.Equal(r.Known(7, evidence(2, "a", "b")).Count(), 2)
	})
}

// TestServedRequestNeedsMoreEvidence guards against refusing a request that many callers send since it was there at two crashes in a row.
func TestServedRequestNeedsMoreEvidence(t *testing.T) {
	is := is.New(t)
	r := quarantine.NewRequests(quarantine.RequestSettings{})
	is.Equal(r.Limit(7), 2)
	r.EndedWell(at(0), 7, quarantine.Evidence{})
	is.Equal(r.Limit(7), 3)
	shared := evidence(2, "a", "b")
	is.Equal(r.EndedWell(at(1000), 7, shared), shared)
	for s := 2; s < 120; s++ {
		r.EndedWell(at(1000*s), 8, quarantine.Evidence{})
	}
	is.Equal(r.Limit(7), 2)
}

// TestWritesAreRepeated guards against a crash that is forgotten since its write failed, and against one that is kept for ever.
func TestWritesAreRepeated(t *testing.T) {
	is := is.New(t)
	r := quarantine.NewRequests(quarantine.RequestSettings{Lifetime: time.Minute})
	r.Crashed(at(10), run("a", 0, 10, quarantine.Evidence{}))
	now := 10
	for range 20 {
		writes := r.Due(at(now))
		is.Equal(len(writes), 1)
		r.Written(at(now), writes[0], false)
		is.Equal(len(r.Due(at(now))), 0)
		now = int(r.NextDue(at(now)).Sub(at(0)).Milliseconds())
	}
	is.Equal(r.Known(7, quarantine.Evidence{}).Count(), 1)
	is.Equal(len(r.Due(at(61_000))), 0)
	is.Equal(r.Len(), 0)
}

// TestChangesAreBounded guards against memory that grows with the requests that crash endpoints or end well.
func TestChangesAreBounded(t *testing.T) {
	is := is.New(t)
	r := quarantine.NewRequests(quarantine.RequestSettings{MaxChanges: 10, MaxServed: 20})
	for n := range uint64(1000) {
		r.Crashed(at(1000), quarantine.Run{Fingerprint: n, Endpoint: "a", Ended: at(500)})
		r.EndedWell(at(0), 10_000+n, evidence(1, "a"))
	}
	is.Equal(r.Len(), 10)
	served := 0
	for n := range uint64(1000) {
		if r.Limit(10_000+n) > quarantine.DefaultLimit {
			served++
		}
	}
	is.True(served <= 20)
}

// fleet is a model of processes with evidence that they share through a store that some can't reach for a time.
type fleet struct {
	processes []*quarantine.Requests
	now       int
	// store is the shared evidence, seen what each process sees of it.
	store quarantine.Evidence
	seen  []quarantine.Evidence
}

// pass lets time pass, in which the processes for which reaches returns true write and read the store.
func (f *fleet) pass(ms int, reaches func(n int) bool) {
	f.now += ms
	for n, p := range f.processes {
		for _, w := range p.Due(at(f.now)) {
			if reaches(n) && w.Cleared.Count() > 0 && f.store.Within(w.Cleared) {
				f.store = quarantine.Evidence{}
			}
			if reaches(n) && w.Evidence.Count() > 0 {
				f.store = f.store.Merge(w.Evidence)
			}
			p.Written(at(f.now), w, reaches(n))
		}
	}
	for n := range f.processes {
		if reaches(n) {
			f.seen[n] = f.store
		}
	}
}

// TestFleet guards against a request that crashes each endpoint that runs it and is let through for long, and against a sound one that was
// there at crashes and stays refused, whatever the processes that see it and however long some can't reach the store.
func TestFleet(t *testing.T) {
	for name, deadly := range map[string]bool{"deadly": true, "sound": false} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := &fleet{}
				for range rapid.IntRange(1, 5).Draw(t, "processes") {
					f.processes = append(f.processes, quarantine.NewRequests(quarantine.RequestSettings{}))
				}
				f.seen = make([]quarantine.Evidence, len(f.processes))
				crashes := 0
				// handle runs the request at a process unless it is refused there, and reports whether it ran.
				handle := func(n int, crash bool) bool {
					p := f.processes[n]
					known := p.Known(7, f.seen[n])
					if known.Count() >= p.Limit(7) {
						return false
					}
					if !crash {
						p.EndedWell(at(f.now+10), 7, f.seen[n])
						return true
					}
					crashes++
					p.Crashed(at(f.now+90), run(string(rune('a'+crashes)), f.now, f.now+50, known))
					return true
				}
				for range rapid.IntRange(1, 30).Draw(t, "steps") {
					away := rapid.IntRange(-1, len(f.processes)-1).Draw(t, "away")
					handle(rapid.IntRange(0, len(f.processes)-1).Draw(t, "process"), deadly || rapid.IntRange(0, 9).Draw(t, "crash") == 0)
					f.pass(rapid.IntRange(50, 2000).Draw(t, "pause"), func(n int) bool { return n != away })
				}
				// Each process may see a chain of its own before the store shows it the others'.
				if deadly && crashes > 2*len(f.processes) {
					t.Fatalf("%d crashes at %d processes", crashes, len(f.processes))
				}
				for range 4 { // longer than SeenTime
					f.pass(2000, func(int) bool { return true })
				}
				for n := range f.processes {
					if ran := handle(n, deadly); deadly && crashes > 2*len(f.processes) {
						t.Fatalf("process %d let the request through again", n)
					} else if !deadly && !ran && f.store.Count() < quarantine.DefaultLimit {
						t.Fatalf("process %d refuses the request with evidence of %d crashes", n, f.store.Count())
					}
				}
			})
		})
	}
}
