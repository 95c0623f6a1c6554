package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/prefix"
	"primrosecourse/pkg/ring"
	"primrosecourse/pkg/routing"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/token"
	"primrosecourse/pkg/wire"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func chain(blocks int) []prefix.ID {
	ids := make([]prefix.ID, blocks)
	for i := range ids {
		ids[i] = prefix.ID{byte(i >> 8), byte(i), 1}
	}
	return ids
}

// TestPlacementKey guards against keys that scatter the prompts of one conversation, or that place all conversations of an organisation together.
func TestPlacementKey(t *testing.T) {
	is := is.New(t)
	c := chain(5)
	for _, test := range []struct {
		name     string
		cacheKey string
		chain    []prefix.ID
		shared   int
		want     routing.KeySource
		block    int
	}{
		{"caller's key first", "conversation", c, 2, routing.KeyCaller, -1},
		{"first block after the shared part", "", c, 2, routing.KeyFirstOwnBlock, 2},
		{"nothing shared", "", c, 0, routing.KeyFirstOwnBlock, 0},
		{"only the shared part", "", c, 5, routing.KeyLastBlock, 4},
		{"shorter than the shared part", "", c[:1], 5, routing.KeyLastBlock, 0},
		{"below one block", "", nil, 2, routing.KeyNone, -1},
	} {
		got := routing.PlacementKey("Org1", test.cacheKey, test.chain, test.shared)
		is.Equal(got.Source, test.want) // source of the key
		if test.block >= 0 {
			is.Equal(got.Hash, c[test.block].Uint64())
		}
	}
	a, b := routing.PlacementKey("Org1", "1x", nil, 0), routing.PlacementKey("Org11", "x", nil, 0)
	is.True(a.Hash != b.Hash) // a caller's key counts only within its organisation
}

// TestHints guards against a table that grows without bound, misses the longest match, or evicts hints that are in use.
func TestHints(t *testing.T) {
	is := is.New(t)
	h := routing.NewHints(8)
	c := chain(100)
	h.Add(c[:10], 2, "Model1", now)
	is.Equal(h.Longest(c), routing.Match{Endpoint: "Model1", Blocks: 10, At: now})
	is.Equal(h.Longest(c[:9]).Blocks, 9) // distance 1
	is.Equal(h.Longest(c[:7]).Blocks, 6) // the next recorded block
	is.Equal(h.Longest(c[:2]).Blocks, 0) // the shared part gives no hint
	h.Forget(c[:10], "Model2", 4)        // another endpoint
	is.Equal(h.Longest(c).Blocks, 10)
	h.Forget(c[:10], "Model1", 4)
	is.Equal(h.Longest(c).Blocks, 3)
	for i := range 100 {
		h.Add([]prefix.ID{{9, byte(i)}}, 0, "Model3", now)
		is.True(h.Len() <= 8)
		is.Equal(h.Longest(c).Blocks, 3) // recently used, so it is not evicted
	}
	is.Equal(h.Longest([]prefix.ID{{9, 99}}).Endpoint, "Model3")
	is.Equal(h.Longest([]prefix.ID{{9, 5}}).Blocks, 0)
	h.Add(nil, 0, "Model4", now)
}

func router(load map[string]wire.LoadState) *routing.Router {
	var list []ring.Endpoint
	for i := range 12 {
		list = append(list, ring.Endpoint{Name: fmt.Sprintf("Model%d", i), FailureDomain: fmt.Sprintf("Domain%d", i%3)})
	}
	r := &routing.Router{Ring: ring.New(nil, list), Loads: routing.NewLoads(), Hints: routing.NewHints(0),
		Affinity: routing.NewAffinity()}
	for name, l := range load {
		r.Loads.Report(name, l, now)
	}
	return r
}

