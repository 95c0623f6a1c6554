package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/wire"
)

// connection is a connection from an entry.
type connection struct {
	server *Server
	conn   *wire.Conn
	*writer
	// peerHello is zero until a valid Hello has been received.
	peerHello wire.Hello
	// goodbyeDeadline is the time until which a shutdown waits for the Goodbye of the peer, in Unix nanoseconds; 0
	// before a shutdown.
	goodbyeDeadline atomic.Int64
	// announcedVersion is the highest configuration version announced to the peer. Only the reader uses it.
	announcedVersion uint64
	streams          sync.WaitGroup

	mu sync.Mutex
	// cancels contains the cancel functions of the open streams by stream ID.
	cancels map[uint64]context.CancelFunc
}

// serve runs a connection until it ends.
func (s *Server) serve(ctx context.Context, netConn net.Conn) {
	w := wire.NewConn(netConn)
	c := &connection{
		server: s, conn: w, writer: newWriter(w, s.BufferBytes, s.WriteTimeout), cancels: map[uint64]context.CancelFunc{},
	}
	writerDone := make(chan error, 1)
	go func() { writerDone <- c.writer.run() }()
	// At a shutdown, Goodbye is sent, and reading continues until the Goodbye of the peer. In this way requests in
	// transit still reach the handler, which can refuse them as not run. If the connection were closed at once, their
	// outcome would be unknown to the entry.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		c.send(wire.Goodbye{Reason: "the agent stops"})
		deadline := time.Now().Add(s.GoodbyeTimeout)
		c.goodbyeDeadline.Store(deadline.UnixNano())
		_ = netConn.SetReadDeadline(deadline)
	})
	err := c.readLoop(streamCtx)
	stop()
	cancel()
	c.streams.Wait()
	c.finish()
	writeErr := <-writerDone
	s.unregister(c)
	if ctx.Err() != nil && writeErr == nil {
		linger(netConn, s.GoodbyeTimeout)
	}
	_ = w.Close()
	c.logClosed(ctx, netConn.RemoteAddr(), err, writeErr)
}

// linger ends the sending side of a connection and discards what arrives until the peer ends its own side or the timeout passes. A connection
// that is closed with unread bytes is reset, and the peer then loses replies that it has not read yet.
func linger(c net.Conn, timeout time.Duration) {
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	_, _ = io.Copy(io.Discard, c)
}

// logClosed logs why the connection ended.
func (c *connection) logClosed(ctx context.Context, addr net.Addr, readErr, writeErr error) {
	log := c.server.Log.WithValues("Entry", c.peerHello.Name, "Address", addr.String())
	var rejected *rejection
	var timeout net.Error
	switch {
	case errors.Is(writeErr, errTooSlow), errors.As(writeErr, &timeout) && timeout.Timeout():
		event.Info(log, event.EntryTooSlow, "Reason", writeErr.Error())
	case errors.As(readErr, &rejected), errors.Is(readErr, wire.ErrMalformed),
		errors.Is(readErr, wire.ErrFrameTooLarge), errors.Is(readErr, wire.ErrUnknownType):
		event.Info(log, event.EntryRejected, "Reason", readErr.Error())
	case readErr == io.EOF || ctx.Err() != nil:
		event.Info(log, event.EntryDisconnected, "Reason", "closed")
	default:
		event.Info(log, event.EntryDisconnected, "Reason", fmt.Sprint(readErr))
	}
}

// rejection is the error of a connection that the agent closes because of a message of the peer or because there are too many
// connections. Its reason is sent in Goodbye.
type rejection struct{ reason string }

func (r *rejection) Error() string { return "entry: " + r.reason }

// reject sends Goodbye with the reason and returns the reason as an error, which ends the connection.
func (c *connection) reject(format string, args ...any) error {
	r := &rejection{fmt.Sprintf(format, args...)}
	c.send(wire.Goodbye{Reason: r.reason})
	return r
}

