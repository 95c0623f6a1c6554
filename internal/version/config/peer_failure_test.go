package config

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// TestUnresponsivePeer guards against a process that keeps waiting for a peer that announced a version and then stopped
// responding, while another peer has that version.
func TestUnresponsivePeer(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 2, "A")
		defer f.stop()
		f.publish(1)
		unresponsive := &pipeListener{name: "E1", conns: make(chan net.Conn), done: make(chan struct{})}
		f.listeners[address(1)] = unresponsive
		f.setLinked(func(from, _ string) bool { return from == "Agent" })
		good, agent := f.startEntry(0), f.startAgent("Agent", "A")
		accepted, err := unresponsive.Accept()
		is.NoErr(err)
		conn := wire.NewConn(accepted)
		defer conn.Close()
		_, err = conn.Read()
		is.NoErr(err)
		is.NoErr(conn.Write(wire.Hello{Protocol: wire.ProtocolVersion, Name: "E1", ConfigVersion: 1}))
		wanted := make(chan struct{})
		f.wg.Go(func() {
			for {
				m, err := conn.Read()
				if err != nil {
					return
				}
				if want, ok := m.(wire.ConfigWant); ok && want.Version == 1 {
					close(wanted)
				}
			}
		})
		f.waitForVersion(1, propagationLimit, good, agent)
		is.NoErr(conn.Write(wire.ConfigPush{Version: 2}))
		<-wanted
		f.waitForVersion(f.publish(2), propagationLimit, good, agent)
	})
}

// TestWatcherLoss guards against a failure domain that stays at an old version because its watchers have stopped or
// cannot reach the platform, while other domains have the new version.
func TestWatcherLoss(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(f *fixture, nodes map[string]*node, watchers []settings.Entry)
	}{
		{"both watchers stop", func(_ *fixture, nodes map[string]*node, watchers []settings.Entry) {
			for _, e := range watchers {
				nodes[e.Name].stop()
				delete(nodes, e.Name)
			}
		}},
		{"the domain cannot reach the platform", func(f *fixture, nodes map[string]*node, _ []settings.Entry) {
			for name, n := range nodes {
				if n.FailureDomain == "A" {
					n.stop()
					nodes[name] = f.start(name, "A", n.Address, unreachable{})
				}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				f := newFixture(t, 12, "A", "B", "C")
				defer f.stop()
				f.delay = time.Millisecond
				f.publish(1)
				nodes := map[string]*node{}
				for i, e := range f.deployment.Entries {
					nodes[e.Name] = f.startEntry(i)
				}
				for i := range 4 {
					name := fmt.Sprint("Agent", i)
					nodes[name] = f.startAgent(name, "A")
				}
				f.waitForVersion(1, time.Minute, values(nodes)...)
				ranked, _ := byDomain(&f.deployment)
				c.fail(f, nodes, domainWatchers(&f.deployment, ranked["A"]))
				f.waitForVersion(1, time.Minute, values(nodes)...)
				// 10 s are enough for processes to detect lost peers by missing heartbeats and to connect to others.
				time.Sleep(10 * time.Second)
				reads := f.readCount()
				time.Sleep(time.Minute)
				f.waitForVersion(f.publish(2), propagationLimit, values(nodes)...)
				if f.readCount() != reads {
					t.Error("the platform was read directly although peers were available")
				}
			})
		})
	}
}

func values(nodes map[string]*node) (all []*node) {
	for _, n := range nodes {
		all = append(all, n)
	}
	return all
}
