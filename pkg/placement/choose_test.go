package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
)

// half makes all random draws equal.
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
	t.SetEndpoints(now, service, list)
	return t
}

func longRequest() *placement.Request {
	return &placement.Request{Service: "S", Homes: []string{"e1", "e2"}, Tokens: 17000, Shared: 12800, Gateways: 1, Domain: "d"}
}

// TestReplacedWeights guards against prompts that are prefilled on weights that are about to be replaced, and so once more on the new ones, while
// endpoints with the new weights have time for them, and against the loss of caches that the replaced weights still have.
func TestReplacedWeights(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	list := endpoints(2)
	replaced := func(e *site.Endpoint) bool { return e.ID == "e0" }
	request := func(homes ...string) *placement.Request {
		return &placement.Request{Service: "S", Homes: homes, Tokens: 17000, Shared: 12800, Gateways: 1, Domain: "d", Replaced: replaced}
	}
	table := newTable(nil, list, now)
	table.Sent(now, list[1], request(), 12000)
	c, _ := table.Choose(now, request(), list)
	is.Equal(c.Endpoint.ID, "e1") // a shorter wait than the prefill that would be lost
	table.Sent(now, list[1], request(), 17000)
	c, _ = table.Choose(now, request(), list)
	is.Equal(c.Endpoint.ID, "e0") // a longer one
	c, _ = newTable(nil, list, now).Choose(now, request("e0"), list)
	is.Equal(c.Endpoint.ID, "e0") // little is lost where most is cached
}

// TestHomeAndSpill guards against prompts that are prefilled again elsewhere while a home is idle, and against prompts that
// wait at a home while other endpoints are idle.
func TestHomeAndSpill(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	list := endpoints(4)
	table := newTable(nil, list, now)
	c, refusal := table.Choose(now, longRequest(), list)
	is.True(refusal == nil)
	is.Equal(c.Endpoint.ID, "e1")
	is.Equal(c.Reason, placement.Home)
	for range 3 {
		table.Sent(now, list[1], longRequest(), 17000)
	}
	c, _ = table.Choose(now, longRequest(), list)
	is.Equal(c.Endpoint.ID, "e2") // the second home
	for range 3 {
		table.Sent(now, list[2], longRequest(), 17000)
	}
	c, _ = table.Choose(now, longRequest(), list)
	is.Equal(c.Reason, placement.Spill)
	stored := longRequest()
	stored.Stored, stored.FetchTime = 12800, 30*time.Millisecond
	fresh := newTable(nil, list, now)
	fresh.Sent(now, list[1], stored, 4200)
	c, _ = fresh.Choose(now, stored, list)
	is.True(c.Endpoint.ID != "e1") // fetching the parts elsewhere takes less time than waiting at the home
}

// TestPeerLoads guards against gateways that all choose the endpoint at which the long prompts of another gateway wait.
func TestPeerLoads(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	list := endpoints(4)
	table := newTable(nil, list, now)
	table.SetPeerLoads(now, "other", []placement.Load{{Endpoint: "e1", InFlight: 3, Pending: 50000}, {Endpoint: "e2", InFlight: 3, Pending: 50000}})
	c, _ := table.Choose(now, longRequest(), list)
	is.Equal(c.Reason, placement.Spill)
	c, _ = table.Choose(now.Add(2*time.Second), longRequest(), list)
	is.Equal(c.Endpoint.ID, "e1") // a report that is too old is ignored
}

// TestSuspectEndpoint guards against sending requests to an endpoint that fails, and against never probing it again.
func TestSuspectEndpoint(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	list := endpoints(2)
	table := newTable(nil, list, now)
	req := &placement.Request{Service: "S", Gateways: 1, Domain: "d"}
	table.Sent(now, list[0], req, 0)
	suspect, _ := table.Ended(now, list[0], &placement.Request{}, 0, placement.Unreachable)
	is.True(suspect)
	for range 20 {
		c, _ := table.Choose(now.Add(100*time.Millisecond), req, list)
		is.Equal(c.Endpoint.ID, "e1")
	}
	_, refusal := table.Choose(now.Add(100*time.Millisecond), req, list[:1])
	is.Equal(refusal.Reason, placement.NoEndpoint)
	is.True(refusal.RetryAfter > 0)
	later := now.Add(time.Second)
	c, refusal := table.Choose(later, req, list[:1])
	is.True(refusal == nil)
	is.Equal(c.Reason, placement.Probe)
	table.Sent(later, list[0], req, 0)
	_, refusal = table.Choose(later, req, list[:1])
	is.True(refusal != nil) // one probe at a time
	_, trusted := table.Ended(later, list[0], &placement.Request{}, 0, placement.Answered)
	is.True(trusted)
	c, _ = table.Choose(later, req, list[:1])
	is.Equal(c.Reason, placement.LeastLoad)
}

// TestSingleBrokenConnection guards against taking an endpoint out of use after one broken connection, which may be due to the
// network path.
func TestSingleBrokenConnection(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	list := endpoints(1)
	table := newTable(nil, list, now)
	req := &placement.Request{Service: "S", Gateways: 1}
	table.Sent(now, list[0], req, 0)
	suspect, _ := table.Ended(now, list[0], &placement.Request{}, 0, placement.Broken)
	is.True(!suspect)
	table.Sent(now, list[0], req, 0)
	suspect, _ = table.Ended(now, list[0], &placement.Request{}, 0, placement.Broken)
	is.True(suspect)
}