// TestRoute guards against a ring place, a hint, a load report or an earlier attempt that has no influence on the choice, and against
// candidates that leave out a failure domain.
func TestRoute(t *testing.T) {
	c := chain(8)
	prompt := routing.Prompt{Key: routing.Key{Hash: 1, Source: routing.KeyFirstOwnBlock}, Chain: c, Tokens: 8200}
	first := router(nil).Route(now, prompt, nil).Weighed[0].Endpoint
	second := router(nil).Route(now, prompt, []string{first}).Weighed[0].Endpoint
	for _, test := range []struct {
		name   string
		load   map[string]wire.LoadState
		tried  []string
		hint   string
		age    time.Duration
		want   string
		reason routing.Reason
	}{
		{name: "first of the ring", want: first, reason: routing.ReasonPlacement},
		{name: "tried", tried: []string{first}, want: second, reason: routing.ReasonCost},
		{name: "longest prefix", hint: "Model2", want: "Model2", reason: routing.ReasonPrefix},
		{name: "old hint", hint: "Model2", age: 2 * time.Hour, want: first, reason: routing.ReasonPlacement},
		{name: "hint of an endpoint that is gone", hint: "Model99", want: first, reason: routing.ReasonPlacement},
		{name: "long queue", load: map[string]wire.LoadState{first: {State: wire.StateWarm, Allowance: 16, Running: 16,
			Queued: 16, QueuedTokens: 99999}}, want: second, reason: routing.ReasonLoad},
		{name: "cold and full", load: map[string]wire.LoadState{first: {State: wire.StateCold, Allowance: 2, Running: 2}},
			want: second, reason: routing.ReasonLoad},
		{name: "draining", load: map[string]wire.LoadState{first: {State: wire.StateDraining}}, want: second,
			reason: routing.ReasonLoad},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := router(test.load)
			if test.hint != "" {
				r.Hints.Add(c, 0, test.hint, now.Add(-test.age))
			}
			d := r.Route(now, prompt, test.tried)
			is.Equal(d.Weighed[0].Endpoint, test.want)
			is.Equal(d.Reason, test.reason)
			domains := map[string]bool{}
			for _, w := range d.Weighed {
				domains[w.FailureDomain] = true
			}
			is.Equal(len(domains), 3)
		})
	}
}

// TestRouteStaysAtHomes guards against a peak of load that spreads a conversation over all engines, and against a prompt that cannot be placed
// when all its homes are down.
func TestRouteStaysAtHomes(t *testing.T) {
	is := is.New(t)
	busy := wire.LoadState{State: wire.StateWarm, Allowance: 16, Running: 16, Queued: 16, QueuedTokens: 999999}
	c := chain(8)
	prompt := routing.Prompt{Key: routing.Key{Hash: 1, Source: routing.KeyFirstOwnBlock}, Chain: c, Tokens: 8200, Random: 77}
	r := router(nil)
	homes := r.Ring.Append(nil, 1, now, 2)
	for _, i := range homes {
		r.Loads.Report(r.Ring.Endpoint(i).Name, busy, now)
	}
	d := r.Route(now, prompt, nil)
	is.Equal(d.Weighed[0].Place, 0)
	is.Equal(d.Weighed[2].Class, routing.ClassSpare)
	for _, i := range homes {
		r.Loads.Down(r.Ring.Endpoint(i).Name, now)
	}
	d = r.Route(now, prompt, nil)
	is.Equal(d.Weighed[0].Class, routing.ClassSpare)
	is.True(d.Reason != routing.ReasonLastResort)
	prompt.Key = routing.Key{}
	is.Equal(r.Route(now, prompt, nil).Weighed[0].Class, routing.ClassReady) // a prompt without a key may go anywhere
}

// TestRouteWithoutEndpoints guards against a failure when there is nothing to choose from, and against a last resort that is not
// reported as such.
func TestRouteWithoutEndpoints(t *testing.T) {
	is := is.New(t)
	r := router(nil)
	r.Ring = ring.New(nil, nil)
	is.Equal(r.Route(now, routing.Prompt{}, nil).Reason, routing.ReasonNoCandidate)
	r.Ring = ring.New(nil, []ring.Endpoint{{Name: "Model1"}})
	is.Equal(r.Route(now, routing.Prompt{}, nil).Reason, routing.ReasonOnlyCandidate)
	r.Loads.Down("Model1", now)
	is.Equal(r.Route(now, routing.Prompt{}, nil).Reason, routing.ReasonLastResort)
}

