package config

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/standin/fault"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// inForce is the time within which a change must be in force everywhere.
const inForce = 3 * time.Second

// TestChain guards against spread that is too slow over many relays: 20 entries, each of which reaches only the one
// before it, with links of 20 ms.
func TestChain(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		const length = 20
		s := newSite(t, length, "A")
		defer s.stop()
		s.deploy.Limits.WatchersPerDomain = 1
		ranked := rank("A", s.deploy.Entries)
		s.link(func(from, to string) bool { return position(ranked, from) == position(ranked, to)+1 })
		s.delay = 20 * time.Millisecond
		s.accept(1)
		var nodes []*node
		for i := range length {
			nodes = append(nodes, s.entry(i))
		}
		s.reach(1, time.Minute, nodes...)
		time.Sleep(time.Minute)
		took := s.reach(s.accept(2), inForce, nodes...)
		t.Logf("time to force over %d relays of 20 ms: %v", length-1, took)
		is.True(took >= (length-1)*s.delay) // the version came over the chain and not from the platform
		is.Equal(nodes[0].Current().Deployment.Policy.LinkWeight, 2.0)
	})
}

// TestPlatformLoad guards against direct reads and watches by processes that have peers.
func TestPlatformLoad(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 12, "A", "B")
		defer s.stop()
		s.accept(1)
		var nodes []*node
		for i := range 12 {
			nodes = append(nodes, s.entry(i))
		}
		for i := range 20 {
			nodes = append(nodes, s.agent(fmt.Sprint("Agent", i), "A"))
		}
		s.reach(1, time.Minute, nodes...)
		time.Sleep(time.Minute)
		before := s.readCount()
		for i := range 5 {
			s.reach(s.accept(float64(i)), inForce, nodes...)
			time.Sleep(time.Minute)
		}
		is.Equal(s.readCount(), before)
	})
}

// TestNeverReverts guards against a lower version in force, whoever brings it. Every node of every test also checks
// its own history.
func TestNeverReverts(t *testing.T) {
	for name, revert := range map[string]func(s *site, n *node, stale wire.ConfigPush){
		"stale push": func(_ *site, n *node, stale wire.ConfigPush) {
			accepted, err := n.Offer(stale)
			if accepted || err != nil {
				t.Errorf("stale push: accepted %v, error %v", accepted, err)
			}
		},
		"push from the command line": func(s *site, n *node, stale wire.ConfigPush) { s.push(n.Address, stale) },
		"same version again": func(_ *site, n *node, stale wire.ConfigPush) {
			stale.Version = n.Version()
			if accepted, _ := n.Offer(stale); accepted {
				t.Error("other content of the same version was accepted")
			}
		},
		"watch gap": func(s *site, _ *node, _ wire.ConfigPush) {
			s.fake.Faults.Set(fault.Rule{Kind: fault.WatchGap, Route: "/watch", Count: 3})
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, 2, "A")
				defer s.stop()
				s.accept(1)
				nodes := []*node{s.entry(0), s.entry(1)}
				s.reach(1, inForce, nodes...)
				stale := nodes[0].Push()
				s.reach(s.accept(2), inForce, nodes...)
				revert(s, nodes[0], stale)
				time.Sleep(20 * time.Second)
				is.Equal(nodes[0].Current().Deployment.Policy.LinkWeight, 2.0)
				s.reach(s.accept(3), inForce, nodes...)
			})
		})
	}
}

// TestWatchGap guards against a change that is lost with the events of a watch.
func TestWatchGap(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, 1, "A")
		defer s.stop()
		s.fake.Store.Window = 2
		s.accept(1)
		n := s.entry(0)
		s.reach(1, inForce, n)
		synctest.Wait()
		s.fake.Faults.Set(fault.Rule{Kind: fault.Outage, Route: "/watch"})
		time.Sleep(time.Minute)
		var version uint64
		for i := range 5 {
			version = s.accept(float64(i))
		}
		s.fake.Faults.ClearAll()
		s.reach(version, inForce, n)
	})
}

// TestRestartInOutage guards against a restarted process that starts with what a single stale peer says.
func TestRestartInOutage(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 3, "A")
		defer s.stop()
		s.accept(1)
		stale, current, restarted := s.start("E0", "A", address(0), unreachable{}), s.entry(1), s.entry(2)
		s.reach(1, time.Minute, stale, current, restarted)
		s.link(func(from, to string) bool { return from != "E0" && to != "E0" })
		version := s.accept(2)
		s.reach(version, inForce, current, restarted)
		s.fake.Faults.Set(fault.Rule{Kind: fault.Outage})
		restarted.stop()
		s.link(func(from, to string) bool { return from == "E2" && to == "E0" })
		restarted = s.entry(2)
		time.Sleep(time.Minute)
		is.Equal(stale.Version(), uint64(1))
		is.Equal(restarted.Current(), nil)
		is.Equal(restarted.Push().Version, uint64(0))
		s.link(func(from, _ string) bool { return from == "E2" })
		s.reach(version, time.Minute, restarted, stale)
	})
}