// TestColdEndpoints guards against a cold endpoint that gets more requests from all gateways together than its cold rate, also when
// no other endpoint is left.
func TestColdEndpoints(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	list := endpoints(1)
	list[0].ColdRemaining = 3 * time.Second
	table := newTable(&site.Service{Name: "S", ColdRate: 33}, list, now)
	req := &placement.Request{Service: "S", Gateways: 5}
	sent := 0
	for ms := range 1000 {
		when := now.Add(time.Duration(ms) * time.Millisecond)
		if _, refusal := table.Choose(when, req, list); refusal == nil {
			table.Sent(when, list[0], req, 0)
			table.Ended(when, list[0], &placement.Request{}, 0, placement.Answered)
			sent++
		} else {
			is.Equal(refusal.Reason, placement.AllCold)
		}
	}
	is.True(sent <= 8) // a fifth of 33, plus one
	is.True(sent >= 6)
	_, refusal := table.Choose(now.Add(4*time.Second), req, list)
	is.True(refusal == nil)
}

// TestFullEndpoint guards against repeated attempts at an endpoint that refuses requests for a second while it loads weights: each
// refused attempt uses up retry budget.
func TestFullEndpoint(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	list := endpoints(3)
	table := placement.New()
	table.SetEndpoints(start, nil, list)
	req := &placement.Request{Service: "S", Homes: []string{"e0"}, Tokens: 300, Shared: 250, Gateways: 1, Domain: "d"}
	refused := 0
	for ms := 0; ms < 1500; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		c, refusal := table.Choose(now, req, list)
		is.True(refusal == nil)
		table.Sent(now, c.Endpoint, req, 0)
		o := placement.Answered
		if c.Endpoint.ID == "e0" {
			o = placement.Full
			refused++
		}
		table.Ended(now, c.Endpoint, &placement.Request{}, 0, o)
	}
	is.True(refused <= 4) // attempts at 0, 150, 450 and 1,050 ms, of 150 requests
	_, refusal := table.Choose(start.Add(1500*time.Millisecond), req, list[:1])
	is.True(refusal == nil) // it is used if there is no other
}

// TestRestartedEndpoint guards against judging a restarted endpoint by failures from before its restart.
func TestRestartedEndpoint(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	list := endpoints(1)
	table := newTable(nil, list, now)
	req := &placement.Request{Service: "S", Gateways: 1}
	table.Sent(now, list[0], req, 0)
	table.Ended(now, list[0], &placement.Request{}, 0, placement.Unreachable)
	restarted := *list[0]
	restarted.StartedAt = now
	table.SetEndpoints(now, nil, []*site.Endpoint{&restarted})
	c, refusal := table.Choose(now, req, []*site.Endpoint{&restarted})
	is.True(refusal == nil)
	is.Equal(c.Reason, placement.LeastLoad)
}

// TestRefusalWhenTooLate guards against queueing a request that cannot be served in time instead of refusing it at once.
func TestRefusalWhenTooLate(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	list := endpoints(2)
	table := newTable(nil, list, now)
	for range 30 {
		table.Sent(now, list[0], longRequest(), 17000)
		table.Sent(now, list[1], longRequest(), 17000)
	}
	req := longRequest()
	req.Remaining = 8 * time.Second
	_, refusal := table.Choose(now, req, list)
	is.True(refusal != nil)
	is.Equal(refusal.Reason, placement.TooLate)
	is.True(refusal.RetryAfter > time.Second) // when capacity is likely to be free
}

// TestFailingEndpoint guards against an endpoint that reports good health but fails requests, and still gets its full share of them.
func TestFailingEndpoint(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	list := endpoints(3)
	table := placement.New()
	table.SetEndpoints(now, nil, list)
	req := &placement.Request{Service: "S", Gateways: 1, Domain: "d"}
	counts := map[string]int{}
	for n := range 600 {
		c, refusal := table.Choose(now, req, list)
		is.True(refusal == nil)
		table.Sent(now, c.Endpoint, req, 0)
		o := placement.Answered
		if c.Endpoint.ID == "e0" && n%2 == 0 {
			o = placement.Failed
		}
		table.Ended(now, c.Endpoint, &placement.Request{}, 0, o)
		counts[c.Endpoint.ID]++
	}
	is.True(counts["e0"] < 60)
}

// TestColdReportedByPeer guards against a gateway that is cut off from the platform's store and overloads an endpoint that has turned
// cold in the meantime, although a peer reports it. It also guards against gateways that prolong the cold phase by reporting to each
// other what they learnt from each other.
func TestColdReportedByPeer(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	service := &site.Service{Name: "S", ColdRate: 33}
	list := endpoints(1)
	informed, cutOff := newTable(service, list, now), newTable(service, list, now)
	cold := *list[0]
	cold.ColdRemaining = 2 * time.Second
	informed.SetEndpoints(now, service, []*site.Endpoint{&cold})
	req := func() *placement.Request { return &placement.Request{Service: "S", Gateways: 2, Domain: "d"} }
	sent, end := 0, now.Add(time.Second)
	for ; now.Before(end); now = now.Add(10 * time.Millisecond) {
		cutOff.SetPeerLoads(now, "informed", informed.Loads(now, 40))
		informed.SetPeerLoads(now, "cutOff", cutOff.Loads(now, 40))
		if choice, refusal := cutOff.Choose(now, req(), list); refusal == nil {
			cutOff.Sent(now, choice.Endpoint, req(), 0)
			sent++
		}
	}
	is.True(sent > 0 && sent <= 33/2+2) // its half of the cold rate
	now = now.Add(1100 * time.Millisecond)
	for range 5 { // warm again, whatever the peers reported
		choice, refusal := cutOff.Choose(now, req(), list)
		is.True(refusal == nil)
		cutOff.Sent(now, choice.Endpoint, req(), 0)
	}
}
