package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/wire"
)

// peer is the state of an agent: its connection, the dial in progress, or the probe of an agent that is down.
type peer struct {
	pool   *Pool
	target Target
	// cancelProbe cancels ctx, which ends the probe. ctx is also done when the pool is closed.
	cancelProbe context.CancelFunc
	ctx         context.Context

	mu      sync.Mutex
	conn    *conn
	dialing *dialAttempt
	down    bool
}

// dialAttempt is a dial that one or more requests wait for. The other fields are set when done is closed.
type dialAttempt struct {
	done chan struct{}
	conn *conn
	err  error
}

func newPeer(p *Pool, to Target) *peer {
	created := &peer{pool: p, target: to}
	created.ctx, created.cancelProbe = context.WithCancel(p.ctx)
	return created
}

func (p *peer) stopProbing() { p.cancelProbe() }

// connect returns the open connection or dials one. If it returns an error, no byte of the request was sent.
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
		a = &dialAttempt{done: make(chan struct{})}
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

// dial carries out an attempt. It does not end with the request that started it, since other requests may wait for it.
func (p *peer) dial(a *dialAttempt) {
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
		p.markDown(err)
	}
}

// markDown records that the agent is down and starts to probe it, unless it is already down or the pool is closed.
func (p *peer) markDown(err error) {
	p.mu.Lock()
	if p.down || p.pool.ctx.Err() != nil {
		p.mu.Unlock()
		return
	}
	p.down = p.pool.start(p.probe)
	p.mu.Unlock()
	p.pool.reportDown(p.target, err)
}

// probe dials with back-off until a dial succeeds, ProbeTime has passed or ctx is done.
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
			p.markUp(c)
			return
		}
		wait = min(2*wait, p.pool.BackoffMax)
	}
	p.markUp(nil)
}

// markUp records that the agent is no longer down. c is the new connection, or nil if ProbeTime has passed; the next
// request then dials again.
func (p *peer) markUp(c *conn) {
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

// connectionClosed is called when c has been closed. It marks the agent as down, unless c is not the current
// connection, was idle or ended after Goodbye, the peer was removed from the pool or replaced, or the pool is closed.
func (p *peer) connectionClosed(c *conn, cause error) {
	p.mu.Lock()
	current := p.conn == c
	if current {
		p.conn = nil
	}
	p.mu.Unlock()
	if current && !errors.Is(cause, errIdle) && !errors.Is(cause, errGoodbye) && p.ctx.Err() == nil {
		p.markDown(cause)
	}
}
