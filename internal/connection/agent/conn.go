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

// queueLength bounds the items in the send queue of a connection.
const queueLength = 256

// conn is a connection to an agent. It is in use once Hello has been exchanged.
type conn struct {
	peer      *peer
	wireConn  *wire.Conn
	hello     wire.Hello
	sendQueue chan *queueItem
	// done is closed together with the connection; cause is then set.
	done chan struct{}
	// goodbyeReceived is closed when the peer has sent Goodbye.
	goodbyeReceived chan struct{}

	mu sync.Mutex
	// cause is the reason why the connection was closed, nil while it is open.
	cause error
	// draining is set when the peer has sent Goodbye or the idle connection is about to be closed. No more requests are
	// accepted then.
	draining bool
	// lastStreamID is the ID of the newest stream.
	lastStreamID uint64
	streams      map[uint64]*Stream
	// idleOrActiveSince is when the connection last changed between idle (no open streams) and active.
	idleOrActiveSince time.Time
	// announcedVersion is the highest configuration version that was announced to the peer.
	announcedVersion uint64

	// lastRead is when the last message was received, in Unix nanoseconds.
	lastRead atomic.Int64
	// lastWrite is when the writer last began to send messages, at first when the connection was dialed. Only dial and
	// the writer use it.
	lastWrite time.Time
}

// queueItem contains messages that are sent together. The goroutine that changes state from queued, by compare-and-swap,
// decides whether they are sent.
type queueItem struct {
	messages []wire.Message
	state    atomic.Int32
}

const (
	queued int32 = iota
	// taken by the writer: from now on the request may have arrived.
	taken
	// withdrawn before the writer took it: the request is not sent.
	withdrawn
)

// dial connects to the agent, exchanges Hello and starts the reader and the writer of the connection.
func dial(ctx context.Context, p *peer) (_ *conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, p.pool.DialTimeout)
	defer cancel()
	defer func() { err = errors.Wrapf(err, "dial %s at %s", p.target.Name, p.target.Address) }()
	netConn, err := p.pool.Dial(ctx, p.target.Address)
	if err != nil {
		return nil, err
	}
	c := &conn{peer: p, wireConn: wire.NewConn(netConn), sendQueue: make(chan *queueItem, queueLength), done: make(chan struct{}),
		goodbyeReceived: make(chan struct{}),
		streams:         make(map[uint64]*Stream), idleOrActiveSince: time.Now(), lastWrite: time.Now()}
	// Aborts the exchange of Hello when ctx is done: DialTimeout has passed, the pool is closed or the probe is stopped.
	stop := context.AfterFunc(ctx, func() { _ = netConn.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if !stop() || err != nil {
			_ = netConn.Close()
			err = errors.CombineErrors(err, ctx.Err())
		}
	}()
	if err = c.exchangeHello(); err != nil {
		return nil, err
	}
	c.lastRead.Store(time.Now().UnixNano())
	if !p.pool.start(c.readLoop) {
		return nil, ErrClosed
	}
	if !p.pool.start(c.writeLoop) {
		c.close(ErrClosed)
		return nil, ErrClosed
	}
	c.reconcileVersion(c.hello.ConfigVersion)
	return c, nil
}

// exchangeHello sends Hello, stores the Hello of the peer and rejects an unexpected protocol version or name.
func (c *conn) exchangeHello() error {
	p := c.peer.pool
	own := wire.Hello{Protocol: wire.ProtocolVersion, Name: p.Name, FailureDomain: p.FailureDomain, Incarnation: p.Incarnation,
		ConfigVersion: p.Config.Version()}
	if err := c.wireConn.Write(own); err != nil {
		return err
	}
	m, err := c.wireConn.Read()
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
		_ = c.wireConn.Write(wire.Goodbye{Reason: reason})
		return errors.Newf("peer %s with protocol %d: %s", c.hello.Name, c.hello.Protocol, reason)
	}
	return nil
}

func (c *conn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cause == nil && !c.draining
}

// openStream registers a stream and queues its request.
func (c *conn) openStream(givenTokens int, messages func(id uint64) []wire.Message) (*Stream, error) {
	c.mu.Lock()
	if c.cause != nil || c.draining {
		defer c.mu.Unlock()
		return nil, notSent(errUnusable)
	}
	c.lastStreamID++
	id := c.lastStreamID
	s := newStream(c, id, givenTokens)
	s.request.messages = messages(id)
	if len(c.streams) == 0 {
		c.idleOrActiveSince = time.Now()
	}
	c.streams[id] = s
	c.mu.Unlock()
	select {
	case c.sendQueue <- s.request:
		return s, nil
	default:
		c.removeStream(id)
		return nil, notSent(errors.New("agent: queue of the connection is full"))
	}
}

// removeStream removes a stream. Messages that still arrive for it are counted as late.
func (c *conn) removeStream(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.streams[id]; ok {
		delete(c.streams, id)
		if len(c.streams) == 0 {
			c.idleOrActiveSince = time.Now()
		}
	}
}

// trySend queues a message that opens no stream, and drops it if the queue is full. If a Cancel is dropped, the agent
// continues the run until it ends or the connection is closed. The connection is closed after PeerTimeout if the agent
// accepts no bytes, or sends nothing while streams are open.
func (c *conn) trySend(m wire.Message) {
	select {
	case c.sendQueue <- &queueItem{messages: []wire.Message{m}}:
	default:
	}
}

