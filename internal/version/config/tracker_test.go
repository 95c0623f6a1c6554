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

// propagationLimit is the time within which a change must be in force in every process.
const propagationLimit = 3 * time.Second

// TestRelayChain guards against slow propagation over many relays. Each of 20 entries can connect only to the entry that
// precedes it, over a link with a delay of 20 ms.
func TestRelayChain(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		const length = 20
		f := newFixture(t, length, "A")
		defer f.stop()
		f.deployment.Limits.WatchersPerDomain = 1
		ranked := rank("A", f.deployment.Entries)
		f.setLinked(func(from, to string) bool { return indexOf(ranked, from) == indexOf(ranked, to)+1 })
		f.delay = 20 * time.Millisecond
		f.publish(1)
		var nodes []*node
		for i := range length {
			nodes = append(nodes, f.startEntry(i))
		}
		f.waitForVersion(1, time.Minute, nodes...)
		time.Sleep(time.Minute)
		elapsed := f.waitForVersion(f.publish(2), propagationLimit, nodes...)
		t.Logf("propagation time over %d relays of 20 ms: %v", length-1, elapsed)
		is.True(elapsed >= (length-1)*f.delay) // the version came over the relays and not from the platform
		is.Equal(nodes[0].Current().Deployment.Policy.LinkWeight, 2.0)
	})
}

// TestPlatformLoad guards against reads of the platform by processes that receive changes from a watch or from peers.
func TestPlatformLoad(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 12, "A", "B")
		defer f.stop()
		f.publish(1)
		var nodes []*node
		for i := range 12 {
			nodes = append(nodes, f.startEntry(i))
		}
		for i := range 20 {
			nodes = append(nodes, f.startAgent(fmt.Sprint("Agent", i), "A"))
		}
		f.waitForVersion(1, time.Minute, nodes...)
		time.Sleep(time.Minute)
		before := f.readCount()
		for i := range 5 {
			f.waitForVersion(f.publish(float64(i)), propagationLimit, nodes...)
			time.Sleep(time.Minute)
		}
		is.Equal(f.readCount(), before)
	})
}

// TestNeverReverts guards against a stale version, or other content of the same version, replacing the one in force. In
// every test checkMonotonic also checks the versions of each node.
func TestNeverReverts(t *testing.T) {
	for name, revert := range map[string]func(f *fixture, n *node, stale wire.ConfigPush){
		"stale push": func(_ *fixture, n *node, stale wire.ConfigPush) {
			accepted, err := n.Offer(stale)
			if accepted || err != nil {
				t.Errorf("stale push: accepted %v, error %v", accepted, err)
			}
		},
		"push from the command line": func(f *fixture, n *node, stale wire.ConfigPush) { f.pushTo(n.Address, stale) },
		"same version again": func(_ *fixture, n *node, stale wire.ConfigPush) {
			stale.Version = n.Version()
			if accepted, _ := n.Offer(stale); accepted {
				t.Error("other content of the same version was accepted")
			}
		},
		"watch gap": func(f *fixture, _ *node, _ wire.ConfigPush) {
			f.fake.Faults.Set(fault.Rule{Kind: fault.WatchGap, Route: "/watch", Count: 3})
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, 2, "A")
				defer f.stop()
				f.publish(1)
				nodes := []*node{f.startEntry(0), f.startEntry(1)}
				f.waitForVersion(1, propagationLimit, nodes...)
				stale := nodes[0].Push()
				f.waitForVersion(f.publish(2), propagationLimit, nodes...)
				revert(f, nodes[0], stale)
				time.Sleep(20 * time.Second)
				is.Equal(nodes[0].Current().Deployment.Policy.LinkWeight, 2.0)
				f.waitForVersion(f.publish(3), propagationLimit, nodes...)
			})
		})
	}
}

// TestWatchGap guards against a change that is lost because its event is no longer in the history of the watch.
func TestWatchGap(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		f := newFixture(t, 1, "A")
		defer f.stop()
		f.fake.Store.Window = 2
		f.publish(1)
		n := f.startEntry(0)
		f.waitForVersion(1, propagationLimit, n)
		synctest.Wait()
		f.fake.Faults.Set(fault.Rule{Kind: fault.Outage, Route: "/watch"})
		time.Sleep(time.Minute)
		var version uint64
		for i := range 5 {
			version = f.publish(float64(i))
		}
		f.fake.Faults.ClearAll()
		f.waitForVersion(version, propagationLimit, n)
	})
}

// TestRestartInOutage guards against a process that restarts during a platform outage and accepts the configuration of a
// single stale peer.
func TestRestartInOutage(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 3, "A")
		defer f.stop()
		f.publish(1)
		stale, current, restarted := f.start("E0", "A", address(0), unreachable{}), f.startEntry(1), f.startEntry(2)
		f.waitForVersion(1, time.Minute, stale, current, restarted)
		f.setLinked(func(from, to string) bool { return from != "E0" && to != "E0" })
		version := f.publish(2)
		f.waitForVersion(version, propagationLimit, current, restarted)
		f.fake.Faults.Set(fault.Rule{Kind: fault.Outage})
		restarted.stop()
		f.setLinked(func(from, to string) bool { return from == "E2" && to == "E0" })
		restarted = f.startEntry(2)
		time.Sleep(time.Minute)
		is.Equal(stale.Version(), uint64(1))
		is.Equal(restarted.Current(), nil)
		is.Equal(restarted.Push().Version, uint64(0))
		f.setLinked(func(from, _ string) bool { return from == "E2" })
		f.waitForVersion(version, time.Minute, restarted, stale)
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

