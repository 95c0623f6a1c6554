package front

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

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

// lingerTime is how long the server reads and discards what the caller sends after the last response. Closing a connection with
// unread bytes resets it, and the caller may then lose the response.
const lingerTime = 300 * time.Millisecond

// Server serves the connections of callers. Its exported fields must be set before Run.
type Server struct {
	Handler Handler
	// Limits returns the limits on requests that are in force. Defaults replace zero fields, and all fields if Limits is nil.
	Limits func() site.Limits
	// MaxConnections limits the open connections; 0 means no limit. A connection above the limit is closed before anything is
	// read from it, so that its caller can safely retry at another gateway at once, whatever it sent.
	MaxConnections int
	// MaxHeldBytes limits the total size of the bodies of all requests in progress; 0 means no limit. A request above the limit
	// is refused with 503 before it is handled.
	MaxHeldBytes int64
	// Overloaded returns the header of the 503 response; it may be nil. Shed is called for each connection or request above a
	// limit; it may be nil.
	Overloaded func() http.Header
	Shed       func(what Excess)
	// Ended is called at the end of each connection; it may be nil. It must not block.
	Ended func(e End)

	draining atomic.Bool
	// closing is set once CloseAll has been called.
	closing   atomic.Bool
	mu        sync.Mutex
	idle      map[net.Conn]struct{}
	open      map[net.Conn]struct{}
	wg        sync.WaitGroup
	active    atomic.Int64
	heldBytes atomic.Int64
	idleLimit idleLimit
	done      chan struct{}
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
)

func (s *Server) shed(what Excess) {
	if s.Shed != nil {
		s.Shed(what)
	}
}

// New returns a server that passes requests to handler.
func New(handler Handler) *Server {
	return &Server{Handler: handler, idle: map[net.Conn]struct{}{}, open: map[net.Conn]struct{}{}, done: make(chan struct{})}
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
	for c := range s.open {
		_ = c.Close()
	}
}

