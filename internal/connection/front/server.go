package front

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"primrosecourse/pkg/site"
)

// Handler answers requests.
type Handler interface {
	// Handle answers r. It returns with the answer ended or aborted; ctx is cancelled when the caller leaves.
	Handle(ctx context.Context, r *Request, w *Writer)
}

// Defaults of the limits, for a gateway that has no configuration yet.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// lingerTime is how long a connection is read on after its last answer, so that unread bytes do not reset it before the
// caller has the answer.
const lingerTime = 300 * time.Millisecond

// Server serves connections. Its exported fields are set before Run.
type Server struct {
	Handler Handler
	// Limits returns what callers may send at present. Zero fields stand for defaults.
	Limits func() site.Limits
	// MaxConnections bounds the connections; 0 sets no bound. One beyond it is closed unread, so that its caller may try another
	// gateway at once whatever it sent.
	MaxConnections int
	// MaxHeldBytes bounds the bodies of all requests under way together; 0 sets no bound. A request beyond it is refused with
	// 503 and Overloaded before it is handled.
	MaxHeldBytes int64
	// Overloaded returns the header of such a refusal; it may be nil. Shed is called for each connection and request beyond the
	// bounds; it may be nil.
	Overloaded func() http.Header
	Shed       func(what Excess)

	draining atomic.Bool
	mu       sync.Mutex
	idle     map[net.Conn]struct{}
	all      map[net.Conn]struct{}
	work     sync.WaitGroup
	active   atomic.Int64
	held     atomic.Int64
	done     chan struct{}
}

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Excess -output=excess_string.go

// Excess is what exceeds a bound of the server.
type Excess uint8

// The bounds that may be exceeded.
const (
	// Connections means that a connection was closed unread.
	Connections Excess = iota
	// HeldBytes means that a request was refused.
	HeldBytes
)

func (s *Server) shed(what Excess) {
	if s.Shed != nil {
		s.Shed(what)
	}
}

// New returns a server that gives its requests to handler.
func New(handler Handler) *Server {
	return &Server{Handler: handler, idle: map[net.Conn]struct{}{}, all: map[net.Conn]struct{}{}, done: make(chan struct{})}
}

// Done is closed when Run has ended.
func (s *Server) Done() <-chan struct{} { return s.done }

// Active returns the number of requests under way.
func (s *Server) Active() int { return int(s.active.Load()) }

// Drain makes each connection end with its next answer.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections on which no request is under way.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.idle {
		// A connection that is no longer in the set is not read from: a request that is arriving would be passed on, and its
		// answer could not be sent.
		delete(s.idle, c)
		_ = c.Close()
	}
}

// CloseAll closes all connections.
func (s *Server) CloseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.all {
		_ = c.Close()
	}
}

// Run serves the connections of l until l is closed and its connections have ended.
func (s *Server) Run(ctx context.Context, l net.Listener) (err error) {
	defer close(s.done)
	defer s.work.Wait()
	for {
		c, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			// Out of descriptors, or the caller left before it was accepted.
			time.Sleep(5 * time.Millisecond)
			continue
		}
		if !s.admit(c) {
			s.shed(Connections)
			_ = c.Close()
			continue
		}
		s.work.Go(func() { s.serve(ctx, c) })
	}
}

// admit takes a connection among those that are served, if there is room for it.
func (s *Server) admit(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.MaxConnections > 0 && len(s.all) >= s.MaxConnections {
		return false
	}
	s.all[c] = struct{}{}
	return true
}

func (s *Server) serve(ctx context.Context, c net.Conn) {
	defer s.mark(s.all, c, false)
	defer c.Close()
	br := bufio.NewReaderSize(c, 4096)
	bw := bufio.NewWriterSize(c, 4096)
	for s.next(ctx, c, br, bw) {
	}
}

func (s *Server) mark(set map[net.Conn]struct{}, c net.Conn, in bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in {
		set[c] = struct{}{}
	} else {
		delete(set, c)
	}
}

// takeIdle takes a connection out of the idle ones and reports whether it was not closed meanwhile.
func (s *Server) takeIdle(c net.Conn) (kept bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, kept = s.idle[c]
	delete(s.idle, c)
	return kept
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

// next serves one request and reports whether the connection goes on.
func (s *Server) next(ctx context.Context, c net.Conn, br *bufio.Reader, bw *bufio.Writer) bool {
	limits := s.limits()
	s.mark(s.idle, c, true)
	_ = c.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	_, err := br.Peek(1)
	if kept := s.takeIdle(c); err != nil || !kept {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	w := &Writer{conn: c, bw: bw}
	share := &share{server: s}
	defer share.release()
	request, keep, err := s.read(c, br, w, limits, share)
	if err != nil {
		s.refuse(c, w, err)
		return false
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	w.closing = !keep || s.draining.Load()
	s.handle(ctx, c, br, request, w)
	if w.aborted || w.err != nil || !w.ended {
		return false
	}
	if w.closing {
		linger(c)
		return false
	}
	return true
}

// read reads a whole request and reports whether the caller wants the connection to go on.
func (s *Server) read(c net.Conn, br *bufio.Reader, w *Writer, limits site.Limits, held *share) (r *Request, keep bool, err error) {
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
	if strings.EqualFold(parsed.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, false, err
		}
	}
	_ = c.SetReadDeadline(arrived.Add(limits.IdleTimeout))
	body, err := readBody(parsed, br, limits.BodyBytes, held)
	if err != nil {
		return nil, false, err
	}
	r = &Request{Method: parsed.Method, Target: parsed.RequestURI, Path: parsed.URL.Path, Host: parsed.Host, Header: parsed.Header,
		Body: body, Arrived: arrived}
	if escaped := parsed.URL.EscapedPath(); escaped != "" {
		r.Path = escaped
	}
	return r, !parsed.Close && !w.http10, nil
}

// handle gives the request to the handler and watches the connection meanwhile.
func (s *Server) handle(ctx context.Context, c net.Conn, br *bufio.Reader, r *Request, w *Writer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_ = c.SetReadDeadline(time.Time{})
	left := make(chan struct{})
	go func() {
		defer close(left)
		if _, err := br.Peek(1); err != nil {
			cancel()
		}
	}()
	s.Handler.Handle(ctx, r, w)
	// A time in the past ends the Peek; what it has read stays in br.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-left
	_ = c.SetReadDeadline(time.Time{})
}

func (s *Server) refuse(c net.Conn, w *Writer, err error) {
	var bad *badRequest
	if !errors.As(err, &bad) {
		return
	}
	w.closing = true
	header := http.Header{}
	if bad.status == http.StatusServiceUnavailable {
		s.shed(HeldBytes)
		if s.Overloaded != nil {
			header = s.Overloaded()
		}
	}
	header.Set("Content-Type", "text/plain")
	if w.Answer(bad.status, header, []byte(bad.reason+"\n")) == nil {
		linger(c)
	}
}

// linger closes the sending side and reads on for a while.
func linger(c net.Conn) {
	if half, ok := c.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, c)
	}
}
