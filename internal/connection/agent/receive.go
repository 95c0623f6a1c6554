package agent

import (
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/wire"
)

// receive delivers a message to its stream, if it has one, and passes on load states, configurations and crash marks.
func (c *conn) receive(m wire.Message) {
	p, name := c.peer.pool, c.peer.target.Name
	switch m := m.(type) {
	case wire.Accepted:
		c.recordLoad(m.Load)
		c.deliver(m.Stream, m)
	case wire.Refused:
		c.recordLoad(m.Load)
		c.deliver(m.Stream, m)
	case wire.Tokens:
		c.deliver(m.Stream, m)
	case wire.End:
		c.recordLoad(m.Load)
		c.deliver(m.Stream, m)
	case wire.Reply:
		c.deliver(m.Stream, m)
	case wire.Load:
		c.recordLoad(m.Load)
	case wire.Ping:
		c.trySend(wire.Load{Stream: m.Stream})
	case wire.ConfigPush:
		if _, err := p.Config.Offer(m); err != nil {
			event.Error(p.Log, err, event.AgentPushRejected, "endpoint", name, "version", m.Version)
			return
		}
		c.reconcileVersion(m.Version)
	case wire.ConfigWant:
		if own := p.Config.Push(); own.Version > m.Version {
			c.trySend(own)
		}
	case wire.Mark:
		if p.Marks != nil {
			p.Marks.Add(m, time.Now())
		}
	case wire.Goodbye:
		c.mu.Lock()
		first := !c.draining
		c.draining = true
		c.mu.Unlock()
		if first {
			close(c.goodbyeReceived)
		}
	default:
		p.outOfTurnMessages.Inc(1)
	}
}

// recordLoad reports the load state of the peer and reconciles the configuration version in it.
func (c *conn) recordLoad(load wire.LoadState) {
	c.peer.pool.reportLoad(c.peer.target.Name, load)
	if load.ConfigVersion > 0 {
		c.reconcileVersion(load.ConfigVersion)
	}
}

// reconcileVersion compares the configuration version of the peer with the local one. If the peer's is lower, the local
// version is announced without content, and the peer requests the content on one of its connections. If it is higher,
// its content is requested unless StartFetch returns false, as it does when another connection has requested it.
func (c *conn) reconcileVersion(peerVersion uint64) {
	config := c.peer.pool.Config
	own := config.Version()
	if own < peerVersion && config.StartFetch(peerVersion) {
		c.trySend(wire.ConfigWant{Version: own})
	}
	c.mu.Lock()
	announce := own > peerVersion && own > c.announcedVersion
	if announce {
		c.announcedVersion = own
	}
	c.mu.Unlock()
	if announce {
		c.trySend(wire.ConfigPush{Version: own, ConfirmedAgo: config.Push().ConfirmedAgo})
	}
}

func (c *conn) deliver(id uint64, m wire.Message) {
	c.mu.Lock()
	s := c.streams[id]
	c.mu.Unlock()
	if s == nil {
		c.peer.pool.lateMessages.Inc(1)
		return
	}
	s.push(m)
}
