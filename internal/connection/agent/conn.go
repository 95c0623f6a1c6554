package agent

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/pkg/wire"
)

// queueLength bounds the messages that wait for the writer of a connection.
const queueLength = 256

// conn is a connection that exchanged Hello.
type conn struct {
	peer  *peer
	wire  *wire.Conn
	hello wire.Hello
	out   chan *outgoing
	// done is closed when the connection takes and delivers no more; cause then holds why.
	done chan struct{}
	// leaving is closed when the peer said Goodbye.
	leaving chan struct{}

	mu      sync.Mutex
	cause   error
	goodbye bool
	next    uint64
	streams map[uint64]*Stream
	// since is when streams was last empty or filled from empty.
	since time.Time
	// announced is the highest configuration version that the peer was told of.
	announced uint64

	lastRead atomic.Int64
	// written is when the last message was sent. Only the writer uses it.
	written time.Time
}

// outgoing is a message in the queue of a connection. Whoever changes its state from queued owns it.
type outgoing struct {
	messages []wire.Message
	state    atomic.Int32
}

const (
	queued int32 = iota
	// taken by the writer: from here on the request may have arrived.
	taken
	// withdrawn before the writer took it.
	withdrawn
)

func dial(ctx context.Context, p *peer) (_ *conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, p.pool.DialTimeout)
	defer cancel()
	defer func() { err = errors.Wrapf(err, "dial %s at %s", p.target.Name, p.target.Address) }()
	nc, err := p.pool.Dial(ctx, p.target.Address)
	if err != nil {
		return nil, err
	}
	c := &conn{peer: p, wire: wire.NewConn(nc), out: make(chan *outgoing, queueLength), done: make(chan struct{}),
		leaving: make(chan struct{}),
		streams: make(map[uint64]*Stream), since: time.Now(), written: time.Now()}
	// Ends the exchange when the pool ends.
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if !stop() || err != nil {
			_ = nc.Close()
			err = errors.CombineErrors(err, ctx.Err())
		}
	}()
	if err = c.greet(); err != nil {
		return nil, err
	}
	c.lastRead.Store(time.Now().UnixNano())
	if !p.pool.start(c.read) {
		return nil, ErrClosed
	}
	if !p.pool.start(c.write) {
		c.close(ErrClosed)
		return nil, ErrClosed
	}
	c.settle(c.hello.ConfigVersion)
	return c, nil
}

func (c *conn) greet() error {
	p := c.peer.pool
	own := wire.Hello{Protocol: wire.ProtocolVersion, Name: p.Name, FailureDomain: p.FailureDomain, Incarnation: p.Incarnation,
		ConfigVersion: p.Config.Version()}
	if err := c.wire.Write(own); err != nil {
		return err
	}
	m, err := c.wire.Read()
	if err != nil {
		return err
	}
	switch m := m.(type) {
	case wire.Goodbye:
		return errors.Newf("peer refused the connection: %s", m.Reason)
	case wire.Hello:
		c.hello = m
	default:
		return errors.Newf("peer sent %s before Hello", m.MessageType())
	}
	reason := ""
	if c.hello.Protocol != wire.ProtocolVersion {
		reason = "protocol version differs"
	} else if c.hello.Name != c.peer.target.Name {
		reason = "another name was expected: " + c.peer.target.Name
	}
	if reason != "" {
		_ = c.wire.Write(wire.Goodbye{Reason: reason})
		return errors.Newf("peer %s with protocol %d: %s", c.hello.Name, c.hello.Protocol, reason)
	}
	return nil
}

func (c *conn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cause == nil && !c.goodbye
}

// open queues a request.
func (c *conn) open(given int, messages func(id uint64) []wire.Message) (*Stream, error) {
	c.mu.Lock()
	if c.cause != nil || c.goodbye {
		defer c.mu.Unlock()
		return nil, notSent(errUnusable)
	}
	c.next++
	id := c.next
	s := newStream(c, id, given)
	s.request.messages = messages(id)
	if len(c.streams) == 0 {
		c.since = time.Now()
	}
	c.streams[id] = s
	c.mu.Unlock()
	select {
	case c.out <- s.request:
		return s, nil
	default:
		c.remove(id)
		return nil, notSent(errors.New("agent: queue of the connection is full"))
	}
}

// remove drops a stream; later messages of it are late.
func (c *conn) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.streams[id]; ok {
		delete(c.streams, id)
		if len(c.streams) == 0 {
			c.since = time.Now()
		}
	}
}

// send queues a message that belongs to no stream, or a Cancel. It is left out when the queue is full: the peer then
// learns of a cancelled run only when the connection ends, which the silence rule brings about.
func (c *conn) send(m wire.Message) {
	select {
	case c.out <- &outgoing{messages: []wire.Message{m}}:
	default:
	}
}

