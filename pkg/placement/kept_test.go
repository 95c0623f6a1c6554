package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
)

// shares returns parts that every endpoint keeps under the same key.
func shares(parts ...placement.Part) func(*site.Endpoint) []placement.Part {
	return func(*site.Endpoint) []placement.Part { return parts }
}

// TestHolder guards against a prompt that is read again at its home while another endpoint keeps its parts, and against an
// expectation of the load that it adds which is wrong for others.
func TestHolder(t *testing.T) {
	now := time.Now()
	part := placement.Part{Key: placement.PartKey("S", "p"), Tokens: 12800}
	for name, c := range map[string]struct {
		kept   map[string][]placement.Part // nil for an endpoint that nobody follows
		age    time.Duration
		chosen string
		reason placement.Reason
		unread int
	}{
		"another one keeps it":        {map[string][]placement.Part{"e0": {}, "e1": {}, "e2": {part}}, 0, "e2", placement.Holder, 4200},
		"the home keeps it":           {map[string][]placement.Part{"e0": {part}, "e1": {}, "e2": {}}, 0, "e0", placement.Holder, 4200},
		"the word is old":             {map[string][]placement.Part{"e0": {}, "e1": {}, "e2": {part}}, 3 * time.Second, "e0", placement.Home, 5479},
		"nothing is known":            {nil, 0, "e0", placement.Home, 5479},
		"it is kept by blocks":        {map[string][]placement.Part{"e0": {}, "e1": {}, "e2": {{Key: part.Key, Tokens: 12784}}}, 0, "e2", placement.Holder, 4200},
		"only its beginning is there": {map[string][]placement.Part{"e0": {part}, "e1": {}, "e2": {{Key: part.Key, Tokens: 4000}}}, 0, "e0", placement.Holder, 4200},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list := endpoints(3)
			table := newTable(nil, list, now)
			for id, parts := range c.kept {
				table.PeerKept(now.Add(-c.age), []placement.Kept{{Endpoint: id, Parts: parts}})
			}
			ask := &placement.Ask{Service: "S", Tokens: 17000, Shared: 12800, Homes: []string{"e0"}, Parts: shares(part), Gateways: 1}
			choice, refusal := table.Choose(now, ask, list)
			is.True(refusal == nil)
			is.Equal(choice.Endpoint.ID, c.chosen)
			is.Equal(choice.Reason, c.reason)
			is.Equal(choice.Unread, c.unread)
		})
	}
}

// TestHolderIsConsidered guards against a holder among many endpoints that is never drawn.
func TestHolderIsConsidered(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	part := placement.Part{Key: 7, Tokens: 12800}
	list := endpoints(200)
	table := newTable(nil, list, now)
	draws := 0
	table.Random = func() float64 { // draws the first endpoint only
		if draws++; draws == 1 {
			return 0
		}
		return 0.99
	}
	for _, e := range list {
		table.Keeps(now, e.ID, nil)
	}
	table.Keeps(now, list[150].ID, []placement.Part{part})
	choice, refusal := table.Choose(now, &placement.Ask{Service: "S", Tokens: 17000, Shared: 12800, Parts: shares(part), Gateways: 1}, list)
	is.True(refusal == nil)
	is.Equal(choice.Endpoint.ID, list[150].ID)
}

// TestPartsInOrder guards against counting on a part that is of no use since one before it is missing.
func TestPartsInOrder(t *testing.T) {
	now := time.Now()
	first, small, second := placement.Part{Key: 1, Tokens: 2000}, placement.Part{Key: 2, Tokens: 100}, placement.Part{Key: 3, Tokens: 5000}
	for name, c := range map[string]struct {
		kept   []placement.Part
		unread int
	}{
		"all":         {[]placement.Part{first, second}, 0},
		"the first":   {[]placement.Part{first}, 5100},
		"the second":  {[]placement.Part{second}, 7100},
		"none":        {[]placement.Part{}, 7100},
		"only others": {[]placement.Part{{Key: 9, Tokens: 9000}}, 7100},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list := endpoints(1)
			table := newTable(nil, list, now)
			table.Keeps(now, "e0", c.kept)
			choice, refusal := table.Choose(now, &placement.Ask{Service: "S", Tokens: 7100, Shared: 7100, Gateways: 1,
				Parts: shares(first, small, second)}, list)
			is.True(refusal == nil)
			is.Equal(choice.Unread, c.unread)
		})
	}
}

// TestStoredOrKept guards against counting tokens as unread that can be fetched beyond what the endpoint keeps.
func TestStoredOrKept(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	part := placement.Part{Key: 1, Tokens: 12800}
	list := endpoints(1)
	table := newTable(nil, list, now)
	table.Keeps(now, "e0", nil)
	choice, _ := table.Choose(now, &placement.Ask{Service: "S", Tokens: 17000, Shared: 12800, Stored: 12800, Gateways: 1,
		FetchTime: 40 * time.Millisecond, Parts: shares(part)}, list)
	is.Equal(choice.Unread, 4200)
}

// TestKeptIsTold guards against a word on an endpoint's parts that leaves some out, and against passing on what others said.
func TestKeptIsTold(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	list := endpoints(3)
	table := newTable(nil, list, now)
	table.Keeps(now, "e0", []placement.Part{{Key: 1, Tokens: 2000}, {Key: 2, Tokens: 2000}})
	table.PeerKept(now, []placement.Kept{{Endpoint: "e1", Parts: []placement.Part{{Key: 3, Tokens: 2000}}}, {Endpoint: "foreign"}})
	told := table.Kept(now, 10)
	is.Equal(told, []placement.Kept{{Endpoint: "e0", Parts: []placement.Part{{Key: 1, Tokens: 2000}, {Key: 2, Tokens: 2000}}}})
	is.Equal(len(table.Kept(now, 1)), 0) // not the half of it
	is.Equal(len(table.Kept(now.Add(time.Minute), 10)), 0)
	table.PeerKept(now, []placement.Kept{{Endpoint: "e0"}}) // another gateway believes that it follows it
	is.Equal(table.Kept(now, 10), told)
}

// TestUrgentLoads guards against long prompts that others learn of only once they have been read, and against telling of short ones
// at once.
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
	ask := &placement.Ask{Service: "S", Gateways: 1}
	table.Sent(now, list[0], ask, 300)
	is.True(!urgent())
	table.Sent(now, list[1], ask, 17000)
	is.True(urgent())
	is.Equal(table.UrgentLoads(now), []placement.Load{{Endpoint: "e1", InFlight: 1, Pending: 17000}})
	is.Equal(len(table.UrgentLoads(now)), 0)
	table.FirstPiece(list[1], 17000, time.Second)
	is.True(urgent())
	is.Equal(table.UrgentLoads(now), []placement.Load{{Endpoint: "e1", InFlight: 1}})
	table.Ended(now, list[1], 0, placement.Answered)
	is.True(!urgent())

	other := newTable(nil, list, now)
	other.PeerLoads(now, "G1", []placement.Load{{Endpoint: "e0", InFlight: 1, Pending: 300}, {Endpoint: "e1"}})
	other.PeerUrgentLoads(now, "G1", []placement.Load{{Endpoint: "e1", InFlight: 1, Pending: 17000}, {Endpoint: "e2", InFlight: 1, Pending: 9000}})
	choice, _ := other.Choose(now, ask, list)
	is.Equal(choice.Endpoint.ID, "e0")
	is.True(choice.Wait > 0) // what was told before stays
}
