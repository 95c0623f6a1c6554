package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
)

// half makes every draw the same.
func half() float64 { return 0.5 }

func endpoints(n int) (list []*site.Endpoint) {
	for i := range n {
		list = append(list, &site.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "S", FailureDomain: "d"})
	}
	return list
}

func newTable(service *site.Service, list []*site.Endpoint, now time.Time) *placement.Table {
	t := placement.New()
	t.Random = half
	t.Learn(now, service, list)
	return t
}

func long() *placement.Ask {
	return &placement.Ask{Service: "S", Homes: []string{"e1", "e2"}, Tokens: 17000, Shared: 12800, Gateways: 1, Domain: "d"}
}

// TestHomeAndSpill guards against prompts that are read again elsewhere while their home is idle, and against prompts that
// wait at their home while others are idle.
func TestHomeAndSpill(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	list := endpoints(4)
	table := newTable(nil, list, now)
	c, refusal := table.Choose(now, long(), list)
	is.True(refusal == nil)
	is.Equal(c.Endpoint.ID, "e1")
	is.Equal(c.Reason, placement.Home)
	for range 3 {
		table.Sent(now, list[1], long(), 17000)
	}
	c, _ = table.Choose(now, long(), list)
	is.Equal(c.Endpoint.ID, "e2") // the second home
	for range 3 {
		table.Sent(now, list[2], long(), 17000)
	}
	c, _ = table.Choose(now, long(), list)
	is.Equal(c.Reason, placement.Spill)
	stored := long()
	stored.Stored, stored.FetchTime = 12800, 30*time.Millisecond
	fresh := newTable(nil, list, now)
	fresh.Sent(now, list[1], stored, 4200)
	c, _ = fresh.Choose(now, stored, list)
	is.True(c.Endpoint.ID != "e1") // fetching takes less time than waiting
}

// TestPeersCount guards against gateways that all choose the endpoint at which another one's long prompts wait.
func TestPeersCount(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	list := endpoints(4)
	table := newTable(nil, list, now)
	table.PeerLoads(now, "other", []placement.Load{{Endpoint: "e1", InFlight: 3, Pending: 50000}, {Endpoint: "e2", InFlight: 3, Pending: 50000}})
	c, _ := table.Choose(now, long(), list)
	is.Equal(c.Reason, placement.Spill)
	c, _ = table.Choose(now.Add(2*time.Second), long(), list)
	is.Equal(c.Endpoint.ID, "e1") // a word that was not renewed counts for nothing
}

// TestSuspects guards against sending requests to an endpoint that fails, and against never trying it again.
func TestSuspects(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	list := endpoints(2)
	table := newTable(nil, list, now)
	ask := &placement.Ask{Service: "S", Gateways: 1, Domain: "d"}
	table.Sent(now, list[0], ask, 0)
	suspect, _ := table.Ended(now, list[0], 0, placement.Unreachable)
	is.True(suspect)
	for range 20 {
		c, _ := table.Choose(now.Add(100*time.Millisecond), ask, list)
		is.Equal(c.Endpoint.ID, "e1")
	}
	_, refusal := table.Choose(now.Add(100*time.Millisecond), ask, list[:1])
	is.Equal(refusal.Reason, placement.NoEndpoint)
	is.True(refusal.RetryAfter > 0)
	later := now.Add(time.Second)
	c, refusal := table.Choose(later, ask, list[:1])
	is.True(refusal == nil)
	is.Equal(c.Reason, placement.Probe)
	table.Sent(later, list[0], ask, 0)
	_, refusal = table.Choose(later, ask, list[:1])
	is.True(refusal != nil) // one probe at a time
	_, trusted := table.Ended(later, list[0], 0, placement.Answered)
	is.True(trusted)
	c, _ = table.Choose(later, ask, list[:1])
	is.Equal(c.Reason, placement.LeastLoad)
}

// TestSingleBrokenConnection guards against taking an endpoint out for one broken connection, which may be the path's fault.
func TestSingleBrokenConnection(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	list := endpoints(1)
	table := newTable(nil, list, now)
	ask := &placement.Ask{Service: "S", Gateways: 1}
	table.Sent(now, list[0], ask, 0)
	suspect, _ := table.Ended(now, list[0], 0, placement.Broken)
	is.True(!suspect)
	table.Sent(now, list[0], ask, 0)
	suspect, _ = table.Ended(now, list[0], 0, placement.Broken)
	is.True(suspect)
}

// TestColdEndpoints guards against a cold endpoint that gets more than it bears from all gateways together, and against
// sending on when nothing else is left.
func TestColdEndpoints(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	list := endpoints(1)
	list[0].ColdRemaining = 3 * time.Second
	table := newTable(&site.Service{Name: "S", ColdRate: 33}, list, now)
	ask := &placement.Ask{Service: "S", Gateways: 5}
	sent := 0
	for ms := range 1000 {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		if _, refusal := table.Choose(at, ask, list); refusal == nil {
			table.Sent(at, list[0], ask, 0)
			table.Ended(at, list[0], 0, placement.Answered)
			sent++
		} else {
			is.Equal(refusal.Reason, placement.AllCold)
		}
	}
	is.True(sent <= 8) // a fifth of 33, and one
	is.True(sent >= 6)
	_, refusal := table.Choose(now.Add(4*time.Second), ask, list)
	is.True(refusal == nil)
}