// Run accepts and serves connections until l is closed, and returns when all connections have ended.
func (s *Server) Run(ctx context.Context, l net.Listener) (err error) {
	defer close(s.done)
	defer s.wg.Wait()
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

// admit adds c to the open connections unless that would exceed MaxConnections.
func (s *Server) admit(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.MaxConnections > 0 && len(s.open) >= s.MaxConnections {
		return false
	}
	s.open[c] = struct{}{}
	return true
}

func (s *Server) serve(ctx context.Context, c net.Conn) {
	defer s.setMember(s.open, c, false)
	defer c.Close()
	br := bufio.NewReaderSize(&arrivalReader{c}, 4096)
	bw := bufio.NewWriterSize(c, 4096)
	for {
		if end, open := s.serveNext(ctx, c, br, bw); !open {
			s.reportEnd(end)
			return
		}
	}
}

func (s *Server) setMember(set map[net.Conn]struct{}, c net.Conn, member bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if member {
		set[c] = struct{}{}
	} else {
		delete(set, c)
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

// serveNext serves one request and reports whether the connection can carry another one, or else how it ends.
func (s *Server) serveNext(ctx context.Context, c net.Conn, br *bufio.Reader, bw *bufio.Writer) (end End, open bool) {
	if ending, err := s.awaitRequest(c, br); err != nil {
		return End{Ending: ending, Err: err}, false
	}
	limits := s.limits()
	_ = c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	w := &Writer{conn: c, bw: bw, draining: &s.draining}
	held := &reservation{server: s}
	defer held.release()
	request, keepAlive, err := s.read(c, br, w, limits, held)
	if err != nil {
		return End{Ending: s.refuse(c, w, err), Request: request, Started: w.started, Err: err}, false
	}
	if s.closing.Load() {
		return End{Ending: CutOff, Request: request}, false
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	w.closeAfter = !keepAlive
	callerLeft := s.handle(ctx, c, br, request, w)
	if w.aborted || w.err != nil || !w.ended || w.panicked {
		resetIfUnframed(c, w)
		if w.panicked && w.ended {
			linger(c)
		}
		return End{Ending: s.responseEnding(w, callerLeft), Request: request, Started: w.started, Err: cmp.Or(w.cause, w.err)}, false
	}
	if w.closeAfter {
		linger(c)
		return End{Ending: Announced, Request: request, Started: true}, false
	}
	return End{}, true
}

// awaitRequest waits for the first byte of a request. If there is none, it returns how the connection ends, and an error. It is not
// interrupted while bytes have arrived.
func (s *Server) awaitRequest(c net.Conn, br *bufio.Reader) (ending Ending, err error) {
	if br.Buffered() > 0 {
		return 0, nil
	}
	idleSince := time.Now()
	end := idleSince.Add(s.idleTimeout(idleSince))
	for {
		_ = c.SetReadDeadline(end)
		s.setMember(s.idle, c, true)
		_, err := br.Peek(1)
		s.setMember(s.idle, c, false)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return s.idleEnding(err), err
		}
		now := time.Now()
		if now.Before(end) || s.draining.Load() {
			return Stopped, err // interrupted by CloseIdle
		}
		// The limit may have been raised in the meantime.
		if end = idleSince.Add(s.idleTimeout(now)); !end.After(now) {
			return IdleExpired, err
		}
	}
}

// idleTimeout returns how long a connection may stay idle.
func (s *Server) idleTimeout(now time.Time) time.Duration {
	return s.idleLimit.update(now, s.limits().IdleTimeout)
}

// read reads a whole request and reports whether the connection may stay open after it. With an error it returns the request without its
// body if the header was read.
func (s *Server) read(c net.Conn, br *bufio.Reader, w *Writer, limits site.Limits, held *reservation) (r *Request, keepAlive bool, err error) {
	raw, err := readHeader(br, limits.HeaderBytes)
	if err != nil {
		return nil, false, err
	}
	arrived := time.Now()
	parsed, err := parseHeader(raw)
	if err != nil {
		return nil, false, err
	}
	w.http10 = !parsed.ProtoAtLeast(1, 1)
	w.noBody = parsed.Method == http.MethodHead
	r = &Request{Method: parsed.Method, Target: parsed.RequestURI, Path: parsed.URL.Path, Host: parsed.Host, Header: parsed.Header,
		Arrived: arrived}
	if escaped := parsed.URL.EscapedPath(); escaped != "" {
		r.Path = escaped
	}
	if strings.EqualFold(parsed.Header.Get("Expect"), "100-continue") {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return r, false, err
		}
	}
	s.extendBody(c, arrived, limits)
	r.Body, err = readBody(parsed, br, limits.BodyBytes, held, func() { s.extendBody(c, arrived, limits) })
	return r, !parsed.Close && !w.http10, err
}

// extendBody lets the rest of a body whose header arrived at a given time arrive within the idle timeout from now, and within bodyTimeout in
// all.
func (s *Server) extendBody(c net.Conn, arrived time.Time, limits site.Limits) {
	end := time.Now().Add(limits.IdleTimeout)
	if last := arrived.Add(max(bodyTimeout, limits.IdleTimeout)); end.After(last) {
		end = last
	}
	_ = c.SetReadDeadline(end)
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

// refuse answers a request that can't be handled, unless the caller has left, and returns how the connection ends.
func (s *Server) refuse(c net.Conn, w *Writer, err error) Ending {
	var refused *statusError
	switch {
	case errors.As(err, &refused):
	case s.closing.Load():
		return CutOff
	case errors.Is(err, os.ErrDeadlineExceeded):
		return IdleExpired // Only blank lines have arrived.
	default:
		return Incomplete
	}
	w.closeAfter = true
	header := http.Header{}
	if refused.status == http.StatusServiceUnavailable {
		s.shed(HeldBytes)
		if s.Overloaded != nil {
			header = s.Overloaded()
		}
	}
	header.Set("Content-Type", "text/plain")
	if w.Answer(refused.status, header, []byte(refused.reason+"\n")) != nil {
		return WriteFailed
	}
	linger(c)
	return Refused
}

// linger closes the sending side, and discards what arrives until the caller closes its side or lingerTime has passed.
func linger(c net.Conn) {
	if halfCloser, ok := c.(interface{ CloseWrite() error }); ok && halfCloser.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, c)
	}
}
