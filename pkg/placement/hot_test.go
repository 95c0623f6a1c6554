package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
)

// hotResult is the result of simulateHot.
type hotResult struct {
	// timesToFirstPiece are the times to first piece of the hot prompts.
	timesToFirstPiece []time.Duration
	// prefills counts the prompts whose shared part was not cached where they went. holders is the number of engines that have the hot
	// part cached, at the end of each quarter of the time.
	prefills int
	holders  []int
}

// simulateHot simulates long prompts, of which hotShare are the same hot prompt in the first half of the time. Engines prefill one prompt
// after another and cache the last cacheSize shared parts that they used; nothing is fetched from a store. If withReports is true, gateways
// learn of the engines' caches after a delay.
func simulateHot(withReports bool, seed uint64) (r hotResult) {
	const (
		gateways, engines = 5, 12
		perSecond         = 50.0
		prompts           = 400
		hotShare          = 0.5
		cacheSize         = 6
		delay             = 300 * time.Millisecond
		duration          = 40 * time.Second
		shared, unshared  = 12800, 4200
	)
	type report struct {
		at     time.Time
		engine int
		parts  []placement.Part
	}
	type engineCompletion struct {
		at            time.Time
		gateway       int
		engine        int
		prefillTokens int
	}
	random := rand.New(rand.NewPCG(seed, 2))
	list, start := endpoints(engines), time.Now()
	tables := make([]*placement.Table, gateways)
	for i := range tables {
		tables[i] = placement.New()
		tables[i].Random = random.Float64
		tables[i].SetEndpoints(start, nil, list)
	}
	idleFrom, cached := make([]time.Time, engines), make([][]int, engines)
	var inTransit []report
	var pending []engineCompletion
	quarter := 1
	for now := start; now.Sub(start) < duration; {
		now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		for now.Sub(start) > time.Duration(quarter)*duration/4 {
			quarter++
			n := 0
			for _, parts := range cached {
				if slices.Contains(parts, 0) {
					n++
				}
			}
			r.holders = append(r.holders, n)
		}
		pending = slices.DeleteFunc(pending, func(c engineCompletion) bool {
			if c.at.After(now) {
				return false
			}
			tables[c.gateway].Prefilled(list[c.engine], c.prefillTokens, 0)
			tables[c.gateway].Ended(now, list[c.engine], &placement.Request{}, 0, placement.Answered)
			return true
		})
		for i, from := range tables {
			loads := from.Loads(now, engines)
			for j, to := range tables {
				if i != j {
					to.SetPeerLoads(now, list[i].ID, loads)
				}
			}
		}
		if withReports {
			for i := range engines {
				var parts []placement.Part
				for _, prompt := range cached[i] {
					parts = append(parts, placement.Part{Key: uint64(prompt), Tokens: shared})
				}
				inTransit = append(inTransit, report{now.Add(delay), i, parts})
			}
			for len(inTransit) > 0 && !inTransit[0].at.After(now) {
				for _, t := range tables {
					t.SetPeerCaches(now, "G", []placement.CachedParts{{Endpoint: list[inTransit[0].engine].ID, Parts: inTransit[0].parts}})
				}
				inTransit = inTransit[1:]
			}
		}
		prompt := 1 + random.IntN(prompts)
		hot := now.Sub(start) < duration/2 && random.Float64() < hotShare
		if hot {
			prompt = 0
		}
		req := &placement.Request{Service: "S", Tokens: shared + unshared, Shared: shared, Gateways: gateways, Remaining: 8 * time.Second,
			Homes: []string{list[prompt%engines].ID, list[(prompt+1)%engines].ID}, Parts: shares(placement.Part{Key: uint64(prompt), Tokens: shared})}
		g := random.IntN(gateways)
		choice, refusal := tables[g].Choose(now, req, list)
		if refusal != nil {
			continue
		}
		i := slices.IndexFunc(list, func(e *site.Endpoint) bool { return e == choice.Endpoint })
		tables[g].Sent(now, choice.Endpoint, req, choice.PrefillTokens)
		tokens := shared + unshared
		if n := slices.Index(cached[i], prompt); n >= 0 {
			tokens = unshared
			cached[i] = slices.Delete(cached[i], n, n+1)
		} else {
			r.prefills++
		}
		cached[i] = append(cached[i], prompt)
		cached[i] = cached[i][max(0, len(cached[i])-cacheSize):]
		if idleFrom[i].Before(now) {
			idleFrom[i] = now
		}
		idleFrom[i] = idleFrom[i].Add(time.Duration(float64(tokens) / engineRate * float64(time.Second)))
		pending = append(pending, engineCompletion{idleFrom[i], g, i, choice.PrefillTokens})
		if hot {
			r.timesToFirstPiece = append(r.timesToFirstPiece, idleFrom[i].Sub(now))
		}
	}
	return r
}

// TestHotPrompt simulates one prompt that gets half of the traffic. It guards against a queue at its two homes while other engines that
// have its shared part cached are idle, against additional prefills when it spreads, and against copies of the part that stay cached when it
// is not requested any more.
func TestHotPrompt(t *testing.T) {
	const seed = 11
	byHome, byReport := simulateHot(false, seed), simulateHot(true, seed)
	t.Logf("seed %d: by homes p95 %v, %d prefills, cached at %v engines; by reports p95 %v, %d prefills, cached at %v engines", seed,
		quantile(byHome.timesToFirstPiece, 0.95), byHome.prefills, byHome.holders, quantile(byReport.timesToFirstPiece, 0.95), byReport.prefills, byReport.holders)
	if p95 := quantile(byReport.timesToFirstPiece, 0.95); p95 > longTarget {
		t.Errorf("seed %d: p95 of the time to first piece is %v, target %v", seed, p95, longTarget)
	}
	if quantile(byReport.timesToFirstPiece, 0.95)*4 > quantile(byHome.timesToFirstPiece, 0.95)*3 {
		t.Errorf("seed %d: cache reports reduce the p95 of the time to first piece by less than a quarter", seed)
	}
	if byReport.prefills > byHome.prefills {
		t.Errorf("seed %d: %d prefills of shared parts with cache reports, %d without", seed, byReport.prefills, byHome.prefills)
	}
	if byReport.holders[1] < 2 || byReport.holders[len(byReport.holders)-1] > 1 {
		t.Errorf("seed %d: hot part cached at %v engines at the end of each quarter", seed, byReport.holders)
	}
}