// TestFullEndpoint guards against asking an endpoint again and again that refuses for a second while it loads weights: each
// such request spends the budget for repeats.
func TestFullEndpoint(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	list := endpoints(3)
	table := placement.New()
	table.Learn(start, nil, list)
	ask := &placement.Ask{Service: "S", Homes: []string{"e0"}, Tokens: 300, Shared: 250, Gateways: 1, Domain: "d"}
	refused := 0
	for ms := 0; ms < 1500; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		c, refusal := table.Choose(now, ask, list)
		is.True(refusal == nil)
		table.Sent(now, c.Endpoint, ask, 0)
		o := placement.Answered
		if c.Endpoint.ID == "e0" {
			o = placement.Full
			refused++
		}
		table.Ended(now, c.Endpoint, 0, o)
	}
	is.True(refused <= 4) // at 0, 150, 450 and 1,050 ms, of 150 requests
	_, refusal := table.Choose(start.Add(1500*time.Millisecond), ask, list[:1])
	is.True(refusal == nil) // it is asked if there is no other
}

// TestRestartedEndpoint guards against judging an endpoint that started anew by what was known of it before.
func TestRestartedEndpoint(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	list := endpoints(1)
	table := newTable(nil, list, now)
	ask := &placement.Ask{Service: "S", Gateways: 1}
	table.Sent(now, list[0], ask, 0)
	table.Ended(now, list[0], 0, placement.Unreachable)
	again := *list[0]
	again.Born = now
	table.Learn(now, nil, []*site.Endpoint{&again})
	c, refusal := table.Choose(now, ask, []*site.Endpoint{&again})
	is.True(refusal == nil)
	is.Equal(c.Reason, placement.LeastLoad)
}

// TestHopelessWait guards against holding a request that cannot be served in time, instead of saying so at once.
func TestHopelessWait(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	list := endpoints(2)
	table := newTable(nil, list, now)
	for range 30 {
		table.Sent(now, list[0], long(), 17000)
		table.Sent(now, list[1], long(), 17000)
	}
	ask := long()
	ask.Left = 8 * time.Second
	_, refusal := table.Choose(now, ask, list)
	is.True(refusal != nil)
	is.Equal(refusal.Reason, placement.TooLate)
	is.True(refusal.RetryAfter > time.Second) // when places are likely to be free
}

// TestFailingEndpoint guards against an endpoint whose answers fail, while its health is good, that keeps its share of the
// requests.
func TestFailingEndpoint(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	list := endpoints(3)
	table := placement.New()
	table.Learn(now, nil, list)
	ask := &placement.Ask{Service: "S", Gateways: 1, Domain: "d"}
	counts := map[string]int{}
	for n := range 600 {
		c, refusal := table.Choose(now, ask, list)
		is.True(refusal == nil)
		table.Sent(now, c.Endpoint, ask, 0)
		o := placement.Answered
		if c.Endpoint.ID == "e0" && n%2 == 0 {
			o = placement.Erred
		}
		table.Ended(now, c.Endpoint, 0, o)
		counts[c.Endpoint.ID]++
	}
	is.True(counts["e0"] < 60)
}

// TestColdIsToldOn guards against a process that is cut off from the platform's store and floods an endpoint that turned cold
// meanwhile, as another process knows, and against processes that keep an endpoint cold by telling each other.
func TestColdIsToldOn(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	service := &site.Service{Name: "S", ColdRate: 33}
	list := endpoints(1)
	knows, cutOff := newTable(service, list, now), newTable(service, list, now)
	cold := *list[0]
	cold.ColdRemaining = 2 * time.Second
	knows.Learn(now, service, []*site.Endpoint{&cold})
	ask := func() *placement.Ask { return &placement.Ask{Service: "S", Gateways: 2, Domain: "d"} }
	sent, end := 0, now.Add(time.Second)
	for ; now.Before(end); now = now.Add(10 * time.Millisecond) {
		cutOff.PeerLoads(now, "knows", knows.Loads(now, 40))
		knows.PeerLoads(now, "cutOff", cutOff.Loads(now, 40))
		if choice, refusal := cutOff.Choose(now, ask(), list); refusal == nil {
			cutOff.Sent(now, choice.Endpoint, ask(), 0)
			sent++
		}
	}
	is.True(sent > 0 && sent <= 33/2+2) // its half of what the endpoint bears
	now = now.Add(1100 * time.Millisecond)
	for range 5 { // warm again, whatever was told on
		choice, refusal := cutOff.Choose(now, ask(), list)
		is.True(refusal == nil)
		cutOff.Sent(now, choice.Endpoint, ask(), 0)
	}
}
