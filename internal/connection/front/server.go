package front

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"primrosecourse/internal/connection/sockets"
	"primrosecourse/pkg/site"
)

// Handler handles requests.
type Handler interface {
	// Handle writes the response to r, and returns when the response has ended or was aborted. ctx is cancelled when the caller
	// disconnects.
	Handle(ctx context.Context, r *Request, w *Writer)
}

// Default limits, in force while a gateway has no configuration, and for each limit that its configuration leaves 0.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// bodyTimeout limits the time for a whole body, unless the idle timeout is longer.
const bodyTimeout = 60 * time.Second

// Server serves the connections of callers. Its exported fields must be set before Run.
type Server struct {
	Handler Handler
	// Limits returns the limits on requests that are in force. Defaults replace zero fields, and all fields if Limits is nil.
	Limits func() site.Limits
	// MaxConnections limits the open connections; 0 means no limit. A connection above the limit is closed before anything is
	// read from it, so that its caller can safely retry at another gateway at once, whatever it sent.
	MaxConnections int
	// MaxHeldBytes limits the memory for the headers and bodies of all requests in progress; 0 means no limit. A request above the limit
	// is refused with 503 before it is handled. The first FreeBytes of each body are not counted.
	MaxHeldBytes, FreeBytes int64
	// SocketBytes bounds what the kernel holds for each connection; 0 leaves it to the kernel. See package sockets.
	SocketBytes int
	// Turns limits the requests in progress that were sent before the answer to the one before; 0 means no limit. Others wait for a turn, for
	// up to the header timeout.
	Turns int
	// HeadersOnly is set for a port whose requests are answered at once, such as readiness checks. A request is handled when its header has
	// arrived, without its body, and a connection gives up its place to a new one whenever it waits for its caller.
	HeadersOnly bool
	// Refusal returns the header and the body of the response to a request that is refused with a status before it is handled. If it is nil,
	// the body is the reason as plain text.
	Refusal func(status int, reason string) (header http.Header, body []byte)
	// Shed is called for each connection or request above a limit; it may be nil.
	Shed func(what Excess)
	// Ended is called at the end of each connection; it may be nil. It must not block.
	Ended func(e End)

	draining atomic.Bool
	// closing is set once CloseAll has been called.
	closing   atomic.Bool
	mu        sync.Mutex
	idle      map[net.Conn]struct{}
	open      map[net.Conn]*place
	wg        sync.WaitGroup
	active    atomic.Int64
	heldBytes atomic.Int64
	idleLimit idleLimit
	// leaving is the number of evicted connections that are still open. noSearch is when the next search is made for a stalled connection, with
	// the key true for one that holds memory.
	leaving  int
	noSearch map[bool]time.Time
	// turns has an element for each turn that is taken; nil if there is no limit.
	turns chan struct{}
	done  chan struct{}
}

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Excess -output=excess_string.go

// Excess is the limit above which a connection or request was shed.
type Excess uint8

// The limits of a server.
const (
	// Connections means that a connection exceeded MaxConnections and was closed unread.
	Connections Excess = iota
	// HeldBytes means that a request exceeded MaxHeldBytes and was refused.
	HeldBytes
	// Stalled means that a connection made no progress while places or memory were short, and was evicted.
	Stalled
)

func (s *Server) shed(what Excess) {
	if s.Shed != nil {
		s.Shed(what)
	}
}

// New returns a server that passes requests to handler.
func New(handler Handler) *Server {
	return &Server{Handler: handler, idle: map[net.Conn]struct{}{}, open: map[net.Conn]*place{}, noSearch: map[bool]time.Time{}, done: make(chan struct{})}
}

// Done returns a channel that is closed when Run returns.
func (s *Server) Done() <-chan struct{} { return s.done }

// Active returns the number of requests in progress.
func (s *Server) Active() int { return int(s.active.Load()) }

// Busy returns the number of connections with a request in progress, one that is being read, or bytes of one that have arrived.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := len(s.open) - len(s.idle)
	for c := range s.idle {
		if hasArrived(c) {
			busy++
		}
	}
	return busy
}

// Drain makes the server close each connection after the next response that starts on it.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle makes the connections without a request in progress close. A connection on which bytes of a request have arrived stays open
// until that request is answered: whether there are any is decided by the goroutine that reads the connection, since bytes that it
// has just read would be missed by any other.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.idle {
		_ = c.SetReadDeadline(interrupted)
	}
}

// interrupted is a deadline in the past, which interrupts a read.
var interrupted = time.Unix(1, 0)

// CloseAll closes all connections.
func (s *Server) CloseAll() {
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, p := range s.open {
		p.leave()
		_ = c.Close()
	}
}

