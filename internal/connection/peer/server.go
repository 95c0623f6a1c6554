package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/wire"
)

const (
	// DefaultMaxConns is above the subscribers of a watching entry at full size: 50 entries and a share of 400 agents.
	DefaultMaxConns = 256
	// maxContents bounds the memory of encoded pushes to 8 MB.
	maxContents = 8
)

// Server serves peers and the command line on an entry's peer address. Fields are set before Run.
type Server struct {
	Name          string
	FailureDomain string
	Incarnation   uint64
	Config        Config
	// Marks relays marks; optional.
	Marks *Relay
	Log   logr.Logger
	// MaxConns bounds the connections. Default DefaultMaxConns.
	MaxConns int
}

// Run serves until ctx is done, closes the listener and returns after the last connection ended.
func (s *Server) Run(ctx context.Context, listener net.Listener) (err error) {
	defer func() { err = errors.Wrap(err, "peer: server") }()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	limit := s.MaxConns
	if limit == 0 {
		limit = DefaultMaxConns
	}
	conns := make(chan struct{}, limit)
	contents := make(chan struct{}, maxContents)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if err != nil {
			var timeout interface{ Temporary() bool }
			if errors.As(err, &timeout) && timeout.Temporary() {
				// Out of file descriptors, most likely; connections that end free some.
				pause(ctx, 50*time.Millisecond)
				continue
			}
			return err
		}
		select {
		case conns <- struct{}{}:
			wg.Go(func() {
				defer func() { <-conns }()
				s.serve(ctx, conn, contents)
			})
		default:
			event.Info(s.Log, event.PeerRefused, "address", conn.RemoteAddr().String(), "reason", "too many connections")
			_ = conn.SetDeadline(time.Now().Add(goodbyeTimeout))
			_ = wire.NewConn(conn).Write(wire.Goodbye{Reason: "too many connections"})
			_ = conn.Close()
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (s *Server) serve(ctx context.Context, netConn net.Conn, contents chan struct{}) {
	conn := wire.NewConn(netConn)
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	own := wire.Hello{
		Protocol: wire.ProtocolVersion, Name: s.Name, FailureDomain: s.FailureDomain, Incarnation: s.Incarnation,
		ConfigVersion: s.Config.Version(),
	}
	hello, err := greet(conn, own, false)
	if !stop() {
		return
	}
	if err != nil {
		log := s.Log
		if errors.Is(err, io.ErrUnexpectedEOF) {
			// A process that looks for a better peer connects and says nothing.
			log = log.V(1)
		}
		event.Info(log, event.PeerRefused, "address", netConn.RemoteAddr().String(), "reason", err.Error())
		return
	}
	session := &session{
		conn: conn, peer: hello, server: true, config: s.Config, marks: s.Marks, log: s.Log, contents: contents,
	}
	event.Info(s.Log.V(1), event.PeerConnected, "peer", hello.Name, "version", hello.ConfigVersion)
	err = session.run(ctx)
	event.Info(s.Log.V(1), event.PeerClosed, "peer", hello.Name, "reason", err.Error())
}