// write sends what is queued, pings a silent peer and closes an idle connection.
func (c *conn) write() {
	timer := time.NewTimer(c.peer.pool.HeartbeatInterval)
	defer timer.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-c.peer.pool.ctx.Done():
			c.farewell("entry stops")
			c.close(ErrClosed)
			return
		case <-c.leaving:
			c.leave()
			return
		case o := <-c.out:
			if o.state.CompareAndSwap(queued, taken) && !c.writeAll(o.messages) {
				return
			}
		case <-timer.C:
			if !c.tick() {
				return
			}
		}
		timer.Reset(c.due())
	}
}

// leave answers the peer's Goodbye. What the writer has not taken is withdrawn, for another endpoint to serve; the peer
// answers what it has read and closes the connection after it.
func (c *conn) leave() {
	for {
		select {
		case o := <-c.out:
			if o.state.CompareAndSwap(queued, withdrawn) {
				c.withdraw(o)
			}
			continue
		default:
		}
		break
	}
	c.farewell("the peer stops")
	timer := time.NewTimer(c.peer.pool.PeerTimeout)
	defer timer.Stop()
	select {
	case <-c.done:
	case <-c.peer.pool.ctx.Done():
		c.close(ErrClosed)
	case <-timer.C:
		c.close(errGoodbye)
	}
}

// withdraw ends the stream of a request that was not sent.
func (c *conn) withdraw(o *outgoing) {
	for _, m := range o.messages {
		c.failStream(m, errGoodbye)
	}
}

func (c *conn) writeAll(list []wire.Message) bool {
	// A peer that takes no bytes for the timeout is as silent as one that sends none.
	c.written = time.Now()
	_ = c.wire.NetConn().SetWriteDeadline(c.written.Add(c.peer.pool.PeerTimeout))
	for _, m := range list {
		err := c.wire.Write(m)
		if errors.Is(err, wire.ErrFrameTooLarge) {
			// No byte was sent, and the connection is usable.
			c.failStream(m, err)
			continue
		}
		if err != nil {
			c.close(err)
			return false
		}
	}
	return true
}

// farewell says goodbye if the peer takes it at once.
func (c *conn) farewell(reason string) {
	_ = c.wire.NetConn().SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	_ = c.wire.Write(wire.Goodbye{Reason: reason})
}

func (c *conn) failStream(m wire.Message, err error) {
	var id uint64
	switch m := m.(type) {
	case wire.Submit:
		id = m.Stream
	case wire.Call:
		id = m.Stream
	}
	c.mu.Lock()
	s := c.streams[id]
	c.mu.Unlock()
	if s != nil {
		c.remove(id)
		s.fail(notSent(err))
	}
}

// waiting returns whether streams are open and since when nothing was heard, or since when the connection is idle.
func (c *conn) waiting() (open bool, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since = c.since
	if len(c.streams) == 0 {
		return false, since
	}
	if read := time.Unix(0, c.lastRead.Load()); read.After(since) {
		since = read
	}
	return true, since
}

// due returns the time until tick has something to do.
func (c *conn) due() time.Duration {
	open, since := c.waiting()
	quiet := time.Since(since)
	keepAlive := c.peer.pool.KeepAlive - time.Since(c.written)
	if !open {
		return max(0, min(c.peer.pool.IdleTimeout-quiet, keepAlive))
	}
	interval := c.peer.pool.HeartbeatInterval
	return max(0, min(interval-quiet%interval, c.peer.pool.PeerTimeout-quiet, keepAlive))
}

func (c *conn) tick() bool {
	p := c.peer.pool
	open, since := c.waiting()
	quiet := time.Since(since)
	switch {
	case open && quiet >= p.PeerTimeout:
		c.close(errors.Wrapf(errSilent, "for %s", quiet))
		return false
	case open && quiet >= p.HeartbeatInterval:
		return c.ping()
	case !open && quiet >= p.IdleTimeout:
		c.mu.Lock()
		idle := len(c.streams) == 0
		c.goodbye = c.goodbye || idle
		c.mu.Unlock()
		if idle {
			c.farewell("idle")
			c.close(errIdle)
			return false
		}
	case time.Since(c.written) >= p.KeepAlive:
		return c.ping()
	}
	return true
}

func (c *conn) ping() bool {
	return c.writeAll([]wire.Message{wire.Ping{ConfigVersion: c.peer.pool.Config.Version()}})
}

// read delivers what arrives until the connection ends.
func (c *conn) read() {
	for {
		m, err := c.wire.Read()
		if err != nil {
			c.mu.Lock()
			if c.goodbye && errors.Is(err, io.EOF) {
				err = errGoodbye
			}
			c.mu.Unlock()
			c.close(err)
			return
		}
		c.lastRead.Store(time.Now().UnixNano())
		c.receive(m)
	}
}

// close ends the connection once; its streams end with the cause.
func (c *conn) close(cause error) {
	c.mu.Lock()
	if c.cause != nil {
		c.mu.Unlock()
		return
	}
	c.cause = cause
	streams := c.streams
	c.streams = make(map[uint64]*Stream)
	c.mu.Unlock()
	close(c.done)
	_ = c.wire.Close()
	// The peer comes first, so that a request that is tried again finds it down.
	c.peer.ended(c, cause)
	for _, s := range streams {
		s.lost(cause)
	}
}
