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
	// HeartbeatInterval is the interval at which a server sends heartbeats.
	HeartbeatInterval = time.Second
	// SilenceLimit is the time without a message after which a client disconnects from its server: three heartbeats.
	SilenceLimit = 3 * HeartbeatInterval

	pingInterval = 10 * time.Second
	// subscriberSilenceLimit is the time without a message after which a server disconnects a subscriber: three pings.
	subscriberSilenceLimit = 3 * pingInterval
	helloTimeout           = 5 * time.Second
	// writeTimeout limits the time to write one message. It allows the largest configuration, 1 MB, at 200 KB/s.
	writeTimeout = 5 * time.Second
	// goodbyeTimeout limits the time to write a Goodbye, so that a peer that does not read does not delay the shutdown.
	goodbyeTimeout = 100 * time.Millisecond
	// queueLength is the number of queued messages above which a peer is disconnected as too slow.
	queueLength = 64
)

// Config is the configuration that the connections distribute. internal/version/config.Tracker implements it.
type Config interface {
	// Version returns the version in force, or 0 if there is none.
	Version() uint64
	// Changed returns a channel that is closed when the version in force rises.
	Changed() <-chan struct{}
	// Push returns the version in force with its content.
	Push() wire.ConfigPush
	// Offer applies a push if its version is higher than the one in force. A push without content only confirms that its
	// version is current.
	Offer(wire.ConfigPush) (accepted bool, err error)
	// StartFetch reports whether to request the content of a version on this connection. After it has returned true, it returns
	// false for that version for a short time, so that only one of several connections requests the content.
	StartFetch(version uint64) bool
}

// DeltaConfig is a Config that can send a version as the difference from an older one. In a deployment of the planned
// maximum size, the content has over 100 KB and changes 19,000 times a day. Sending it whole at each change would exceed the limit
// for the control traffic of a process.
type DeltaConfig interface {
	Config
	// PushSince returns the version in force with its difference from an older version, or with the whole content if that
	// difference is not available.
	PushSince(version uint64) wire.ConfigPush
	// DeltaBase returns the version from which the response to a ConfigWant for the given version may be a difference. It
	// returns 0 to request the whole content.
	DeltaBase(version uint64) uint64
	// Heartbeat returns the version in force without its content.
	Heartbeat() wire.ConfigPush
}

var (
	// ErrGoodbye is returned when the peer has sent Goodbye, which states a reason.
	ErrGoodbye = errors.New("peer: closed by the peer")
	// ErrSlow is returned when the peer was disconnected because its message queue was full.
	ErrSlow = errors.New("peer: disconnected because it reads too slowly")
	// ErrProtocol is returned when the peer uses another protocol version or sends an unexpected message.
	ErrProtocol = errors.New("peer: protocol violation")
)

// session is one connection after the handshake, on either side.
type session struct {
	conn   *wire.Conn
	peer   wire.Hello
	server bool
	config Config
	// relay forwards marks between the connections of this process; it may be nil.
	relay *Relay
	log   logr.Logger
	// contentSlots is a semaphore that limits how many pushes with content are encoded and sent at the same time; nil means
	// no limit.
	contentSlots chan struct{}
	// onPush is called with each push that arrives; it may be nil.
	onPush func(wire.ConfigPush)

	queue chan wire.Message
	// queueOverflowed is set when the session is disconnected because its queue was full.
	queueOverflowed atomic.Bool
	// peerVersion is the highest version that the peer has stated so far.
	peerVersion atomic.Uint64
}

// queuedContent is a queue element for a push with content. The push is built when it is sent, from the version then in
// force, as a difference from the version since if possible.
type queuedContent struct {
	wire.Message
	since uint64
}

// run serves the connection until it ends or ctx is done, and closes it.
func (s *session) run(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.queue = make(chan wire.Message, queueLength)
	s.peerVersion.Store(s.peer.ConfigVersion)
	var missed []wire.Mark
	if s.relay != nil {
		missed = s.relay.addSession(s)
		defer s.relay.removeSession(s)
	}
	// When ctx is done, a write that waits for the peer is interrupted after goodbyeTimeout.
	stop := context.AfterFunc(ctx, func() { s.setWriteDeadline(goodbyeTimeout) })
	defer stop()
	written := make(chan error, 1)
	go func() {
		err := s.sendMissedMarks(ctx, missed)
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
	case s.queueOverflowed.Load():
		return ErrSlow
	case errors.Is(err, ErrGoodbye) || errors.Is(err, ErrProtocol) || writeErr == nil:
		return err
	}
	return writeErr
}

func (s *session) setWriteDeadline(d time.Duration) {
	_ = s.conn.NetConn().SetWriteDeadline(time.Now().Add(d))
}

// enqueue queues a message. It disconnects a peer whose queue is full.
func (s *session) enqueue(m wire.Message) {
	select {
	case s.queue <- m:
	default:
		s.queueOverflowed.Store(true)
		_ = s.conn.Close()
	}
}

// sendMissedMarks sends the marks that the peer may have missed while it had no connection.
func (s *session) sendMissedMarks(ctx context.Context, missed []wire.Mark) error {
	for _, mark := range missed {
		if err := s.send(ctx, mark); err != nil {
			return err
		}
	}
	return nil
}

