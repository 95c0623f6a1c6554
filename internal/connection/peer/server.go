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
	// DefaultMaxConns exceeds the number of subscribers that an entry has if it watches the platform in a deployment of the
	// planned maximum size: the other entries of its failure domain (1,300 entries in 26 domains, so 50 in each) and its share
	// of the 400 agents of the domain.
	DefaultMaxConns = 256
	// maxConcurrentContents limits the memory of encoded pushes, of up to 1 MB each, to 8 MB.
	maxConcurrentContents = 8
)

// Server serves peers and the command line on an entry's peer address. Its fields must be set before Run.
type Server struct {
	Name          string
	FailureDomain string
	Incarnation   uint64
	Config        Config
	// Marks forwards marks between the connections of this entry; it may be nil.
	Marks *Relay
	Log   logr.Logger
	// MaxConns limits the open connections. Default DefaultMaxConns.
	MaxConns int
}

// Run serves connections until ctx is done. Then it closes the listener and all connections, and returns after the last
// connection has ended. It returns an error only if Accept fails for another reason than a temporary one; in this case it
// closes the connections, but not the listener.
func (s *Server) Run(ctx context.Context, listener net.Listener) (err error) {
	defer func() { err = errors.Wrap(err, "peer: server") }()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	limit := s.MaxConns
	if limit == 0 {
		limit = DefaultMaxConns
	}
	connSlots := make(chan struct{}, limit)
	contentSlots := make(chan struct{}, maxConcurrentContents)
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
			var temporary interface{ Temporary() bool }
			if errors.As(err, &temporary) && temporary.Temporary() {
				// The usual cause is a lack of file descriptors; connections that close free some.
				sleep(ctx, 50*time.Millisecond)
				continue
			}
			return err
		}
		select {
		case connSlots <- struct{}{}:
			wg.Go(func() {
				defer func() { <-connSlots }()
				s.serve(ctx, conn, contentSlots)
			})
		default:
			event.Info(s.Log, event.PeerRefused, "address", conn.RemoteAddr().String(), "reason", "too many connections")
			_ = conn.SetDeadline(time.Now().Add(goodbyeTimeout))
			_ = wire.NewConn(conn).Write(wire.Goodbye{Reason: "too many connections"})
			_ = conn.Close()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (s *Server) serve(ctx context.Context, netConn net.Conn, contentSlots chan struct{}) {
	conn := wire.NewConn(netConn)
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	ownHello := wire.Hello{
		Protocol: wire.ProtocolVersion, Name: s.Name, FailureDomain: s.FailureDomain, Incarnation: s.Incarnation,
		ConfigVersion: s.Config.Version(),
	}
	hello, err := handshake(conn, ownHello, false)
	if !stop() {
		return
	}
	if err != nil {
		log := s.Log
		if errors.Is(err, io.ErrUnexpectedEOF) {
			// A subscriber that looks for a better peer connects and sends nothing, so this is logged at level 1 only.
			log = log.V(1)
		}
		event.Info(log, event.PeerRefused, "address", netConn.RemoteAddr().String(), "reason", err.Error())
		return
	}
	session := &session{
		conn: conn, peer: hello, server: true, config: s.Config, relay: s.Marks, log: s.Log, contentSlots: contentSlots,
	}
	event.Info(s.Log.V(1), event.PeerConnected, "peer", hello.Name, "version", hello.ConfigVersion)
	err = session.run(ctx)
	event.Info(s.Log.V(1), event.PeerClosed, "peer", hello.Name, "reason", err.Error())
}
