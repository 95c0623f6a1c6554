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

// connection is one connection from an entry.
type connection struct {
	server *Server
	conn   *wire.Conn
	*writer
	peer wire.Hello
	// leaveBy is when a shutdown stops to wait for the peer's Goodbye, in Unix nanoseconds; 0 before a shutdown.
	leaveBy atomic.Int64
	// announced is the highest version announced to the peer. Only the reader uses it.
	announced uint64
	streams   sync.WaitGroup

	mu     sync.Mutex
	cancel map[uint64]context.CancelFunc
}

// serve runs a connection to its end.
func (s *Server) serve(ctx context.Context, nc net.Conn) {
	w := wire.NewConn(nc)
	c := &connection{
		server: s, conn: w, writer: newWriter(w, s.BufferBytes, s.WriteTimeout), cancel: map[uint64]context.CancelFunc{},
	}
	written := make(chan error, 1)
	go func() { written <- c.writer.run() }()
	// At a shutdown the peer is told and reading goes on until its Goodbye, so that requests which were on their way are
	// refused as not run. Closing at once would leave the entry with an unknown outcome.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		c.send(wire.Goodbye{Reason: "the agent stops"})
		by := time.Now().Add(s.GoodbyeTimeout)
		c.leaveBy.Store(by.UnixNano())
		_ = nc.SetReadDeadline(by)
	})
	err := c.read(streamCtx)
	stop()
	cancel()
	c.streams.Wait()
	c.finish()
	writeErr := <-written
	s.remove(c)
	_ = w.Close()
	c.logEnd(ctx, nc.RemoteAddr(), err, writeErr)
}

func (c *connection) logEnd(ctx context.Context, addr net.Addr, readErr, writeErr error) {
	log := c.server.Log.WithValues("Entry", c.peer.Name, "Address", addr.String())
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

// rejection is an error that the peer is told in a Goodbye.
type rejection struct{ reason string }

func (r *rejection) Error() string { return "entry: " + r.reason }

func (c *connection) reject(format string, args ...any) error {
	r := &rejection{fmt.Sprintf(format, args...)}
	c.send(wire.Goodbye{Reason: r.reason})
	return r
}

// read takes messages until the connection ends.
func (c *connection) read(ctx context.Context) error {
	s := c.server
	c.send(wire.Hello{
		Protocol: wire.ProtocolVersion, Name: s.Name, FailureDomain: s.FailureDomain, Incarnation: s.Incarnation,
		ConfigVersion: s.Configuration.Version(),
	})
	m, err := c.next(s.HelloTimeout)
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
	c.peer = hello
	if !s.add(c) {
		return c.reject("too many connections")
	}
	event.Info(s.Log, event.EntryConnected, "Entry", hello.Name, "FailureDomain", hello.FailureDomain)
	c.compareVersion(hello.ConfigVersion)
	for _, mark := range s.Handler.Marks() {
		c.send(mark)
	}
	for {
		m, err := c.next(s.IdleTimeout)
		if err != nil {
			return err
		}
		if err := c.handle(ctx, m); err != nil {
			return err
		}
	}
}

// next reads a message. The deadline that a shutdown sets is kept: leaveBy is set before it and read after the other.
func (c *connection) next(timeout time.Duration) (wire.Message, error) {
	nc := c.conn.NetConn()
	_ = nc.SetReadDeadline(time.Now().Add(timeout))
	if by := c.leaveBy.Load(); by != 0 {
		_ = nc.SetReadDeadline(time.Unix(0, by))
	}
	return c.conn.Read()
}

func (c *connection) handle(ctx context.Context, m wire.Message) error {
	s := c.server
	switch m := m.(type) {
	case wire.Submit:
		return c.start(ctx, m.Stream, func(ctx context.Context) { s.Handler.Submit(ctx, m, c.send) })
	case wire.Call:
		return c.start(ctx, m.Stream, func(ctx context.Context) { c.send(s.Handler.Call(ctx, m)) })
	case wire.Cancel:
		c.mu.Lock()
		if cancel := c.cancel[m.Stream]; cancel != nil {
			cancel()
		}
		c.mu.Unlock()
	case wire.Ping:
		c.send(wire.Load{Stream: m.Stream, Load: s.Handler.Load()})
		c.compareVersion(m.ConfigVersion)
	case wire.ConfigPush:
		if _, err := s.Configuration.Offer(m); err != nil {
			event.Error(s.Log, err, event.ConfigRefused, "Entry", c.peer.Name, "Version", m.Version)
			return nil
		}
		c.compareVersion(m.Version)
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

// compareVersion brings the side with the lower configuration up: it announces a higher version without content, for the
// peer to ask on one of its connections, and asks for the peer's if no other connection does. At full size the content
// of one change would otherwise be sent over each of 1,300 connections.
func (c *connection) compareVersion(version uint64) {
	configuration := c.server.Configuration
	switch own := configuration.Version(); {
	case own > version && own > c.announced:
		c.announced = own
		c.send(wire.ConfigPush{Version: own, ConfirmedAgo: configuration.Push().ConfirmedAgo})
	case own < version && configuration.Wants(version):
		c.send(wire.ConfigWant{Version: own})
	}
}

// start runs a stream in its own goroutine.
func (c *connection) start(ctx context.Context, stream uint64, run func(ctx context.Context)) error {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel[stream] != nil {
		cancel()
		return c.reject("stream %d is open already", stream)
	}
	if len(c.cancel) >= c.server.MaxStreams {
		cancel()
		c.send(wire.Refused{
			Stream: stream, Outcome: wire.NotRun, Reason: wire.ReasonBusy, Detail: "too many streams on the connection",
			RetryAfter: time.Second,
		})
		return nil
	}
	c.cancel[stream] = cancel
	c.streams.Go(func() {
		defer func() {
			cancel()
			c.mu.Lock()
			delete(c.cancel, stream)
			c.mu.Unlock()
		}()
		run(ctx)
	})
	return nil
}
