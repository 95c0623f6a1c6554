package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/wire"
)

// peer is what the pool keeps of an agent: its connection, a dial under way, or the probe of an agent that is down.
type peer struct {
	pool   *Pool
	target Target
	// forgotten ends the probe.
	forgotten context.CancelFunc
	ctx       context.Context

	mu      sync.Mutex
	conn    *conn
	dialing *attempt
	down    bool
}

// attempt is a dial that several requests wait for.
type attempt struct {
	done chan struct{}
	conn *conn
	err  error
}

func newPeer(p *Pool, to Target) *peer {
	got := &peer{pool: p, target: to}
	got.ctx, got.forgotten = context.WithCancel(p.ctx)
	return got
}

func (p *peer) forget() { p.forgotten() }

// connect returns the open connection or dials one. All errors mean that nothing was sent.
func (p *peer) connect(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	if p.conn != nil && p.conn.usable() {
		defer p.mu.Unlock()
		return p.conn, nil
	}
	if p.down {
		p.mu.Unlock()
		return nil, ErrDown
	}
	a := p.dialing
	if a == nil {
		a = &attempt{done: make(chan struct{})}
		if !p.pool.start(func() { p.dial(a) }) {
			p.mu.Unlock()
			return nil, ErrClosed
		}
		p.dialing = a
	}
	p.mu.Unlock()
	select {
	case <-a.done:
		return a.conn, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial serves an attempt. It does not end with the request that began it, since others may wait for it.
func (p *peer) dial(a *attempt) {
	defer close(a.done)
	c, err := dial(p.pool.ctx, p)
	p.mu.Lock()
	p.dialing = nil
	a.conn, a.err = c, err
	if err == nil {
		p.conn = c
	}
	p.mu.Unlock()
	if err != nil {
		p.lost(err)
	}
}

// lost starts the probe of an agent that does not answer.
func (p *peer) lost(err error) {
	p.mu.Lock()
	if p.down || p.pool.ctx.Err() != nil {
		p.mu.Unlock()
		return
	}
	p.down = p.pool.start(p.probe)
	p.mu.Unlock()
	p.pool.logDown(p.target, err)
}

// probe dials with back-off until the agent greets.
func (p *peer) probe() {
	wait, end := p.pool.BackoffMin, time.Now().Add(p.pool.ProbeTime)
	for time.Now().Before(end) {
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-p.ctx.Done():
			timer.Stop()
			return
		}
		if c, err := dial(p.ctx, p); err == nil {
			p.up(c)
			return
		}
		wait = min(2*wait, p.pool.BackoffMax)
	}
	p.up(nil)
}

// up ends the state of being down. Without a connection the agent is only forgotten.
func (p *peer) up(c *conn) {
	p.mu.Lock()
	p.down = false
	if c != nil {
		p.conn = c
	}
	p.mu.Unlock()
	p.pool.Loads.Report(p.target.Name, wire.LoadState{}, time.Now())
	if c != nil {
		event.Info(p.pool.Log, event.AgentReachable, "endpoint", p.target.Name, "incarnation", c.hello.Incarnation)
	}
}

// ended is called by a connection when it is closed.
func (p *peer) ended(c *conn, cause error) {
	p.mu.Lock()
	current := p.conn == c
	if current {
		p.conn = nil
	}
	p.mu.Unlock()
	if current && !errors.Is(cause, errIdle) && !errors.Is(cause, errGoodbye) && p.ctx.Err() == nil {
		p.lost(cause)
	}
}
