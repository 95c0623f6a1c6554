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
	// Tokens is the capacity of the store in tokens.
	Tokens int
	// BitsPerSecond is the capacity of the store's link, FirstByte the delay before the first byte of each transfer.
	BitsPerSecond float64
	FirstByte     time.Duration
}

// Part is a part of a prompt that several prompts may share as part of their prefix.
type Part struct {
	ID     string
	Tokens int
}

// Catalog is this gateway's record of the contents of the stores.
type Catalog interface {
	// Holds reports whether a store is known to contain all of a part.
	Holds(store string, p Part) bool
	// Saving reports whether a part is being saved to a store.
	Saving(store string, p Part) bool
	// Room returns the free space of a store in tokens.
	Room(store string) int
}

// Action names the store from which an engine fetches one part, or to which it saves it. Both are nil if it does neither.
type Action struct {
	Fetch *Store
	Save  *Store
}

// smallPartTokens is the length in tokens up to which a part prefers stores with a short delay before a transfer: for such parts,
// the delay is usually longer than the transfer.
const smallPartTokens = 1024

// Order returns the stores in the order in which they are preferred for a part, the most preferred first.
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
		if p.Tokens > smallPartTokens {
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

// score returns the score of a store for the part with the given ID by weighted rendezvous hashing, with the capacity as the
// weight. The store with the lowest score is preferred.
func score(s *Store, id string) float64 {
	h := xxhash.Sum64String(s.Name + "\n" + id)
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / float64(max(1, s.Tokens))
}

// Plan returns an action for each of the consecutive parts of a prompt.
func Plan(stores []Store, parts []Part, c Catalog) []Action {
	actions := make([]Action, len(parts))
	prefixAvailable := true
	for i, p := range parts {
		order := Order(stores, p)
		var holder *Store
		saving := false
		for _, s := range order {
			if c.Holds(s.Name, p) {
				holder = s
				break
			}
			saving = saving || c.Saving(s.Name, p)
		}
		switch {
		case holder != nil && prefixAvailable:
			actions[i].Fetch = holder
		case holder == nil:
			prefixAvailable = false
			if !saving {
				actions[i].Save = firstWithRoom(order, p, c)
			}
		}
	}
	return actions
}

// firstWithRoom returns the first store in order with room for the part, or nil if there is none.
func firstWithRoom(order []*Store, p Part, c Catalog) *Store {
	for _, s := range order {
		if c.Room(s.Name) >= p.Tokens {
			return s
		}
	}
	return nil
}

// FetchTime returns how long an engine takes to fetch the parts of a plan one after another over idle links. tokenBytes is
// the size of the cache of one token.
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
	// MaxViewAge is the age of a gateway's snapshot of the named weight versions from which on it lets engines use no stores.
	MaxViewAge = 6 * time.Second
	// ReplacedVersionLifetime is the shortest time for which a part of a version stays in use after another version was named: the time
	// within which all engines of smaller sites must have loaded the new version by the platform's contract. Without it, an engine that has
	// not yet been ordered to load the new version would have to prefill the part again.
	ReplacedVersionLifetime = 10 * time.Second
	// TransferTimeout is the time limit of a fetch, counted from its request. Engines prefill even the longest prompts in less time.
	TransferTimeout = time.Second
	// retireMargin covers the transit times of messages.
	retireMargin = time.Second
)
