package peer

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/wire"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a server.
	HeartbeatInterval = time.Second
	// SilenceLimit is the time without a message after which a client gives its server up: three heartbeats.
	SilenceLimit = 3 * HeartbeatInterval

	pingInterval = 10 * time.Second
	// subscriberLimit is the time without a message after which a server drops its subscriber: three pings.
	subscriberLimit = 3 * pingInterval
	helloTimeout    = 5 * time.Second
	// writeTimeout bounds one message. The largest configuration of 1 MB passes at 200 KB/s.
	writeTimeout = 5 * time.Second
	// goodbyeTimeout keeps a shutdown short when the peer does not read.
	goodbyeTimeout = 100 * time.Millisecond
	queueLength    = 64
)

// Config is the configuration that connections spread. internal/version/config.Tracker implements it.
type Config interface {
	// Version returns the version in force, 0 if there is none.
	Version() uint64
	// Changed returns a channel that is closed when the version in force rises.
	Changed() <-chan struct{}
	// Push returns the version in force with its content.
	Push() wire.ConfigPush
	// Offer takes a push if its version is higher. A push without content confirms a version.
	Offer(wire.ConfigPush) (accepted bool, err error)
	// Wants tells whether the content of the version should be asked for on this connection.
	Wants(version uint64) bool
}

// Differ is a Config that can tell versions as differences. Full-size contents are over 100 KB and change 19,000 times
// a day, which is more than a process may spend on control.
type Differ interface {
	Config
	// PushSince returns Push with the difference from an older version if it is known, and else with the whole content.
	PushSince(version uint64) wire.ConfigPush
	// Base returns the version that the content of a version should be asked for from, 0 for the whole content.
	Base(version uint64) uint64
	// Heartbeat returns Push without content.
	Heartbeat() wire.ConfigPush
}

var (
	// ErrGoodbye is returned when the peer closed the connection with a reason.
	ErrGoodbye = errors.New("peer: closed by the peer")
	// ErrSlow is returned when the peer was dropped because it did not take its messages.
	ErrSlow = errors.New("peer: too slow")
	// ErrProtocol is returned when the peer speaks another protocol or version.
	ErrProtocol = errors.New("peer: protocol violation")
)

// session is one greeted connection, on either side.
type session struct {
	conn   *wire.Conn
	peer   wire.Hello
	server bool
	config Config
	marks  *Relay
	log    logr.Logger
	// contents bounds the pushes with content that are encoded at a time; nil sets no bound.
	contents chan struct{}
	// heard is called with each push that arrives.
	heard func(wire.ConfigPush)

	queue chan wire.Message
	slow  atomic.Bool
	// version is the highest version that the peer is known to have.
	version atomic.Uint64
}

// sendContent stands in the queue for the push of the version that is in force when it is written.
type sendContent struct {
	wire.Message
	since uint64
}

// run serves the connection until it ends or ctx is done, and closes it.
func (s *session) run(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.queue = make(chan wire.Message, queueLength)
	s.version.Store(s.peer.ConfigVersion)
	var missed []wire.Mark
	if s.marks != nil {
		missed = s.marks.add(s)
		defer s.marks.remove(s)
	}
	// A write that waits for the peer ends soon after ctx.
	stop := context.AfterFunc(ctx, func() { s.setWriteDeadline(goodbyeTimeout) })
	defer stop()
	written := make(chan error, 1)
	go func() {
		err := s.catchUp(ctx, missed)
		if err == nil {
			err = s.write(ctx)
		}
		written <- err
		_ = s.conn.Close()
	}()
	err = s.read()
	cancel()
	writeErr := <-written
	switch {
	case s.slow.Load():
		return ErrSlow
	case errors.Is(err, ErrGoodbye) || errors.Is(err, ErrProtocol) || writeErr == nil:
		return err
	}
	return writeErr
}

func (s *session) setWriteDeadline(d time.Duration) {
	_ = s.conn.NetConn().SetWriteDeadline(time.Now().Add(d))
}

// enqueue queues a message. A peer whose queue is full is dropped.
func (s *session) enqueue(m wire.Message) {
	select {
	case s.queue <- m:
	default:
		s.slow.Store(true)
		_ = s.conn.Close()
	}
}

// catchUp sends the marks that the peer may have missed.
func (s *session) catchUp(ctx context.Context, missed []wire.Mark) error {
	for _, mark := range missed {
		if err := s.send(ctx, mark); err != nil {
			return err
		}
	}
	return nil
}

