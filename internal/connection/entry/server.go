package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"primrosecourse/pkg/wire"
)

// Handler acts on what entries send. Its methods are called from many goroutines.
type Handler interface {
	// Submit runs a prompt to its end. It sends Refused, or Accepted, Tokens and End, all with the stream's number. The
	// context ends when the entry cancels or is lost.
	Submit(ctx context.Context, m wire.Submit, send func(wire.Message))
	// Call runs one call and returns Reply or Refused. The context ends when the entry cancels or is lost; a call that
	// was sent to the service must not be given up for that.
	Call(ctx context.Context, m wire.Call) wire.Message
	// Load returns the present state of the endpoint.
	Load() wire.LoadState
	// Mark takes what an entry tells of a request that crashed an endpoint.
	Mark(m wire.Mark)
	// Marks returns what a new connection is told at its start.
	Marks() []wire.Mark
}

// Configuration is the configuration in force. Its methods do not block.
type Configuration interface {
	// Version returns the version in force, 0 if there is none.
	Version() uint64
	// Wants tells whether the content of a version should be asked for on this connection.
	Wants(version uint64) bool
	// Offer takes a configuration from a peer and reports whether it is in force now.
	Offer(m wire.ConfigPush) (bool, error)
	// Push returns the configuration in force with its content.
	Push() wire.ConfigPush
}

// Server accepts connections from entries. Its fields are set before Serve.
type Server struct {
	// Name, FailureDomain and Incarnation go into Hello.
	Name          string
	FailureDomain string
	Incarnation   uint64
	Handler       Handler
	Configuration Configuration
	Log           logr.Logger
	// HelloTimeout bounds the wait for the peer's Hello, IdleTimeout that for any later message; entries ping each
	// second. Defaults 5 s and 30 s.
	HelloTimeout time.Duration
	IdleTimeout  time.Duration
	// GoodbyeTimeout bounds the wait for the peer's Goodbye at a shutdown. Default 1 s.
	GoodbyeTimeout time.Duration
	// WriteTimeout bounds one write. Default 5 s.
	WriteTimeout time.Duration
	// BufferBytes bounds the answers that wait to be written on a connection. Default 8 MiB.
	BufferBytes int
	// MaxStreams bounds the streams of a connection. Default 1024.
	MaxStreams int
	// MaxConnections bounds the connections. Default 2600, twice the entries at full size.
	MaxConnections int

	mu    sync.Mutex
	conns map[*connection]struct{}
}

func (s *Server) setDefaults() {
	for field, value := range map[*time.Duration]time.Duration{
		&s.HelloTimeout: 5 * time.Second, &s.IdleTimeout: 30 * time.Second, &s.WriteTimeout: 5 * time.Second,
		&s.GoodbyeTimeout: time.Second,
	} {
		if *field <= 0 {
			*field = value
		}
	}
	for field, value := range map[*int]int{&s.BufferBytes: 8 << 20, &s.MaxStreams: 1024, &s.MaxConnections: 2600} {
		if *field <= 0 {
			*field = value
		}
	}
	s.conns = map[*connection]struct{}{}
}

// Serve accepts connections until ctx is done. Then it says Goodbye on each, goes on reading until the peer's Goodbye,
// writes what is buffered, closes the connections and returns once their streams have ended. The listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) (err error) {
	defer func() { err = errors.Wrap(err, "entry: serve") }()
	s.mu.Lock()
	s.setDefaults()
	s.mu.Unlock()
	var conns sync.WaitGroup
	defer conns.Wait()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = c.Close()
			}
			return nil
		}
		if err != nil {
			// Out of file descriptors, for example: the connections that exist go on.
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			select {
			case <-time.After(50 * time.Millisecond):
			case <-ctx.Done():
			}
			continue
		}
		conns.Go(func() { s.serve(ctx, c) })
	}
}

// Broadcast sends a message on each connection whose peer has sent Hello.
func (s *Server) Broadcast(m wire.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.send(m)
	}
}

func (s *Server) add(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.MaxConnections {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