// unreachable is a platform that one process cannot reach.
type unreachable struct{}

func (unreachable) Get(context.Context, string, string) (platform.Object, error) {
	return platform.Object{}, platform.ErrUnavailable
}

func (unreachable) Watch(context.Context, string, uint64, time.Duration) ([]platform.Event, uint64, error) {
	return nil, 0, platform.ErrUnavailable
}

// TestNoPeersInOutage guards against a process that starts with nothing to go by.
func TestNoPeersInOutage(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 3, "A")
		defer s.stop()
		version := s.accept(1)
		s.fake.Faults.Set(fault.Rule{Kind: fault.Outage})
		nodes := []*node{s.entry(0), s.entry(1), s.entry(2)}
		time.Sleep(10 * time.Minute)
		for _, n := range nodes {
			is.Equal(n.Current(), nil) // three processes that start do not answer each other
		}
		s.fake.Faults.ClearAll()
		s.reach(version, maxBackoff+inForce, nodes...)
	})
}

// TestPushInOutage guards against an accepted version that stays hidden because the platform went down straight after
// it: the command line pushes it to one entry.
func TestPushInOutage(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, 12, "A", "B", "C", "D")
		defer s.stop()
		s.delay = 10 * time.Millisecond
		s.accept(1)
		var nodes []*node
		for i := range 12 {
			nodes = append(nodes, s.entry(i))
		}
		for _, domain := range []string{"A", "B", "C", "D"} {
			nodes = append(nodes, s.agent("Agent"+domain, domain))
		}
		s.reach(1, inForce, nodes...)
		time.Sleep(10 * time.Second)
		s.fake.Faults.Set(fault.Rule{Kind: fault.Outage})
		version := s.accept(2)
		obj, _ := s.fake.Store.Get(Kind, Name)
		began := time.Now()
		s.push(address(7), wire.ConfigPush{Version: version, Content: obj.Value})
		s.reach(version, inForce, nodes...)
		t.Logf("time to force after a push to one entry over links of 10 ms: %v", time.Since(began))
	})
}

// TestInvalid guards against content that replaces a good configuration or stops its successor.
func TestInvalid(t *testing.T) {
	for name, content := range map[string][]byte{
		"no JSON": []byte("{"), "empty": nil, "no deployment": []byte("{}"), "no site": []byte(`{"Deployment":{}}`), "too large": make([]byte, 1<<20+1),
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, 2, "A")
				defer s.stop()
				s.accept(1)
				n, other := s.entry(0), s.entry(1)
				s.reach(1, inForce, n, other)
				if len(content) > 1<<20 {
					_, err := n.Offer(wire.ConfigPush{Version: 9, Content: content})
					is.True(err != nil)
				} else {
					s.store(content)
				}
				time.Sleep(10 * time.Second)
				is.Equal(n.Version(), uint64(1))
				s.reach(s.accept(2), inForce, n, other)
			})
		})
	}
}

// TestBackoff guards against a process that calls a platform over its rate limit without pause, and against direct
// reads beyond their budget.
func TestBackoff(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 1, "A")
		defer s.stop()
		version := s.accept(1)
		limited := s.fake.Faults.Set(fault.Rule{Kind: fault.RateLimit})
		n := s.start("Agent", "A", address(9), s)
		n.IsEntry = false
		time.Sleep(time.Minute)
		t.Logf("reads in a minute over the rate limit: %d", s.readCount())
		is.True(s.readCount() <= 20)
		s.fake.Faults.Clear(limited)
		s.reach(version, maxBackoff, n)
		before := s.readCount()
		time.Sleep(time.Minute)
		t.Logf("direct reads in a minute without peers: %d", s.readCount()-before)
		is.True(s.readCount()-before <= int(time.Minute/(directInterval*3/4))+1)
		s.reach(s.accept(2), silence+directJitter+directInterval*5/4, n)
	})
}

// TestRank guards against an order that depends on other names, and a domain with too few or too many watchers.
func TestRank(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 40, "A", "B", "C", "D")
	count := 0
	for _, e := range s.deploy.Entries {
		if watches(&s.deploy, e.Name, e.FailureDomain) {
			count++
		}
		is.True(len(parents(&s.deploy, e.Name, e.FailureDomain)) >= subscriptions)
	}
	is.Equal(count, 4*DefaultWatchersPerDomain)
	all := rank("A", s.deploy.Entries)
	fewer := rank("A", append(append([]settings.Entry{}, s.deploy.Entries[:5]...), s.deploy.Entries[6:]...))
	for i, e := range fewer {
		is.Equal(position(all, e.Name) >= i, true)
		if i > 0 {
			is.True(position(all, e.Name) > position(all, fewer[i-1].Name))
		}
	}
}