// write sends queued messages, announcements and heartbeats until ctx is done, then says goodbye.
func (s *session) write(ctx context.Context) error {
	interval := pingInterval
	if s.server {
		interval = HeartbeatInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	announced := uint64(0)
	for {
		// Changed is read before Version, so that no change is missed in between.
		changed := s.config.Changed()
		if v := s.config.Version(); v > s.version.Load() && v > announced {
			announced = v
			if err := s.send(ctx, s.announcement()); err != nil {
				return err
			}
		}
		var m wire.Message
		select {
		case <-ctx.Done():
			s.setWriteDeadline(goodbyeTimeout)
			_ = s.conn.Write(wire.Goodbye{Reason: "closing"})
			return nil
		case <-changed:
			continue
		case <-ticker.C:
			if s.server {
				m = s.announcement()
			} else {
				m = wire.Ping{ConfigVersion: s.config.Version()}
			}
		case m = <-s.queue:
		}
		if err := s.send(ctx, m); err != nil {
			return err
		}
	}
}

// announcement is the push of the version in force without its content.
func (s *session) announcement() wire.ConfigPush {
	if d, ok := s.config.(Differ); ok {
		return d.Heartbeat()
	}
	push := s.config.Push()
	push.Content = nil
	return push
}

func (s *session) send(ctx context.Context, m wire.Message) error {
	if content, ok := m.(sendContent); ok {
		if s.contents != nil {
			select {
			case s.contents <- struct{}{}:
				defer func() { <-s.contents }()
			case <-ctx.Done():
				return nil
			}
		}
		push := s.content(content.since)
		m = push
		event.Info(s.log.V(1), event.PeerContentSent, "peer", s.peer.Name, "version", push.Version, "base", push.Base,
			"bytes", len(push.Content))
	}
	s.setWriteDeadline(writeTimeout)
	if ctx.Err() != nil {
		return nil
	}
	return s.conn.Write(m)
}

func (s *session) content(since uint64) wire.ConfigPush {
	if d, ok := s.config.(Differ); ok {
		return d.PushSince(since)
	}
	return s.config.Push()
}

// base returns the version that the content of a version is asked for from.
func (s *session) base(version uint64) uint64 {
	if d, ok := s.config.(Differ); ok {
		return d.Base(version)
	}
	return s.config.Version()
}

// read handles messages until the connection ends. Its error is never nil.
func (s *session) read() error {
	limit := SilenceLimit
	if s.server {
		limit = subscriberLimit
	}
	for {
		_ = s.conn.NetConn().SetReadDeadline(time.Now().Add(limit))
		m, err := s.conn.Read()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case wire.ConfigPush:
			s.push(m)
		case wire.ConfigWant:
			if s.config.Version() > m.Version {
				s.enqueue(sendContent{since: m.Version})
			}
		case wire.Ping:
			s.raise(m.ConfigVersion)
			s.enqueue(wire.Load{Stream: m.Stream, Load: wire.LoadState{ConfigVersion: s.config.Version()}})
		case wire.Load:
			s.raise(m.Load.ConfigVersion)
		case wire.Mark:
			if s.marks != nil {
				s.marks.receive(m, s)
			}
		case wire.Goodbye:
			return errors.Mark(errors.Newf("peer says %q", m.Reason), ErrGoodbye)
		default:
			s.enqueue(wire.Goodbye{Reason: "unexpected message " + m.MessageType().String()})
			return errors.Mark(errors.Newf("unexpected message %s", m.MessageType()), ErrProtocol)
		}
	}
}

// raise notes the version that the peer has.
func (s *session) raise(version uint64) {
	if version > s.version.Load() {
		s.version.Store(version)
	}
}

func (s *session) push(push wire.ConfigPush) {
	s.raise(push.Version)
	if s.heard != nil {
		defer s.heard(push)
	}
	// The configuration logs what it does not take.
	_, _ = s.config.Offer(push)
	if len(push.Content) > 0 {
		return
	}
	if s.config.Wants(push.Version) {
		s.enqueue(wire.ConfigWant{Version: s.base(push.Version)})
	} else if s.config.Version() > push.Version {
		// The peer is behind although it was told on change; it may have asked elsewhere in vain.
		s.enqueue(s.announcement())
	}
}

// greet exchanges Hello. The dialing side speaks first.
func greet(conn *wire.Conn, own wire.Hello, dialed bool) (peer wire.Hello, err error) {
	_ = conn.NetConn().SetDeadline(time.Now().Add(helloTimeout))
	if dialed {
		if err = conn.Write(own); err != nil {
			return wire.Hello{}, err
		}
	}
	m, err := conn.Read()
	if err != nil {
		return wire.Hello{}, errors.Wrap(errors.Mark(err, io.ErrUnexpectedEOF), "hello")
	}
	switch m := m.(type) {
	case wire.Goodbye:
		return wire.Hello{}, errors.Mark(errors.Newf("peer says %q", m.Reason), ErrGoodbye)
	case wire.Hello:
		peer = m
	default:
		return wire.Hello{}, refuse(conn, "hello expected")
	}
	if peer.Protocol != wire.ProtocolVersion {
		return wire.Hello{}, refuse(conn, "protocol version not supported")
	}
	if !dialed {
		if err = conn.Write(own); err != nil {
			return wire.Hello{}, err
		}
	}
	_ = conn.NetConn().SetDeadline(time.Time{})
	return peer, nil
}

func refuse(conn *wire.Conn, reason string) error {
	_ = conn.Write(wire.Goodbye{Reason: reason})
	return errors.Mark(errors.New(reason), ErrProtocol)
}