// TestWeigh guards against a stale report with the same weight as a new one, requests in flight that are not counted, and a fetch
// over a link that takes longer than prefilling.
func TestWeigh(t *testing.T) {
	is := is.New(t)
	busy := routing.Observation{Load: wire.LoadState{State: wire.StateWarm, Allowance: 16, QueuedTokens: 80000}, At: now}
	c := routing.Costs{Model: settings.Model{PrefillTokensPerSecond: 8000, BytesPerToken: 1000}}
	waitAt := func(age time.Duration, o routing.Observation) time.Duration {
		w := c.Weigh(now.Add(age), routing.Candidate{Observation: o}, 8000, 0, 0)
		return w.Wait
	}
	is.Equal(waitAt(0, busy), 10*time.Second)
	is.Equal(waitAt(2*time.Second, busy), 5050*time.Millisecond)
	is.Equal(waitAt(time.Hour, busy), 100*time.Millisecond)
	busy.UnreportedTokens = 8000
	is.Equal(waitAt(0, busy), 11*time.Second)
	for _, test := range []struct {
		link             int64
		cached, stored   int
		fetch, recompute time.Duration
	}{
		{0, 0, 4000, 0, 500 * time.Millisecond},
		{40e6, 0, 4000, 100 * time.Millisecond, 0},
		{40e6, 2000, 4000, 50 * time.Millisecond, 0},
		{4e6, 0, 4000, 0, 500 * time.Millisecond},
	} {
		c.LinkBytesPerSecond = test.link
		w := c.Weigh(now, routing.Candidate{Cached: test.cached}, 8000, 4000, test.stored)
		is.Equal(w.Fetch, test.fetch)
		is.Equal(w.Recompute, test.recompute)
	}
}

// TestRings guards against new work for a failure domain that leaves, and against rebuilding each ring at every change of the
// configuration.
func TestRings(t *testing.T) {
	is := is.New(t)
	d := &settings.Deployment{
		FailureDomains: []settings.FailureDomain{{Name: "A", Region: "North"}, {Name: "B", Region: "South"}},
		Models:         []settings.Model{{Name: "M"}, {Name: "Empty"}},
		Services:       []settings.Service{{Name: "S"}},
		Endpoints: []settings.Endpoint{{Name: "M1", FailureDomain: "A", Model: "M"}, {Name: "M2", FailureDomain: "B", Model: "M"},
			{Name: "S1", Kind: settings.ServiceEndpoint, FailureDomain: "B", Service: "S"}},
	}
	s := routing.Rings(d, "North", nil)
	is.Equal(s.Models["M"].Len(), 1)
	is.Equal(s.Models["Empty"].Len(), 0)
	is.Equal(s.Services["S"].Len(), 1) // none in the region, so those of other regions are used
	is.True(routing.Rings(d, "North", s).Models["M"] == s.Models["M"])
	d.FailureDomains[0].State = settings.Leaving
	is.Equal(routing.Rings(d, "North", s).Models["M"].Endpoint(0).Name, "M2") // a domain that leaves gets no new work
}

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			r := router(nil)
			var list []ring.Endpoint
			for i := range n {
				list = append(list, ring.Endpoint{Name: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % 4)})
			}
			r.Ring = ring.New(nil, list)
			c := chain(30)
			r.Hints.Add(c, 0, "7", now)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.Route(now, routing.Prompt{Key: routing.Key{Hash: uint64(i), Source: routing.KeyCaller}, Chain: c,
					Tokens: 31000, Random: uint64(i)}, nil)
			}
		})
	}
}

// BenchmarkRings measures a change of the configuration that touches no endpoint, which is the most frequent kind of change.
func BenchmarkRings(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			d := &settings.Deployment{Models: []settings.Model{{Name: "M0"}, {Name: "M1"}}}
			for i := range n {
				d.Endpoints = append(d.Endpoints, settings.Endpoint{Name: fmt.Sprint("E", i), FailureDomain: fmt.Sprint(i % 26),
					Model: fmt.Sprint("M", i%2)})
			}
			s := routing.Rings(d, "", nil)
			b.ReportAllocs()
			for b.Loop() {
				routing.Rings(d, "", s)
			}
		})
	}
}

func BenchmarkHints(b *testing.B) {
	for _, blocks := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			h, c := routing.NewHints(0), chain(blocks)
			for b.Loop() {
				h.Add(c, 0, "Model1", now)
				h.Longest(c)
			}
		})
	}
}

func ExampleRouter_Route() {
	r := &routing.Router{
		Ring:  ring.New(nil, []ring.Endpoint{{Name: "Model1", FailureDomain: "North"}, {Name: "Model2", FailureDomain: "South"}}),
		Loads: routing.NewLoads(),
		Hints: routing.NewHints(0),
	}
	tokens := token.Encode("a prompt that came back")
	ids := prefix.Chain("Org1", "v1", tokens, 8)
	r.Costs.Model.BlockTokens = 8
	r.Hints.Add(ids, 0, "Model2", now)
	d := r.Route(now, routing.Prompt{Key: routing.PlacementKey("Org1", "", ids, 0), Chain: ids, Tokens: len(tokens)}, nil)
	fmt.Println(d.Weighed[0].Endpoint, d.Weighed[0].Cached, d.Reason)
	// Output: Model2 16 ReasonPrefix
}