// readLoop exchanges Hello and handles messages until the connection ends.
func (c *connection) readLoop(ctx context.Context) error {
	s := c.server
	c.send(wire.Hello{
		Protocol: wire.ProtocolVersion, Name: s.Name, FailureDomain: s.FailureDomain, Incarnation: s.Incarnation,
		ConfigVersion: s.Configuration.Version(),
	})
	m, err := c.readMessage(s.HelloTimeout)
	if err != nil {
		return err
	}
	hello, ok := m.(wire.Hello)
	if !ok {
		return c.reject("the first message is %s, not Hello", m.MessageType())
	}
	if hello.Protocol != wire.ProtocolVersion {
		return c.reject("protocol version %d is not %d", hello.Protocol, wire.ProtocolVersion)
	}
	c.peerHello = hello
	if !s.register(c) {
		return c.reject("too many connections")
	}
	event.Info(s.Log, event.EntryConnected, "Entry", hello.Name, "FailureDomain", hello.FailureDomain)
	c.reconcileVersion(hello.ConfigVersion)
	for _, mark := range s.Handler.Marks() {
		c.send(mark)
	}
	for {
		m, err := c.readMessage(s.IdleTimeout)
		if err != nil {
			return err
		}
		if err := c.handle(ctx, m); err != nil {
			return err
		}
	}
}

// readMessage reads a message within the timeout or, during a shutdown, until goodbyeDeadline. It sets the read
// deadline before it loads goodbyeDeadline; the shutdown stores goodbyeDeadline before it sets the read deadline. So
// the last deadline to be set is always that of the shutdown, whether readMessage or the shutdown sets it.
func (c *connection) readMessage(timeout time.Duration) (wire.Message, error) {
	netConn := c.conn.NetConn()
	_ = netConn.SetReadDeadline(time.Now().Add(timeout))
	if deadline := c.goodbyeDeadline.Load(); deadline != 0 {
		_ = netConn.SetReadDeadline(time.Unix(0, deadline))
	}
	return c.conn.Read()
}

// handle handles a message. An error ends the connection.
func (c *connection) handle(ctx context.Context, m wire.Message) error {
	s := c.server
	switch m := m.(type) {
	case wire.Submit:
		return c.startStream(ctx, m.Stream, func(ctx context.Context) { s.Handler.Submit(ctx, m, c.send) })
	case wire.Call:
		return c.startStream(ctx, m.Stream, func(ctx context.Context) { c.send(s.Handler.Call(ctx, m)) })
	case wire.Cancel:
		c.mu.Lock()
		if cancel := c.cancels[m.Stream]; cancel != nil {
			cancel()
		}
		c.mu.Unlock()
	case wire.Ping:
		c.send(wire.Load{Stream: m.Stream, Load: s.Handler.Load()})
		c.reconcileVersion(m.ConfigVersion)
	case wire.ConfigPush:
		if _, err := s.Configuration.Offer(m); err != nil {
			event.Error(s.Log, err, event.ConfigRefused, "Entry", c.peerHello.Name, "Version", m.Version)
			return nil
		}
		c.reconcileVersion(m.Version)
	case wire.ConfigWant:
		if push := s.Configuration.Push(); push.Version > m.Version {
			c.send(push)
		}
	case wire.Mark:
		s.Handler.Mark(m)
	case wire.Goodbye:
		return io.EOF
	default:
		return c.reject("an agent does not take %s", m.MessageType())
	}
	return nil
}

// reconcileVersion compares the configuration version of the peer with the local one. If the peer's is lower, the local
// version is announced without content, and the peer requests the content on one of its connections. If it is higher,
// its content is requested unless StartFetch returns false, as it does when another connection has requested it. In this
// way the content of one change is not sent over each of the 1,300 connections that an agent has in a deployment of the
// planned maximum size.
func (c *connection) reconcileVersion(version uint64) {
	configuration := c.server.Configuration
	switch own := configuration.Version(); {
	case own > version && own > c.announcedVersion:
		c.announcedVersion = own
		c.send(wire.ConfigPush{Version: own, ConfirmedAgo: configuration.Push().ConfirmedAgo})
	case own < version && configuration.StartFetch(version):
		c.send(wire.ConfigWant{Version: own})
	}
}

// startStream calls run in a new goroutine, with a context that ends with ctx or when Cancel arrives for the stream. An ID
// that is already in use ends the connection. A stream beyond MaxStreams is refused.
func (c *connection) startStream(ctx context.Context, stream uint64, run func(ctx context.Context)) error {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancels[stream] != nil {
		cancel()
		return c.reject("stream %d is open already", stream)
	}
	if len(c.cancels) >= c.server.MaxStreams {
		cancel()
		c.send(wire.Refused{
			Stream: stream, Outcome: wire.NotRun, Reason: wire.ReasonBusy, Detail: "too many streams on the connection",
			RetryAfter: time.Second,
		})
		return nil
	}
	c.cancels[stream] = cancel
	c.streams.Go(func() {
		defer func() {
			cancel()
			c.mu.Lock()
			delete(c.cancels, stream)
			c.mu.Unlock()
		}()
		run(ctx)
	})
	return nil
}
