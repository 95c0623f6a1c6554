package placement_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
)

// loadCase is a load of long and short prompts that several gateways place on the same engines.
type loadCase struct {
	gateways, engines int
	longPerSecond     float64
	shortPerSecond    float64
	// interval is the time between two exchanges of the gateways' loads; 0 for no exchange.
	interval time.Duration
	// newWeights is true if the weights have just changed, so that no shared part of a long prompt is cached or stored anywhere.
	newWeights bool
	// urgent is true if gateways also report long prompts to each other at once.
	urgent bool
}

// result is the result of simulate. served and late count long prompts only, refused all prompts.
type result struct {
	served, late, refused int
	// timesToFirstPiece are the times to first piece of long prompts.
	timesToFirstPiece []time.Duration
	// shortTimesToFirstPiece are the times to first piece of short prompts.
	shortTimesToFirstPiece []time.Duration
}

func (r *result) quantile(q float64) time.Duration { return quantile(r.timesToFirstPiece, q) }

func quantile(list []time.Duration, q float64) time.Duration {
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))]
}

const (
	engineRate = 56600.0 // tokens per second
	// longTarget is the time within which callers expect the first piece of a long prompt.
	longTarget = 600 * time.Millisecond
	// shortTarget is the time within which callers expect the first piece of a short prompt.
	shortTarget = 400 * time.Millisecond
)

// completion is the time at which an engine has prefilled a prompt or has ended its request.
type completion struct {
	at            time.Time
	gateway       int
	engine        int
	prefillTokens int
	prefilled     bool // true when the prompt has been prefilled, false when the request has ended
}

// simulate places the load for the time d. Engines prefill one prompt after another; the shared parts of long prompts can be fetched from a
// store unless the weights are new.
func simulate(c loadCase, seed uint64, d time.Duration) (r result) {
	random := rand.New(rand.NewPCG(seed, 1))
	list := endpoints(c.engines)
	tables := make([]*placement.Table, c.gateways)
	start := time.Now()
	for i := range tables {
		tables[i] = placement.New()
		tables[i].Random = random.Float64
		tables[i].SetEndpoints(start, nil, list)
	}
	idleFrom := make([]time.Time, c.engines)
	index := map[string]int{}
	for i, e := range list {
		index[e.ID] = i
	}
	var pending []completion
	now, lastExchange := start, start
	for now.Sub(start) < d {
		now = now.Add(time.Duration(random.ExpFloat64() / (c.longPerSecond + c.shortPerSecond) * float64(time.Second)))
		slices.SortFunc(pending, func(a, b completion) int { return cmp.Compare(a.at.Sub(start), b.at.Sub(start)) })
		for len(pending) > 0 && !pending[0].at.After(now) {
			p := pending[0]
			pending = pending[1:]
			e := list[p.engine]
			if p.prefilled {
				tables[p.gateway].Prefilled(e, p.prefillTokens, 0)
				continue
			}
			tables[p.gateway].Ended(p.at, e, &placement.Request{}, 0, placement.Answered)
		}
		if c.interval > 0 && now.Sub(lastExchange) >= c.interval {
			lastExchange = now
			for i, from := range tables {
				for j, to := range tables {
					if i != j {
						to.SetPeerLoads(now, fmt.Sprint(i), from.Loads(now, 100))
					}
				}
			}
		}
		for i, from := range tables {
			if !c.urgent {
				break
			}
			select {
			case <-from.Urgent():
			default:
				continue
			}
			loads := from.UrgentLoads(now)
			for j, to := range tables {
				if i != j {
					to.UpdatePeerLoads(now, fmt.Sprint(i), loads)
				}
			}
		}
		g := random.IntN(c.gateways)
		req := &placement.Request{Service: "S", Tokens: 380, Gateways: c.gateways, Remaining: 8 * time.Second}
		isLong := random.Float64() < c.longPerSecond/(c.longPerSecond+c.shortPerSecond)
		if isLong {
			home := random.IntN(c.engines)
			req.Tokens, req.Shared, req.Stored, req.FetchTime = 17000, 12800, 12800, 40*time.Millisecond
			req.Homes = []string{list[home].ID, list[(home+1)%c.engines].ID}
			if c.newWeights {
				req.Shared, req.Stored, req.FetchTime, req.Homes = 0, 0, 0, nil
			}
		}
		choice, refusal := tables[g].Choose(now, req, list)
		if refusal != nil {
			r.refused++
			continue
		}
		i := index[choice.Endpoint.ID]
		tables[g].Sent(now, choice.Endpoint, req, choice.PrefillTokens)
		begin := now
		if idleFrom[i].After(begin) {
			begin = idleFrom[i]
		}
		prefilled := begin.Add(time.Duration(float64(req.Tokens-req.Stored) / engineRate * float64(time.Second)))
		idleFrom[i] = prefilled
		pending = append(pending, completion{at: prefilled, gateway: g, engine: i, prefillTokens: choice.PrefillTokens, prefilled: true},
			completion{at: prefilled.Add(300 * time.Millisecond), gateway: g, engine: i})
		if isLong {
			r.served++
			took := prefilled.Sub(now)
			r.timesToFirstPiece = append(r.timesToFirstPiece, took)
			if took > longTarget {
				r.late++
			}
		} else {
			r.shortTimesToFirstPiece = append(r.shortTimesToFirstPiece, prefilled.Sub(now))
		}
	}
	return r
}

