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

// TestMutePeer guards against a process that waits for a peer which announced a version and stopped answering, while
// another peer has it.
func TestMutePeer(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 2, "A")
		defer s.stop()
		s.accept(1)
		mute := &pipeListener{name: "E1", conns: make(chan net.Conn), done: make(chan struct{})}
		s.listeners[address(1)] = mute
		s.link(func(from, _ string) bool { return from == "Agent" })
		good, agent := s.entry(0), s.agent("Agent", "A")
		accepted, err := mute.Accept()
		is.NoErr(err)
		conn := wire.NewConn(accepted)
		defer conn.Close()
		_, err = conn.Read()
		is.NoErr(err)
		is.NoErr(conn.Write(wire.Hello{Protocol: wire.ProtocolVersion, Name: "E1", ConfigVersion: 1}))
		wanted := make(chan struct{})
		s.wg.Go(func() {
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
		s.reach(1, inForce, good, agent)
		is.NoErr(conn.Write(wire.ConfigPush{Version: 2}))
		<-wanted
		s.reach(s.accept(2), inForce, good, agent)
	})
}

// TestLosses guards against a failure domain that keeps an old version because its watchers are gone or cut off from
// the platform, while other domains have the new one.
func TestLosses(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(s *site, nodes map[string]*node, watchers []settings.Entry)
	}{
		{"both watchers die", func(_ *site, nodes map[string]*node, watchers []settings.Entry) {
			for _, e := range watchers {
				nodes[e.Name].stop()
				delete(nodes, e.Name)
			}
		}},
		{"the domain is cut off from the platform", func(s *site, nodes map[string]*node, _ []settings.Entry) {
			for name, n := range nodes {
				if n.FailureDomain == "A" {
					n.stop()
					nodes[name] = s.start(name, "A", n.Address, unreachable{})
				}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				s := newSite(t, 12, "A", "B", "C")
				defer s.stop()
				s.delay = time.Millisecond
				s.accept(1)
				nodes := map[string]*node{}
				for i, e := range s.deploy.Entries {
					nodes[e.Name] = s.entry(i)
				}
				for i := range 4 {
					name := fmt.Sprint("Agent", i)
					nodes[name] = s.agent(name, "A")
				}
				s.reach(1, time.Minute, values(nodes)...)
				ranked, _ := byDomain(&s.deploy)
				c.lose(s, nodes, watchers(&s.deploy, ranked["A"]))
				s.reach(1, time.Minute, values(nodes)...)
				// Lost peers are noticed, and others found, within the heartbeats.
				time.Sleep(10 * time.Second)
				reads := s.readCount()
				time.Sleep(time.Minute)
				s.reach(s.accept(2), inForce, values(nodes)...)
				if s.readCount() != reads {
					t.Error("the platform was read directly although peers were left")
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
