package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
)

// shares returns a function that gives the same parts with the same keys for every endpoint.
func shares(parts ...placement.Part) func(*site.Endpoint) []placement.Part {
	return func(*site.Endpoint) []placement.Part { return parts }
}

// TestPlacementByCacheReport guards against a prompt that is prefilled again at its home while another endpoint has its parts cached, and
// against a wrong count of the tokens to prefill, which is the load that is reported to other gateways.
func TestPlacementByCacheReport(t *testing.T) {
	now := time.Now()
	part := placement.Part{Key: placement.PartKey("S", "p"), Tokens: 12800}
	for name, c := range map[string]struct {
		cached        map[string][]placement.Part // nil if no cache is reported
		age           time.Duration
		chosen        string
		reason        placement.Reason
		prefillTokens int
	}{
		"cached at another endpoint":            {map[string][]placement.Part{"e0": {}, "e1": {}, "e2": {part}}, 0, "e2", placement.Holder, 4200},
		"cached at the home":                    {map[string][]placement.Part{"e0": {part}, "e1": {}, "e2": {}}, 0, "e0", placement.Holder, 4200},
		"report too old":                        {map[string][]placement.Part{"e0": {}, "e1": {}, "e2": {part}}, 3 * time.Second, "e0", placement.Home, 5479},
		"no report":                             {nil, 0, "e0", placement.Home, 5479},
		"cached without the last partial block": {map[string][]placement.Part{"e0": {}, "e1": {}, "e2": {{Key: part.Key, Tokens: 12784}}}, 0, "e2", placement.Holder, 4200},
		"only the beginning cached elsewhere":   {map[string][]placement.Part{"e0": {part}, "e1": {}, "e2": {{Key: part.Key, Tokens: 4000}}}, 0, "e0", placement.Holder, 4200},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list := endpoints(3)
			table := newTable(nil, list, now)
			for id, parts := range c.cached {
				table.SetPeerCaches(now.Add(-c.age), "G", []placement.CachedParts{{Endpoint: id, Parts: parts}})
			}
			req := &placement.Request{Service: "S", Tokens: 17000, Shared: 12800, Homes: []string{"e0"}, Parts: shares(part), Gateways: 1}
			choice, refusal := table.Choose(now, req, list)
			is.True(refusal == nil)
			is.Equal(choice.Endpoint.ID, c.chosen)
			is.Equal(choice.Reason, c.reason)
			is.Equal(choice.PrefillTokens, c.prefillTokens)
		})
	}
}

// TestHolderAlwaysConsidered guards against an endpoint that has the prompt cached but is not sampled among many endpoints.
func TestHolderAlwaysConsidered(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	part := placement.Part{Key: 7, Tokens: 12800}
	list := endpoints(200)
	table := newTable(nil, list, now)
	calls := 0
	table.Random = func() float64 { // samples the first endpoint only
		if calls++; calls == 1 {
			return 0
		}
		return 0.99
	}
	for _, e := range list {
		table.SetLocalCache(now, e.ID, nil)
	}
	table.SetLocalCache(now, list[150].ID, []placement.Part{part})
	choice, refusal := table.Choose(now, &placement.Request{Service: "S", Tokens: 17000, Shared: 12800, Parts: shares(part), Gateways: 1}, list)
	is.True(refusal == nil)
	is.Equal(choice.Endpoint.ID, list[150].ID)
}

// TestPartsInOrder guards against counting a cached part that is of no use since a long part before it is not cached.
func TestPartsInOrder(t *testing.T) {
	now := time.Now()
	first, small, second := placement.Part{Key: 1, Tokens: 2000}, placement.Part{Key: 2, Tokens: 100}, placement.Part{Key: 3, Tokens: 5000}
	for name, c := range map[string]struct {
		cached        []placement.Part
		prefillTokens int
	}{
		"all":              {[]placement.Part{first, second}, 0},
		"first part":       {[]placement.Part{first}, 5100},
		"second part":      {[]placement.Part{second}, 7100},
		"none":             {[]placement.Part{}, 7100},
		"only other parts": {[]placement.Part{{Key: 9, Tokens: 9000}}, 7100},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list := endpoints(1)
			table := newTable(nil, list, now)
			table.SetLocalCache(now, "e0", c.cached)
			choice, refusal := table.Choose(now, &placement.Request{Service: "S", Tokens: 7100, Shared: 7100, Gateways: 1,
				Parts: shares(first, small, second)}, list)
			is.True(refusal == nil)
			is.Equal(choice.PrefillTokens, c.prefillTokens)
		})
	}
}

