package tiering

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Store is a KV store.
type Store struct {
	Name    string
	Address string
	// Tokens is its capacity.
	Tokens int
	// BitsPerSecond is the capacity of its link, FirstByte what each transfer waits in addition.
	BitsPerSecond float64
	FirstByte     time.Duration
}

// Part is a part of a prompt that other prompts may begin with too.
type Part struct {
	ID     string
	Tokens int
}

// Catalog is what is known of the contents of stores.
type Catalog interface {
	// Holds reports whether a store is known to hold a whole part.
	Holds(store string, p Part) bool
	// Saving reports whether the part is being saved to the store.
	Saving(store string, p Part) bool
	// Room returns the tokens that a store has room for.
	Room(store string) int
}

// Action is what an engine does with one part. Both stores are empty if it does nothing with it.
type Action struct {
	Fetch *Store
	Save  *Store
}

// smallPart is the length up to which the delay before a transfer outweighs the transfer, in tokens.
const smallPart = 1024

// Order returns the stores for a part, the preferred one first.
func Order(stores []Store, p Part) []*Store {
	type ranked struct {
		store *Store
		class float64
		score float64
	}
	list := make([]ranked, 0, len(stores))
	for i := range stores {
		s := &stores[i]
		class := float64(s.FirstByte)
		if p.Tokens > smallPart {
			class = -float64(s.Tokens)
		}
		list = append(list, ranked{store: s, class: class, score: score(s, p.ID)})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.score, b.score), cmp.Compare(a.store.Name, b.store.Name))
	})
	order := make([]*Store, len(list))
	for i := range list {
		order[i] = list[i].store
	}
	return order
}

// score is the rank of a store for a part by weighted rendezvous hashing, the lowest first.
func score(s *Store, id string) float64 {
	h := xxhash.Sum64String(s.Name + "\n" + id)
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / float64(max(1, s.Tokens))
}

// Plan returns an action for each part.
func Plan(stores []Store, parts []Part, c Catalog) []Action {
	actions := make([]Action, len(parts))
	reachable := true
	for i, p := range parts {
		order := Order(stores, p)
		var held *Store
		saving := false
		for _, s := range order {
			if c.Holds(s.Name, p) {
				held = s
				break
			}
			saving = saving || c.Saving(s.Name, p)
		}
		switch {
		case held != nil && reachable:
			actions[i].Fetch = held
		case held == nil:
			reachable = false
			if !saving {
				actions[i].Save = firstWithRoom(order, p, c)
			}
		}
	}
	return actions
}

func firstWithRoom(order []*Store, p Part, c Catalog) *Store {
	for _, s := range order {
		if c.Room(s.Name) >= p.Tokens {
			return s
		}
	}
	return nil
}

// FetchTime returns how long an engine takes to fetch the parts of a plan over idle links.
func FetchTime(parts []Part, actions []Action, tokenBytes int) (d time.Duration) {
	for i, a := range actions {
		if a.Fetch == nil || a.Fetch.BitsPerSecond <= 0 {
			continue
		}
		bits := float64(parts[i].Tokens) * float64(tokenBytes) * 8
		d += a.Fetch.FirstByte + time.Duration(bits/a.Fetch.BitsPerSecond*float64(time.Second))
	}
	return d
}

const (
	// ViewTime is the greatest age of a gateway's view of the named weight versions at which it lets engines use stores.
	ViewTime = 6 * time.Second
	// ReplacedTime is how long parts of a version that was replaced are used: the time within which all engines must have the new
	// one on the users' smaller sites. An engine that waits for its order would read them again otherwise.
	ReplacedTime = 10 * time.Second
	// TransferTime bounds a fetch from its request on. Engines read the longest prompts in less.
	TransferTime = time.Second
	// retireMargin covers the ways of messages.
	retireMargin = time.Second
)

// MayUse reports whether parts of a weight version may be fetched and saved: the version that is named, or one that it
// replaced a short while ago. viewAge is the age of what is known of named versions, namedFor the time since the last moment
// at which the named version was known not to be named yet.
func MayUse(version, named uint64, viewAge, namedFor time.Duration) bool {
	return viewAge < ViewTime && (version >= named || namedFor < ReplacedTime)
}

// Retired reports whether parts of a weight version may be freed. namedFor is how long the named version has been known.
func Retired(version, named uint64, namedFor time.Duration) bool {
	return version < named && namedFor >= ReplacedTime+TransferTime+retireMargin
}