// Run accepts and serves connections until l is closed, and returns when all connections have ended.
func (s *Server) Run(ctx context.Context, l net.Listener) (err error) {
	defer close(s.done)
	defer s.wg.Wait()
	if s.SocketBytes > 0 {
		sockets.BoundListener(l, s.SocketBytes)
	}
	if s.Turns > 0 {
		s.turns = make(chan struct{}, s.Turns)
	}
	for {
		c, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			// Out of file descriptors, or the caller disconnected before Accept.
			time.Sleep(5 * time.Millisecond)
			continue
		}
		if !s.admit(c) {
			s.shed(Connections)
			s.reportEnd(End{Ending: Unread})
			_ = c.Close()
			continue
		}
		s.wg.Go(func() { s.serve(ctx, c) })
	}
}

func (s *Server) serve(ctx context.Context, c net.Conn) {
	defer s.remove(c)
	defer c.Close()
	p := s.placeOf(c)
	br := bufio.NewReaderSize(&arrivalReader{c, p}, 4096)
	bw := bufio.NewWriterSize(callerWriter{p}, 4096)
	pipelined := false
	for {
		end, open := s.serveNext(ctx, p, br, bw, &pipelined)
		if !open {
			if end.Ending == WriteFailed || end.Ending == Evicted {
				resetUnread(c)
			}
			s.reportEnd(end)
			return
		}
	}
}

func (s *Server) setIdle(c net.Conn, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if idle {
		s.idle[c] = struct{}{}
	} else {
		delete(s.idle, c)
	}
}

func (s *Server) limits() (l site.Limits) {
	if s.Limits != nil {
		l = s.Limits()
	}
	l.HeaderBytes = cmp.Or(l.HeaderBytes, defaultHeaderBytes)
	l.BodyBytes = cmp.Or(l.BodyBytes, defaultBodyBytes)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, defaultHeaderTimeout)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, defaultIdleTimeout)
	return l
}

// serveNext serves one request and reports whether the connection can carry another one, or else how it ends. pipelined states whether bytes of
// the request had arrived before the answer to the one before began, and is set for the next one.
func (s *Server) serveNext(ctx context.Context, p *place, br *bufio.Reader, bw *bufio.Writer, pipelined *bool) (end End, open bool) {
	c := p.conn
	if ending, err := s.awaitRequest(p, br); err != nil {
		return End{Ending: ending, Err: err}, false
	}
	limits := s.limits()
	if *pipelined {
		release, ok := s.awaitTurn(p, limits)
		if !ok {
			return End{Ending: s.turnEnding()}, false
		}
		defer release()
	}
	p.enter(readingHeader)
	p.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	w := &Writer{place: p, bw: bw, draining: &s.draining}
	held := &reservation{server: s, place: p}
	defer held.release()
	request, keepAlive, err := s.read(p, br, w, limits, held)
	if evicted := !p.enter(handling); evicted {
		p.refuse()
		err = errEvicted
	}
	if err != nil {
		held.release()
		return End{Ending: s.refuse(p, w, err), Request: request, Started: w.started, Err: err}, false
	}
	if s.closing.Load() {
		return End{Ending: CutOff, Request: request}, false
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	w.closeAfter = !keepAlive
	w.onStart = func() { *pipelined = request.caller.pipelined.Load() }
	callerLeft := s.handle(ctx, c, br, request, w)
	if w.aborted || w.err != nil || !w.ended || w.panicked {
		resetIfUnframed(c, w)
		if w.panicked && w.ended {
			linger(p)
		}
		return End{Ending: s.responseEnding(w, callerLeft), Request: request, Started: w.started, Err: cmp.Or(w.cause, w.err)}, false
	}
	if w.closeAfter {
		if s.HeadersOnly {
			p.enter(discarding)
		}
		linger(p)
		return End{Ending: Announced, Request: request, Started: true}, false
	}
	p.enter(idle)
	return End{}, true
}

// turnEnding returns the ending of a connection that got no turn.
func (s *Server) turnEnding() Ending {
	if s.closing.Load() {
		return CutOff
	}
	return Evicted
}

// handle passes the request to the handler. Until the handler returns, it watches the connection and cancels the context if the
// caller disconnects, which it reports. The watch ends early when a byte of the next request arrives, so a later disconnect is not noticed.
func (s *Server) handle(ctx context.Context, c net.Conn, br *bufio.Reader, r *Request, w *Writer) (callerLeft bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_ = c.SetReadDeadline(time.Time{})
	r.caller = &callerWatch{conn: c, cancel: cancel}
	r.caller.pipelined.Store(br.Buffered() > 0)
	watchEnded := make(chan struct{})
	go func() {
		defer close(watchEnded)
		_, err := br.Peek(1)
		switch {
		case err == nil:
			r.caller.pipelined.Store(true)
		case errors.Is(err, os.ErrDeadlineExceeded):
			cancel()
		default:
			r.caller.leave()
		}
	}()
	s.runHandler(ctx, r, w)
	// A deadline in the past interrupts Peek; bytes that it has read stay in br.
	_ = c.SetReadDeadline(interrupted)
	<-watchEnded
	_ = c.SetReadDeadline(time.Time{})
	return r.caller.left.Load()
}
