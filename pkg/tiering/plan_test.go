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

// TestPlan guards against fetching what is not at hand, saving twice, and saving where there is no room.
func TestPlan(t *testing.T) {
	long, short := tiering.Part{ID: "long", Tokens: 2000}, tiering.Part{ID: "short", Tokens: 100}
	empty := map[string]int{"quick": 1000, "large1": 5000, "large2": 5000}
	first := tiering.Order(stores(), long)[0].Name
	other := tiering.Order(stores(), long)[1].Name
	for name, c := range map[string]struct {
		parts       []tiering.Part
		catalog     catalog
		fetch, save []string // store names, "" for none
	}{
		"nothing known":               {parts: []tiering.Part{long, short}, catalog: catalog{room: empty}, fetch: []string{"", ""}, save: []string{first, "quick"}},
		"all held":                    {parts: []tiering.Part{long, short}, catalog: catalog{held: map[string]bool{first + "long": true, "quickshort": true}, room: empty}, fetch: []string{first, "quick"}, save: []string{"", ""}},
		"held in another store":       {parts: []tiering.Part{long}, catalog: catalog{held: map[string]bool{other + "long": true}, room: empty}, fetch: []string{other}, save: []string{""}},
		"no use without parts before": {parts: []tiering.Part{long, short}, catalog: catalog{held: map[string]bool{"quickshort": true}, room: empty}, fetch: []string{"", ""}, save: []string{first, ""}},
		"being saved":                 {parts: []tiering.Part{long}, catalog: catalog{saving: map[string]bool{first + "long": true}, room: empty}, fetch: []string{""}, save: []string{""}},
		"no room in the first":        {parts: []tiering.Part{long}, catalog: catalog{room: map[string]int{other: 2000}}, fetch: []string{""}, save: []string{other}},
		"no room at all":              {parts: []tiering.Part{long}, catalog: catalog{room: map[string]int{"quick": 1000}}, fetch: []string{""}, save: []string{""}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i, a := range tiering.Plan(stores(), c.parts, c.catalog) {
				is.Equal(nameOf(a.Fetch), c.fetch[i])
				is.Equal(nameOf(a.Save), c.save[i])
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

// TestOrderSpreads guards against one store that gets all parts, and against gateways that disagree on the order.
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
	is.Equal(counts["quick"], 0) // long parts go where there is much room
	is.True(counts["large1"] > 400 && counts["large2"] > 400)
}

// TestRetiredAfterLastUse guards against freeing a part that a gateway may still let an engine fetch, whatever it was cut off
// from and when.
func TestRetiredAfterLastUse(t *testing.T) {
	const step, last = 500 * time.Millisecond, 30 * time.Second
	// Version 2 is named at 0. One gateway had its last contact with the platform's store before that at contact, and learns of
	// the version at learned; another one, which frees, learns of it at once.
	for contact := time.Duration(0); contact >= -last; contact -= step {
		for learned := time.Duration(0); learned <= last; learned += step {
			for at := time.Duration(0); at <= 2*last; at += step {
				known, viewAge, namedFor := uint64(1), at-contact, time.Hour
				if at >= learned {
					known, viewAge, namedFor = 2, 0, at-contact
				}
				if tiering.MayUse(1, known, viewAge, namedFor) && tiering.Retired(1, 2, at+tiering.TransferTime) {
					t.Fatalf("contact %v, learned %v: a fetch that began at %v may read what is freed", contact, learned, at)
				}
			}
		}
	}
}

// TestScopes guards against two scopes with the same text: one organisation's, model's or version's parts for another's.
func TestScopes(t *testing.T) {
	word := rapid.StringMatching(`[a-z0-9/]{1,6}`)
	scope := rapid.Custom(func(t *rapid.T) tiering.Scope {
		s := tiering.Scope{Model: rapid.StringMatching(`[a-z0-9]{1,4}`).Draw(t, "model"), Version: rapid.Uint64Range(0, 20).Draw(t, "version")}
		if rapid.Bool().Draw(t, "dedicated") {
			s.Organisation = word.Draw(t, "organisation")
		}
		return s
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b := scope.Draw(t, "a"), scope.Draw(t, "b")
		if a != b && a.String() == b.String() {
			t.Fatalf("%+v and %+v are both %q", a, b, a.String())
		}
		back, ok := tiering.ParseScope(a.String())
		if !ok || back != a {
			t.Fatalf("%+v came back as %+v", a, back)
		}
	})
	for _, text := range []string{"", "Shared", "Shared/M", "Shared/M/x", "Other/M/1", "1"} {
		if _, ok := tiering.ParseScope(text); ok {
			t.Errorf("%q was read as a scope", text)
		}
	}
}