// write sends queued messages, announcements and heartbeats or pings until ctx is done, and then a Goodbye.
func (s *session) write(ctx context.Context) error {
	interval := pingInterval
	if s.server {
		interval = HeartbeatInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	announced := uint64(0)
	for {
		// Changed is called before Version, so that no change in between is missed.
		changed := s.config.Changed()
		if v := s.config.Version(); v > s.peerVersion.Load() && v > announced {
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

// announcement returns a push of the version in force without its content.
func (s *session) announcement() wire.ConfigPush {
	if d, ok := s.config.(DeltaConfig); ok {
		return d.Heartbeat()
	}
	push := s.config.Push()
	push.Content = nil
	return push
}

func (s *session) send(ctx context.Context, m wire.Message) error {
	if content, ok := m.(queuedContent); ok {
		if s.contentSlots != nil {
			select {
			case s.contentSlots <- struct{}{}:
				defer func() { <-s.contentSlots }()
			case <-ctx.Done():
				return nil
			}
		}
		push := s.contentSince(content.since)
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

func (s *session) contentSince(since uint64) wire.ConfigPush {
	if d, ok := s.config.(DeltaConfig); ok {
		return d.PushSince(since)
	}
	return s.config.Push()
}

// baseFor returns the version to state in a ConfigWant for the content of the given version. The response may be a difference from
// the stated version. With a DeltaConfig it can be 0, which requests the whole content.
func (s *session) baseFor(version uint64) uint64 {
	if d, ok := s.config.(DeltaConfig); ok {
		return d.DeltaBase(version)
	}
	return s.config.Version()
}

// read handles messages until the connection ends. Its error is never nil.
func (s *session) read() error {
	limit := SilenceLimit
	if s.server {
		limit = subscriberSilenceLimit
	}
	for {
		_ = s.conn.NetConn().SetReadDeadline(time.Now().Add(limit))
		m, err := s.conn.Read()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case wire.ConfigPush:
			s.handlePush(m)
		case wire.ConfigWant:
			if s.config.Version() > m.Version {
				s.enqueue(queuedContent{since: m.Version})
			}
		case wire.Ping:
			s.raisePeerVersion(m.ConfigVersion)
			s.enqueue(wire.Load{Stream: m.Stream, Load: wire.LoadState{ConfigVersion: s.config.Version()}})
		case wire.Load:
			s.raisePeerVersion(m.Load.ConfigVersion)
		case wire.Mark:
			if s.relay != nil {
				s.relay.receive(m, s)
			}
		case wire.Goodbye:
			return errors.Mark(errors.Newf("peer sent Goodbye with reason %q", m.Reason), ErrGoodbye)
		default:
			s.enqueue(wire.Goodbye{Reason: "unexpected message " + m.MessageType().String()})
			return errors.Mark(errors.Newf("unexpected message %s", m.MessageType()), ErrProtocol)
		}
	}
}

// raisePeerVersion records a version that the peer has, if it is higher than the recorded one.
func (s *session) raisePeerVersion(version uint64) {
	if version > s.peerVersion.Load() {
		s.peerVersion.Store(version)
	}
}

func (s *session) handlePush(push wire.ConfigPush) {
	s.raisePeerVersion(push.Version)
	if s.onPush != nil {
		defer s.onPush(push)
	}
	// Offer itself logs content that is invalid.
	_, _ = s.config.Offer(push)
	if len(push.Content) > 0 {
		return
	}
	if s.config.StartFetch(push.Version) {
		s.enqueue(wire.ConfigWant{Version: s.baseFor(push.Version)})
	} else if s.config.Version() > push.Version {
		// The peer is behind although the version in force was announced to it. It may have requested the content on another
		// connection, whose peer did not deliver it.
		s.enqueue(s.announcement())
	}
}

// handshake exchanges Hello messages. The dialing side sends first.
func handshake(conn *wire.Conn, ownHello wire.Hello, dialed bool) (peer wire.Hello, err error) {
	_ = conn.NetConn().SetDeadline(time.Now().Add(helloTimeout))
	if dialed {
		if err = conn.Write(ownHello); err != nil {
			return wire.Hello{}, err
		}
	}
	m, err := conn.Read()
	if err != nil {
		return wire.Hello{}, errors.Wrap(errors.Mark(err, io.ErrUnexpectedEOF), "hello")
	}
	switch m := m.(type) {
	case wire.Goodbye:
		return wire.Hello{}, errors.Mark(errors.Newf("peer sent Goodbye with reason %q", m.Reason), ErrGoodbye)
	case wire.Hello:
		peer = m
	default:
		return wire.Hello{}, reject(conn, "hello expected")
	}
	if peer.Protocol != wire.ProtocolVersion {
		return wire.Hello{}, reject(conn, "protocol version not supported")
	}
	if !dialed {
		if err = conn.Write(ownHello); err != nil {
			return wire.Hello{}, err
		}
	}
	_ = conn.NetConn().SetDeadline(time.Time{})
	return peer, nil
}

// reject sends a Goodbye with the reason and returns ErrProtocol.
func reject(conn *wire.Conn, reason string) error {
	_ = conn.Write(wire.Goodbye{Reason: reason})
	return errors.Mark(errors.New(reason), ErrProtocol)
}