// TestNoPeersInOutage guards against a process that becomes ready although neither the platform nor any peer has provided
// a configuration.
func TestNoPeersInOutage(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 3, "A")
		defer f.stop()
		version := f.publish(1)
		f.fake.Faults.Set(fault.Rule{Kind: fault.Outage})
		nodes := []*node{f.startEntry(0), f.startEntry(1), f.startEntry(2)}
		time.Sleep(10 * time.Minute)
		for _, n := range nodes {
			is.Equal(n.Current(), nil) // peers that are starting have no version to report
		}
		f.fake.Faults.ClearAll()
		f.waitForVersion(version, maxBackoff+propagationLimit, nodes...)
	})
}

// TestPushInOutage guards against a version that does not propagate because the platform fails right after storing it.
// The version must reach all processes after the command line has pushed it to one entry.
func TestPushInOutage(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		f := newFixture(t, 12, "A", "B", "C", "D")
		defer f.stop()
		f.delay = 10 * time.Millisecond
		f.publish(1)
		var nodes []*node
		for i := range 12 {
			nodes = append(nodes, f.startEntry(i))
		}
		for _, domain := range []string{"A", "B", "C", "D"} {
			nodes = append(nodes, f.startAgent("Agent"+domain, domain))
		}
		f.waitForVersion(1, propagationLimit, nodes...)
		time.Sleep(10 * time.Second)
		f.fake.Faults.Set(fault.Rule{Kind: fault.Outage})
		version := f.publish(2)
		obj, _ := f.fake.Store.Get(ObjectKind, ObjectName)
		start := time.Now()
		f.pushTo(address(7), wire.ConfigPush{Version: version, Content: obj.Value})
		f.waitForVersion(version, propagationLimit, nodes...)
		t.Logf("propagation time after a push to one entry over links of 10 ms: %v", time.Since(start))
	})
}

// TestInvalidContent guards against invalid content that replaces a valid configuration or blocks the next valid one.
func TestInvalidContent(t *testing.T) {
	for name, content := range map[string][]byte{
		"malformed JSON": []byte("{"), "empty": nil, "no deployment": []byte("{}"), "no site": []byte(`{"Deployment":{}}`), "too large": make([]byte, 1<<20+1),
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, 2, "A")
				defer f.stop()
				f.publish(1)
				n, other := f.startEntry(0), f.startEntry(1)
				f.waitForVersion(1, propagationLimit, n, other)
				if len(content) > 1<<20 {
					_, err := n.Offer(wire.ConfigPush{Version: 9, Content: content})
					is.True(err != nil)
				} else {
					f.storeContent(content)
				}
				time.Sleep(10 * time.Second)
				is.Equal(n.Version(), uint64(1))
				f.waitForVersion(f.publish(2), propagationLimit, n, other)
			})
		})
	}
}

// TestBackoff guards against a process that retries without back-off while the platform limits its rate, and against
// direct reads that are more frequent than scheduled.
func TestBackoff(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1, "A")
		defer f.stop()
		version := f.publish(1)
		limited := f.fake.Faults.Set(fault.Rule{Kind: fault.RateLimit})
		n := f.start("Agent", "A", address(9), f)
		n.IsEntry = false
		time.Sleep(time.Minute)
		t.Logf("reads in a minute while rate-limited: %d", f.readCount())
		is.True(f.readCount() <= 20)
		f.fake.Faults.Clear(limited)
		f.waitForVersion(version, maxBackoff, n)
		before := f.readCount()
		time.Sleep(time.Minute)
		t.Logf("direct reads in a minute without peers: %d", f.readCount()-before)
		is.True(f.readCount()-before <= int(time.Minute/(directReadInterval*3/4))+1)
		f.waitForVersion(f.publish(2), heartbeatTimeout+directReadJitter+directReadInterval*5/4, n)
	})
}

// TestRank guards against a relative order of two entries that depends on the others, against a wrong total number of
// watchers, and against entries with too few upstreams.
func TestRank(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 40, "A", "B", "C", "D")
	count := 0
	for _, e := range f.deployment.Entries {
		if isWatcher(&f.deployment, e.Name, e.FailureDomain) {
			count++
		}
		is.True(len(upstreams(&f.deployment, e.Name, e.FailureDomain)) >= subscriptions)
	}
	is.Equal(count, 4*DefaultWatchersPerDomain)
	all := rank("A", f.deployment.Entries)
	fewer := rank("A", append(append([]settings.Entry{}, f.deployment.Entries[:5]...), f.deployment.Entries[6:]...))
	for i, e := range fewer {
		is.Equal(indexOf(all, e.Name) >= i, true)
		if i > 0 {
			is.True(indexOf(all, e.Name) > indexOf(all, fewer[i-1].Name))
		}
	}
}
