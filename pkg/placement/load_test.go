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
	// exchange is the time after which gateways know of each other's loads; 0 for never.
	exchange time.Duration
	// unread tells that nobody keeps the shared parts of long prompts, as after new weights.
	unread bool
	// urgent tells that they know of long prompts at once.
	urgent bool
}

// result is what callers got.
type result struct {
	served, late, refused int
	first                 []time.Duration
	// short are the times of short prompts.
	short []time.Duration
}

func (r *result) quantile(q float64) time.Duration { return quantile(r.first, q) }

func quantile(list []time.Duration, q float64) time.Duration {
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))]
}

const (
	engineRate = 56600.0 // tokens a second
	longTarget = 600 * time.Millisecond
	// shortTarget is the time within which callers expect the first piece of a short prompt.
	shortTarget = 400 * time.Millisecond
)

// pending is a prompt on its way.
type pending struct {
	at      time.Time
	gateway int
	engine  int
	unread  int
	first   bool // else the end
}

// play places the load for some time and returns what callers of long prompts got. Engines read prompts one after the other;
// their long prompts' shared parts can be fetched from a store.
func play(c loadCase, seed uint64, d time.Duration) (r result) {
	random := rand.New(rand.NewPCG(seed, 1))
	list := endpoints(c.engines)
	tables := make([]*placement.Table, c.gateways)
	start := time.Now()
	for i := range tables {
		tables[i] = placement.New()
		tables[i].Random = random.Float64
		tables[i].Learn(start, nil, list)
	}
	free := make([]time.Time, c.engines)
	index := map[string]int{}
	for i, e := range list {
		index[e.ID] = i
	}
	var due []pending
	now, told := start, start
	for now.Sub(start) < d {
		now = now.Add(time.Duration(random.ExpFloat64() / (c.longPerSecond + c.shortPerSecond) * float64(time.Second)))
		slices.SortFunc(due, func(a, b pending) int { return cmp.Compare(a.at.Sub(start), b.at.Sub(start)) })
		for len(due) > 0 && !due[0].at.After(now) {
			p := due[0]
			due = due[1:]
			e := list[p.engine]
			if p.first {
				tables[p.gateway].FirstPiece(e, p.unread, 0)
				continue
			}
			tables[p.gateway].Ended(p.at, e, 0, placement.Answered)
		}
		if c.exchange > 0 && now.Sub(told) >= c.exchange {
			told = now
			for i, from := range tables {
				for j, to := range tables {
					if i != j {
						to.PeerLoads(now, fmt.Sprint(i), from.Loads(now, 100))
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
					to.PeerUrgentLoads(now, fmt.Sprint(i), loads)
				}
			}
		}
		g := random.IntN(c.gateways)
		ask := &placement.Ask{Service: "S", Tokens: 380, Gateways: c.gateways, Left: 8 * time.Second}
		isLong := random.Float64() < c.longPerSecond/(c.longPerSecond+c.shortPerSecond)
		if isLong {
			home := random.IntN(c.engines)
			ask.Tokens, ask.Shared, ask.Stored, ask.FetchTime = 17000, 12800, 12800, 40*time.Millisecond
			ask.Homes = []string{list[home].ID, list[(home+1)%c.engines].ID}
			if c.unread {
				ask.Shared, ask.Stored, ask.FetchTime, ask.Homes = 0, 0, 0, nil
			}
		}
		choice, refusal := tables[g].Choose(now, ask, list)
		if refusal != nil {
			r.refused++
			continue
		}
		i := index[choice.Endpoint.ID]
		tables[g].Sent(now, choice.Endpoint, ask, choice.Unread)
		begins := now
		if free[i].After(begins) {
			begins = free[i]
		}
		read := begins.Add(time.Duration(float64(ask.Tokens-ask.Stored) / engineRate * float64(time.Second)))
		free[i] = read
		due = append(due, pending{at: read, gateway: g, engine: i, unread: choice.Unread, first: true},
			pending{at: read.Add(300 * time.Millisecond), gateway: g, engine: i})
		if isLong {
			r.served++
			took := read.Sub(now)
			r.first = append(r.first, took)
			if took > longTarget {
				r.late++
			}
		} else {
			r.short = append(r.short, read.Sub(now))
		}
	}
	return r
}

// TestLoadOfManyGateways plays the heaviest days: the engines are busy for 85 in 100 of the time with prompts that several
// gateways place. It guards against long prompts that wait behind those of other gateways while engines are idle.
func TestLoadOfManyGateways(t *testing.T) {
	for _, c := range []loadCase{
		{gateways: 5, engines: 12, longPerSecond: 110, shortPerSecond: 300},
		{gateways: 21, engines: 38, longPerSecond: 350, shortPerSecond: 900},
	} {
		t.Run(fmt.Sprintf("%d gateways, %d engines", c.gateways, c.engines), func(t *testing.T) {
			const seed = 3
			alone := play(c, seed, 20*time.Second)
			c.exchange = 50 * time.Millisecond
			told := play(c, seed, 20*time.Second)
			t.Logf("seed %d: late %d of %d alone, %d of %d told; p95 %v and %v", seed, alone.late, alone.served, told.late, told.served,
				alone.quantile(0.95), told.quantile(0.95))
			if told.late*2 > alone.late {
				t.Errorf("seed %d: late %d without and %d with the loads of other gateways", seed, alone.late, told.late)
			}
			if told.refused > 0 {
				t.Errorf("seed %d: %d refused while engines were idle", seed, told.refused)
			}
			if p95 := told.quantile(0.95); p95 > longTarget {
				t.Errorf("seed %d: 95 in 100 first pieces within %v, target %v", seed, p95, longTarget)
			}
		})
	}
}

// TestLongPromptsAreToldAtOnce plays the load of a larger site after new weights, where gateways hear of all loads only five times a
// second.
// It guards against short prompts that wait behind long ones which other gateways have just sent, while engines are idle.
func TestLongPromptsAreToldAtOnce(t *testing.T) {
	const seed = 5
	c := loadCase{gateways: 21, engines: 38, longPerSecond: 59, shortPerSecond: 610, unread: true,
		exchange: 200 * time.Millisecond}
	later := play(c, seed, 20*time.Second)
	c.urgent = true
	told := play(c, seed, 20*time.Second)
	late := func(r result) (n int) {
		for _, took := range r.short {
			if took > shortTarget {
				n++
			}
		}
		return n
	}
	t.Logf("seed %d: late %d long and %d short prompts, p99 of short ones %v; told at once %d, %d and %v", seed, later.late, late(later),
		quantile(later.short, 0.99), told.late, late(told), quantile(told.short, 0.99))
	if told.late*2 > later.late || late(told)*2 > late(later) {
		t.Errorf("seed %d: telling at once saves less than half of the late prompts", seed)
	}
	if p99 := quantile(told.short, 0.99); p99 > shortTarget {
		t.Errorf("seed %d: 99 in 100 short prompts begin within %v, target %v", seed, p99, shortTarget)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 54, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := endpoints(n)
			now := time.Now()
			table := placement.New()
			table.Learn(now, &site.Service{Name: "S", ColdRate: 33}, list)
			ask := long()
			b.ReportAllocs()
			for b.Loop() {
				if _, refusal := table.Choose(now, ask, list); refusal != nil {
					b.Fatal(refusal)
				}
			}
		})
	}
}
