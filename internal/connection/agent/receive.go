package agent

import (
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/wire"
)

// receive passes a message to its stream, and what it tells of the peer to the pool.
func (c *conn) receive(m wire.Message) {
	p, name := c.peer.pool, c.peer.target.Name
	switch m := m.(type) {
	case wire.Accepted:
		c.load(m.Load)
		c.deliver(m.Stream, m)
	case wire.Refused:
		c.load(m.Load)
		c.deliver(m.Stream, m)
	case wire.Tokens:
		c.deliver(m.Stream, m)
	case wire.End:
		c.load(m.Load)
		c.deliver(m.Stream, m)
	case wire.Reply:
		c.deliver(m.Stream, m)
	case wire.Load:
		c.load(m.Load)
	case wire.Ping:
		c.send(wire.Load{Stream: m.Stream})
	case wire.ConfigPush:
		if _, err := p.Config.Offer(m); err != nil {
			event.Error(p.Log, err, event.AgentPushRejected, "endpoint", name, "version", m.Version)
			return
		}
		c.settle(m.Version)
	case wire.ConfigWant:
		if own := p.Config.Push(); own.Version > m.Version {
			c.send(own)
		}
	case wire.Mark:
		if p.Marks != nil {
			p.Marks.Add(m, time.Now())
		}
	case wire.Goodbye:
		c.mu.Lock()
		first := !c.goodbye
		c.goodbye = true
		c.mu.Unlock()
		if first {
			close(c.leaving)
		}
	default:
		p.outOfTurn.Inc(1)
	}
}

func (c *conn) load(load wire.LoadState) {
	c.peer.pool.report(c.peer.target.Name, load)
	if load.ConfigVersion > 0 {
		c.settle(load.ConfigVersion)
	}
}

// settle brings the side with the lower configuration version up: the peer is told of a higher version, for it to ask on one
// of its connections, and a higher version of the peer is asked for unless that happened on another connection.
func (c *conn) settle(theirs uint64) {
	config := c.peer.pool.Config
	own := config.Version()
	if own < theirs && config.Wants(theirs) {
		c.send(wire.ConfigWant{Version: own})
	}
	c.mu.Lock()
	announce := own > theirs && own > c.announced
	if announce {
		c.announced = own
	}
	c.mu.Unlock()
	if announce {
		c.send(wire.ConfigPush{Version: own, ConfirmedAgo: config.Push().ConfirmedAgo})
	}
}

func (c *conn) deliver(id uint64, m wire.Message) {
	c.mu.Lock()
	s := c.streams[id]
	c.mu.Unlock()
	if s == nil {
		c.peer.pool.late.Inc(1)
		return
	}
	s.push(m)
}