// TestLoadOfManyGateways simulates the highest load: the engines are busy for 85 percent of the time with prompts that several gateways
// place. It guards against long prompts that wait behind those of other gateways while engines are idle.
func TestLoadOfManyGateways(t *testing.T) {
	for _, c := range []loadCase{
		{gateways: 5, engines: 12, longPerSecond: 110, shortPerSecond: 300},
		{gateways: 21, engines: 38, longPerSecond: 350, shortPerSecond: 900},
	} {
		t.Run(fmt.Sprintf("%d gateways, %d engines", c.gateways, c.engines), func(t *testing.T) {
			const seed = 3
			isolated := simulate(c, seed, 20*time.Second)
			c.interval = 50 * time.Millisecond
			exchanged := simulate(c, seed, 20*time.Second)
			t.Logf("seed %d: late %d of %d without exchange, %d of %d with it; p95 %v and %v", seed, isolated.late, isolated.served, exchanged.late, exchanged.served,
				isolated.quantile(0.95), exchanged.quantile(0.95))
			if exchanged.late*2 > isolated.late {
				t.Errorf("seed %d: late %d without and %d with the exchange of loads", seed, isolated.late, exchanged.late)
			}
			if exchanged.refused > 0 {
				t.Errorf("seed %d: %d refused while engines were idle", seed, exchanged.refused)
			}
			if p95 := exchanged.quantile(0.95); p95 > longTarget {
				t.Errorf("seed %d: p95 of the time to first piece is %v, target %v", seed, p95, longTarget)
			}
		})
	}
}

// TestUrgentLoadExchange simulates the load of a larger site after a change of weights, where gateways exchange all loads only five times
// per second. It guards against short prompts that wait behind long ones which other gateways have just sent, while engines are idle.
func TestUrgentLoadExchange(t *testing.T) {
	const seed = 5
	c := loadCase{gateways: 21, engines: 38, longPerSecond: 59, shortPerSecond: 610, newWeights: true,
		interval: 200 * time.Millisecond}
	periodic := simulate(c, seed, 20*time.Second)
	c.urgent = true
	urgent := simulate(c, seed, 20*time.Second)
	late := func(r result) (n int) {
		for _, took := range r.shortTimesToFirstPiece {
			if took > shortTarget {
				n++
			}
		}
		return n
	}
	t.Logf("seed %d: late %d long and %d short prompts, p99 of short ones %v; with urgent reports %d, %d and %v", seed, periodic.late,
		late(periodic), quantile(periodic.shortTimesToFirstPiece, 0.99), urgent.late, late(urgent), quantile(urgent.shortTimesToFirstPiece, 0.99))
	if urgent.late*2 > periodic.late || late(urgent)*2 > late(periodic) {
		t.Errorf("seed %d: urgent reports prevent less than half of the late prompts", seed)
	}
	if p99 := quantile(urgent.shortTimesToFirstPiece, 0.99); p99 > shortTarget {
		t.Errorf("seed %d: p99 of the time to first piece of short prompts is %v, target %v", seed, p99, shortTarget)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 54, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := endpoints(n)
			now := time.Now()
			table := placement.New()
			table.SetEndpoints(now, &site.Service{Name: "S", ColdRate: 33}, list)
			req := longRequest()
			b.ReportAllocs()
			for b.Loop() {
				if _, refusal := table.Choose(now, req, list); refusal != nil {
					b.Fatal(refusal)
				}
			}
		})
	}
}
