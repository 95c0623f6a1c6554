package tiering_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"primrosecourse/pkg/tiering"
)

// catalog is a set of parts in stores.
type catalog struct {
	held, saving map[string]bool
	room         map[string]int
}

func (c catalog) Holds(store string, p tiering.Part) bool  { return c.held[store+p.ID] }
func (c catalog) Saving(store string, p tiering.Part) bool { return c.saving[store+p.ID] }
func (c catalog) Room(store string) int                    { return c.room[store] }

func stores() []tiering.Store {
	return []tiering.Store{
		{Name: "quick", Address: "q", Tokens: 1000, BitsPerSecond: 1e9, FirstByte: time.Millisecond},
		{Name: "large1", Address: "l1", Tokens: 5000, BitsPerSecond: 1e9, FirstByte: 6 * time.Millisecond},
		{Name: "large2", Address: "l2", Tokens: 5000, BitsPerSecond: 1e9, FirstByte: 6 * time.Millisecond},
	}
}

// TestPlan guards against fetching a part that no store has or that the engine cannot use, against saving a part twice, and
// against saving it to a store without room.
func TestPlan(t *testing.T) {
	long, short := tiering.Part{ID: "long", Tokens: 2000}, tiering.Part{ID: "short", Tokens: 100}
	empty := map[string]int{"quick": 1000, "large1": 5000, "large2": 5000}
	first := tiering.Order(stores(), long)[0].Name
	other := tiering.Order(stores(), long)[1].Name
	for name, test := range map[string]struct {
		parts       []tiering.Part
		catalog     catalog
		fetch, save []string // store names, "" for none
	}{
		"empty stores":               {parts: []tiering.Part{long, short}, catalog: catalog{room: empty}, fetch: []string{"", ""}, save: []string{first, "quick"}},
		"all in stores":              {parts: []tiering.Part{long, short}, catalog: catalog{held: map[string]bool{first + "long": true, "quickshort": true}, room: empty}, fetch: []string{first, "quick"}, save: []string{"", ""}},
		"in a less preferred store":  {parts: []tiering.Part{long}, catalog: catalog{held: map[string]bool{other + "long": true}, room: empty}, fetch: []string{other}, save: []string{""}},
		"earlier part missing":       {parts: []tiering.Part{long, short}, catalog: catalog{held: map[string]bool{"quickshort": true}, room: empty}, fetch: []string{"", ""}, save: []string{first, ""}},
		"already being saved":        {parts: []tiering.Part{long}, catalog: catalog{saving: map[string]bool{first + "long": true}, room: empty}, fetch: []string{""}, save: []string{""}},
		"no room in preferred store": {parts: []tiering.Part{long}, catalog: catalog{room: map[string]int{other: 2000}}, fetch: []string{""}, save: []string{other}},
		"no room in any store":       {parts: []tiering.Part{long}, catalog: catalog{room: map[string]int{"quick": 1000}}, fetch: []string{""}, save: []string{""}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i, a := range tiering.Plan(stores(), test.parts, test.catalog) {
				is.Equal(nameOf(a.Fetch), test.fetch[i])
				is.Equal(nameOf(a.Save), test.save[i])
			}
		})
	}
}

func nameOf(s *tiering.Store) string {
	if s == nil {
		return ""
	}
	return s.Name
}

// TestOrderSpreads guards against one store that receives all parts, and against an order that differs between gateways.
func TestOrderSpreads(t *testing.T) {
	is := is.New(t)
	counts := map[string]int{}
	for i := range 1000 {
		p := tiering.Part{ID: fmt.Sprint(i), Tokens: 2000}
		order := tiering.Order(stores(), p)
		reversed := stores()
		reversed[0], reversed[2] = reversed[2], reversed[0]
		for j, s := range tiering.Order(reversed, p) {
			is.Equal(s.Name, order[j].Name)
		}
		counts[order[0].Name]++
	}
	is.Equal(counts["quick"], 0) // long parts prefer stores with a large capacity
	is.True(counts["large1"] > 400 && counts["large2"] > 400)
}

// TestRetiredAfterLastUse guards against freeing a part that a gateway may still let an engine fetch, at whatever time that
// gateway lost contact with the platform's store.
func TestRetiredAfterLastUse(t *testing.T) {
	const step, maxDelay = 500 * time.Millisecond, 30 * time.Second
	lifetimes := tiering.Lifetimes{Longest: 16 * time.Second}
	shortest, longest := lifetimes.Last(), time.Duration(0)
	var parts []string
	for i := range 200 {
		id := fmt.Sprint("part", i)
		parts = append(parts, id)
		shortest, longest = min(shortest, lifetimes.Of(id)), max(longest, lifetimes.Of(id))
	}
	// The lifetimes cover the whole range, so that the stores free room at an even rate.
	if shortest > tiering.ReplacedVersionLifetime+time.Second || longest < lifetimes.Last()-time.Second {
		t.Fatalf("lifetimes from %v to %v", shortest, longest)
	}
	// Version 2 is named at time 0. One gateway had its last contact with the platform's store at lastContact, not after 0,
	// and learns of the version at learned. Another gateway, which frees parts, learns of it immediately.
	for lastContact := time.Duration(0); lastContact >= -maxDelay; lastContact -= step {
		for learned := time.Duration(0); learned <= maxDelay; learned += step {
			for now := time.Duration(0); now <= 2*maxDelay; now += step {
				known, snapshotAge, namedFor := uint64(1), now-lastContact, time.Hour
				if now >= learned {
					known, snapshotAge, namedFor = 2, 0, now-lastContact
				}
				for _, id := range parts[:8] {
					if lifetimes.MayUsePart(1, known, id, snapshotAge, namedFor) && lifetimes.Retired(1, 2, id, now+tiering.TransferTimeout) {
						t.Fatalf("last contact at %v, version learned at %v: a fetch of %s started at %v may read a freed part", lastContact, learned, id, now)
					}
					if lifetimes.MayUsePart(1, known, id, snapshotAge, namedFor) && !lifetimes.MayUse(1, known, snapshotAge, namedFor) {
						t.Fatalf("%s is used after the last part", id)
					}
				}
			}
		}
	}
}

// TestScopeText guards against two scopes with the same text, which would let one
// organisation, model or version use parts of another, and against a text that is parsed to another scope.
func TestScopeText(t *testing.T) {
	word := rapid.StringMatching(`[a-z0-9/%]{1,6}`)
	scope := rapid.Custom(func(t *rapid.T) tiering.Scope {
		s := tiering.Scope{Model: rapid.StringMatching(`[a-z0-9/%]{1,4}`).Draw(t, "model"), Version: rapid.Uint64Range(0, 20).Draw(t, "version")}
		if rapid.Bool().Draw(t, "dedicated") {
			s.Organisation = word.Draw(t, "organisation")
		} else {
			s.Sharing = rapid.StringMatching(`[a-z0-9]{0,4}`).Draw(t, "sharing")
		}
		return s
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b := scope.Draw(t, "a"), scope.Draw(t, "b")
		if a != b && a.String() == b.String() {
			t.Fatalf("%+v and %+v are both %q", a, b, a.String())
		}
		parsed, ok := tiering.ParseScope(a.String())
		if !ok || parsed != a {
			t.Fatalf("%+v was parsed as %+v", a, parsed)
		}
	})
	for _, text := range []string{"", "Shared", "Shared/M", "Shared/M/x", "Other/M/1", "1", "Shared./M/1", "Shared.a%2F/M/1", "Sharedab/M/1"} {
		if _, ok := tiering.ParseScope(text); ok {
			t.Errorf("invalid text %q was parsed as a scope", text)
		}
	}
}
