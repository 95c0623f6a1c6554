package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
)

// hotResult is what callers of the hot prompt got.
type hotResult struct {
	first []time.Duration
	// reads counts the prompts whose shared part was read, homes the engines that keep the hot part at the end of each quarter.
	reads int
	homes []int
}

// playHot plays long prompts of which a share is about one thing for the first half of the time. Engines read one prompt after the other
// and keep the last parts that they read; nothing is fetched. With word, gateways know what engines keep after a delay.
func playHot(word bool, seed uint64) (r hotResult) {
	const (
		gateways, engines = 5, 12
		perSecond         = 50.0
		things            = 400
		hotShare          = 0.5
		keeps             = 6
		delay             = 300 * time.Millisecond
		length            = 40 * time.Second
		shared, own       = 12800, 4200
	)
	type told struct {
		at     time.Time
		engine int
		parts  []placement.Part
	}
	type event struct {
		at      time.Time
		gateway int
		engine  int
		unread  int
	}
	random := rand.New(rand.NewPCG(seed, 2))
	list, start := endpoints(engines), time.Now()
	tables := make([]*placement.Table, gateways)
	for i := range tables {
		tables[i] = placement.New()
		tables[i].Random = random.Float64
		tables[i].Learn(start, nil, list)
	}
	free, kept := make([]time.Time, engines), make([][]int, engines)
	var words []told
	var due []event
	quarter := 1
	for now := start; now.Sub(start) < length; {
		now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		for now.Sub(start) > time.Duration(quarter)*length/4 {
			quarter++
			n := 0
			for _, parts := range kept {
				if slices.Contains(parts, 0) {
					n++
				}
			}
			r.homes = append(r.homes, n)
		}
		due = slices.DeleteFunc(due, func(e event) bool {
			if e.at.After(now) {
				return false
			}
			tables[e.gateway].FirstPiece(list[e.engine], e.unread, 0)
			tables[e.gateway].Ended(now, list[e.engine], 0, placement.Answered)
			return true
		})
		for i, from := range tables {
			loads := from.Loads(now, engines)
			for j, to := range tables {
				if i != j {
					to.PeerLoads(now, list[i].ID, loads)
				}
			}
		}
		if word {
			for i := range engines {
				var parts []placement.Part
				for _, thing := range kept[i] {
					parts = append(parts, placement.Part{Key: uint64(thing), Tokens: shared})
				}
				words = append(words, told{now.Add(delay), i, parts})
			}
			for len(words) > 0 && !words[0].at.After(now) {
				for _, t := range tables {
					t.PeerKept(now, []placement.Kept{{Endpoint: list[words[0].engine].ID, Parts: words[0].parts}})
				}
				words = words[1:]
			}
		}
		thing := 1 + random.IntN(things)
		hot := now.Sub(start) < length/2 && random.Float64() < hotShare
		if hot {
			thing = 0
		}
		ask := &placement.Ask{Service: "S", Tokens: shared + own, Shared: shared, Gateways: gateways, Left: 8 * time.Second,
			Homes: []string{list[thing%engines].ID, list[(thing+1)%engines].ID}, Parts: shares(placement.Part{Key: uint64(thing), Tokens: shared})}
		g := random.IntN(gateways)
		choice, refusal := tables[g].Choose(now, ask, list)
		if refusal != nil {
			continue
		}
		i := slices.IndexFunc(list, func(e *site.Endpoint) bool { return e == choice.Endpoint })
		tables[g].Sent(now, choice.Endpoint, ask, choice.Unread)
		tokens := shared + own
		if at := slices.Index(kept[i], thing); at >= 0 {
			tokens = own
			kept[i] = slices.Delete(kept[i], at, at+1)
		} else {
			r.reads++
		}
		kept[i] = append(kept[i], thing)
		kept[i] = kept[i][max(0, len(kept[i])-keeps):]
		if free[i].Before(now) {
			free[i] = now
		}
		free[i] = free[i].Add(time.Duration(float64(tokens) / engineRate * float64(time.Second)))
		due = append(due, event{free[i], g, i, choice.Unread})
		if hot {
			r.first = append(r.first, free[i].Sub(now))
		}
	}
	return r
}

// TestHotPrompt plays one prompt that gets half of the traffic. It guards against a queue at its two homes while other engines that keep
// its part are idle, against reading more for it, and against a part that goes on to take up memory once it is not asked for.
func TestHotPrompt(t *testing.T) {
	const seed = 11
	homes, word := playHot(false, seed), playHot(true, seed)
	t.Logf("seed %d: p95 %v, %d read, kept at %v engines by homes; p95 %v, %d read, kept at %v by word", seed,
		quantile(homes.first, 0.95), homes.reads, homes.homes, quantile(word.first, 0.95), word.reads, word.homes)
	if p95 := quantile(word.first, 0.95); p95 > longTarget {
		t.Errorf("seed %d: 95 in 100 first pieces within %v, target %v", seed, p95, longTarget)
	}
	if quantile(word.first, 0.95)*4 > quantile(homes.first, 0.95)*3 {
		t.Errorf("seed %d: the word on what engines keep saves less than a quarter of the time", seed)
	}
	if word.reads > homes.reads {
		t.Errorf("seed %d: %d prompts read whole, %d without the word", seed, word.reads, homes.reads)
	}
	if word.homes[1] < 2 || word.homes[len(word.homes)-1] > 1 {
		t.Errorf("seed %d: kept at %v engines at the end of each quarter", seed, word.homes)
	}
}