// TestStoredPartsNeedNoPrefill guards against counting tokens as uncached that can be fetched from a store.
func TestStoredPartsNeedNoPrefill(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	part := placement.Part{Key: 1, Tokens: 12800}
	list := endpoints(1)
	table := newTable(nil, list, now)
	table.SetLocalCache(now, "e0", nil)
	choice, _ := table.Choose(now, &placement.Request{Service: "S", Tokens: 17000, Shared: 12800, Stored: 12800, Gateways: 1,
		FetchTime: 40 * time.Millisecond, Parts: shares(part)}, list)
	is.Equal(choice.PrefillTokens, 4200)
}

// TestLocalCaches guards against a report of an endpoint's cache that leaves out some parts, and against forwarding the reports of peers.
func TestLocalCaches(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	list := endpoints(3)
	table := newTable(nil, list, now)
	table.SetLocalCache(now, "e0", []placement.Part{{Key: 1, Tokens: 2000}, {Key: 2, Tokens: 2000}})
	table.SetPeerCaches(now, "G", []placement.CachedParts{{Endpoint: "e1", Parts: []placement.Part{{Key: 3, Tokens: 2000}}}, {Endpoint: "foreign"}})
	local := table.LocalCaches(now, 10)
	is.Equal(local, []placement.CachedParts{{Endpoint: "e0", Parts: []placement.Part{{Key: 1, Tokens: 2000}, {Key: 2, Tokens: 2000}}}})
	is.Equal(len(table.LocalCaches(now, 1)), 0) // not half of the endpoint's parts
	is.Equal(len(table.LocalCaches(now.Add(time.Minute), 10)), 0)
	table.SetPeerCaches(now, "G", []placement.CachedParts{{Endpoint: "e0"}}) // another gateway also reports the endpoint
	is.Equal(table.LocalCaches(now, 10), local)
}

// TestUrgentLoads guards against long prompts that peers learn of only after the prefill, against room in memory that they learn of
// late, and against urgent reports of short prompts.
func TestUrgentLoads(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	list := endpoints(3)
	table := newTable(nil, list, now)
	urgent := func() bool {
		select {
		case <-table.Urgent():
			return true
		default:
			return false
		}
	}
	req := &placement.Request{Service: "S", Gateways: 1}
	short, long := *req, *req
	short.Tokens, long.Tokens = 300, 17000
	table.Sent(now, list[0], &short, 300)
	is.True(!urgent())
	table.Sent(now, list[1], &long, 17000)
	is.True(urgent())
	is.Equal(table.UrgentLoads(now), []placement.Load{{Endpoint: "e1", InFlight: 1, Pending: 17000, Held: 17000}})
	is.Equal(len(table.UrgentLoads(now)), 0)
	table.Prefilled(list[1], 17000, time.Second)
	is.True(urgent())
	is.Equal(table.UrgentLoads(now), []placement.Load{{Endpoint: "e1", InFlight: 1, Held: 17000}})
	table.Ended(now, list[0], &short, 300, placement.Answered)
	is.True(!urgent())
	table.Ended(now, list[1], &long, 0, placement.Answered)
	is.True(urgent())
	is.Equal(table.UrgentLoads(now), []placement.Load{{Endpoint: "e1"}})

	other := newTable(nil, list, now)
	other.SetPeerLoads(now, "G1", []placement.Load{{Endpoint: "e0", InFlight: 1, Pending: 300}, {Endpoint: "e1"}})
	other.UpdatePeerLoads(now, "G1", []placement.Load{{Endpoint: "e1", InFlight: 1, Pending: 17000}, {Endpoint: "e2", InFlight: 1, Pending: 9000}})
	choice, _ := other.Choose(now, req, list)
	is.Equal(choice.Endpoint.ID, "e0")
	is.True(choice.Wait > 0) // the load at e0 that was reported before stays
}
