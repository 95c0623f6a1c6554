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

// Handler processes the requests and crash marks that entries send. Its methods are called concurrently.
type Handler interface {
	// Submit runs a prompt and returns when the run has ended. It sends either Refused, or Accepted, Tokens and End,
	// all with the ID of the stream. The context is cancelled when the entry cancels the stream or its connection ends.
	Submit(ctx context.Context, m wire.Submit, send func(wire.Message))
	// Call runs a call and returns Reply or Refused. The context is cancelled when the entry cancels the stream or its
	// connection ends; a call that was already sent to the service must not be abandoned then.
	Call(ctx context.Context, m wire.Call) wire.Message
	// Load returns the current load state of the endpoint.
	Load() wire.LoadState
	// Mark stores a crash mark that an entry sent.
	Mark(m wire.Mark)
	// Marks returns the crash marks that are sent to each new connection.
	Marks() []wire.Mark
}

// Configuration provides the configuration in force. Its methods must not block.
type Configuration interface {
	// Version returns the version in force, 0 if there is none.
	Version() uint64
	// StartFetch reports whether the content of a version should be requested on this connection.
	StartFetch(version uint64) bool
	// Offer applies a configuration from a peer if it is newer, and reports whether it did.
	Offer(m wire.ConfigPush) (bool, error)
	// Push returns the configuration in force with its content.
	Push() wire.ConfigPush
}

// Server accepts connections from entries. Its exported fields must be set before Serve is called.
type Server struct {
	// Name, FailureDomain and Incarnation describe the agent in its Hello.
	Name          string
	FailureDomain string
	Incarnation   uint64
	Handler       Handler
	Configuration Configuration
	Log           logr.Logger
	// HelloTimeout bounds the wait for the Hello of the peer, IdleTimeout the wait for each later message. Defaults 5 s
	// and 30 s; entries send a message at least every 20 s (agent.Pool.KeepAlive).
	HelloTimeout time.Duration
	IdleTimeout  time.Duration
	// GoodbyeTimeout bounds the wait for the Goodbye of the peer at a shutdown. Default 1 s.
	GoodbyeTimeout time.Duration
	// WriteTimeout bounds one write. Default 5 s.
	WriteTimeout time.Duration
	// BufferBytes bounds the memory of the messages that wait in the buffer of a connection. The batch that is being
	// written is no longer counted. Default 8 MiB.
	BufferBytes int
	// MaxStreams bounds the open streams of a connection. Default 1024.
	MaxStreams int
	// MaxConnections bounds the connections on which a valid Hello has been received. Default 2600, twice the number of
	// entries of a deployment of the planned maximum size.
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

// Serve accepts connections until ctx is done. It then closes the listener and sends Goodbye on each connection. On each
// it continues to read until the Goodbye of the peer or GoodbyeTimeout, cancels the streams, waits for their end, writes
// the buffered messages and closes the connection. It returns after the last connection has ended.
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
			// Accept can fail temporarily, for example when no file descriptors are free. Open connections continue,
			// and Accept is called again after 50 ms.
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

// Broadcast sends a message on each connection whose peer has sent a valid Hello.
func (s *Server) Broadcast(m wire.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.send(m)
	}
}

// register adds a connection for Broadcast. It returns false if MaxConnections is reached.
func (s *Server) register(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.MaxConnections {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) unregister(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