// writeLoop sends the queued messages, pings the peer when necessary and closes a silent or idle connection.
func (c *conn) writeLoop() {
	timer := time.NewTimer(c.peer.pool.HeartbeatInterval)
	defer timer.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-c.peer.pool.ctx.Done():
			c.writeGoodbye("entry stops")
			c.close(ErrClosed)
			return
		case <-c.goodbyeReceived:
			c.handleGoodbye()
			return
		case item := <-c.sendQueue:
			if item.state.CompareAndSwap(queued, taken) && !c.writeAll(item.messages) {
				return
			}
		case <-timer.C:
			if !c.checkTimeouts() {
				return
			}
		}
		timer.Reset(c.timerDelay())
	}
}

// handleGoodbye replies to the Goodbye of the peer. Requests that the writer has not taken are withdrawn, so that
// another endpoint can serve them. The peer still responds to the requests that it has read, and then closes the
// connection. If it has not closed it within PeerTimeout, this side does.
func (c *conn) handleGoodbye() {
	for {
		select {
		case item := <-c.sendQueue:
			if item.state.CompareAndSwap(queued, withdrawn) {
				c.failWithdrawn(item)
			}
			continue
		default:
		}
		break
	}
	c.writeGoodbye("the peer stops")
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

// failWithdrawn ends the stream of a withdrawn request.
func (c *conn) failWithdrawn(item *queueItem) {
	for _, m := range item.messages {
		c.failUnsent(m, errGoodbye)
	}
}

// writeAll sends messages. It returns false if it closed the connection because of an error.
func (c *conn) writeAll(messages []wire.Message) bool {
	// A peer that accepts no bytes for PeerTimeout is considered down, like one that sends nothing.
	c.lastWrite = time.Now()
	_ = c.wireConn.NetConn().SetWriteDeadline(c.lastWrite.Add(c.peer.pool.PeerTimeout))
	for _, m := range messages {
		err := c.wireConn.Write(m)
		if errors.Is(err, wire.ErrFrameTooLarge) {
			// No byte was sent, so the connection remains usable.
			c.failUnsent(m, err)
			continue
		}
		if err != nil {
			c.close(err)
			return false
		}
	}
	return true
}

// writeGoodbye sends Goodbye, unless the peer does not accept it within 100 ms.
func (c *conn) writeGoodbye(reason string) {
	_ = c.wireConn.NetConn().SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	_ = c.wireConn.Write(wire.Goodbye{Reason: reason})
}

// failUnsent ends the stream of a request that was not sent. It does nothing for messages other than Submit and Call.
func (c *conn) failUnsent(m wire.Message, err error) {
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
		c.removeStream(id)
		s.fail(notSent(err))
	}
}

// quietSince reports whether streams are open, and returns the time since which the connection has been quiet. With
// open streams, this is the time of the last message of the peer or the time at which the connection stopped being
// idle, whichever is later. Otherwise it is the time at which the connection became idle.
func (c *conn) quietSince() (open bool, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since = c.idleOrActiveSince
	if len(c.streams) == 0 {
		return false, since
	}
	if read := time.Unix(0, c.lastRead.Load()); read.After(since) {
		since = read
	}
	return true, since
}

// timerDelay returns the time until checkTimeouts has to act.
func (c *conn) timerDelay() time.Duration {
	open, since := c.quietSince()
	quiet := time.Since(since)
	keepAlive := c.peer.pool.KeepAlive - time.Since(c.lastWrite)
	if !open {
		return max(0, min(c.peer.pool.IdleTimeout-quiet, keepAlive))
	}
	interval := c.peer.pool.HeartbeatInterval
	return max(0, min(interval-quiet%interval, c.peer.pool.PeerTimeout-quiet, keepAlive))
}

// checkTimeouts closes a silent or idle connection or sends a ping that is due. It returns false if the connection was
// closed.
func (c *conn) checkTimeouts() bool {
	p := c.peer.pool
	open, since := c.quietSince()
	quiet := time.Since(since)
	switch {
	case open && quiet >= p.PeerTimeout:
		c.close(errors.Wrapf(errSilent, "nothing received for %s", quiet))
		return false
	case open && quiet >= p.HeartbeatInterval:
		return c.ping()
	case !open && quiet >= p.IdleTimeout:
		c.mu.Lock()
		idle := len(c.streams) == 0
		c.draining = c.draining || idle
		c.mu.Unlock()
		if idle {
			c.writeGoodbye("idle")
			c.close(errIdle)
			return false
		}
	case time.Since(c.lastWrite) >= p.KeepAlive:
		return c.ping()
	}
	return true
}

func (c *conn) ping() bool {
	return c.writeAll([]wire.Message{wire.Ping{ConfigVersion: c.peer.pool.Config.Version()}})
}

// readLoop receives messages until the connection ends.
func (c *conn) readLoop() {
	for {
		m, err := c.wireConn.Read()
		if err != nil {
			c.mu.Lock()
			if c.draining && errors.Is(err, io.EOF) {
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

// close closes the connection and ends its streams with the cause. Only the first call has an effect.
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
	_ = c.wireConn.Close()
	// The peer is updated before the streams end, so that a retried request finds it down.
	c.peer.connectionClosed(c, cause)
	for _, s := range streams {
		s.abort(cause)
	}
}
