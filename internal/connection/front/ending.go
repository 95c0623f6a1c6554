package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Ending -output=ending_string.go

// Ending is why the connection of a caller ended. There are no other ways. From Incomplete on, a request or a part of one ended without a
// complete response.
type Ending uint8

// The endings of a connection.
const (
	// CallerClosed means that the caller closed or broke the connection while no request was in progress.
	CallerClosed Ending = iota
	// IdleExpired means that the connection was idle for the idle timeout, or for reuseShare of it while places were short.
	IdleExpired
	// Stopped means that the connection was closed in a graceful shutdown while no request was in progress.
	Stopped
	// Announced means that the last response was complete and stated that the connection closes after it.
	Announced
	// Unread means that the connection exceeded MaxConnections and was closed before anything was read from it, or that it gave way to another one
	// before it had sent anything.
	Unread
	// Refused means that the server itself answered a request that is malformed, too large or late, or exceeds MaxHeldBytes.
	Refused
	// Incomplete means that the caller closed or broke the connection before a whole request had arrived.
	Incomplete
	// CallerLeft means that the caller closed or broke the connection while its request was in progress.
	CallerLeft
	// WriteFailed means that a response could not be written: the caller has left or does not read.
	WriteFailed
	// BrokenOff means that the handler broke its response off, or ended without one.
	BrokenOff
	// CutOff means that CloseAll closed the connection while a request was in progress or arriving.
	CutOff
	// Panicked means that the handler panicked. A request whose response had not begun was answered with 500.
	Panicked
	// Evicted means that the connection gave way to another one while its caller did not read a response, or while its next request, sent before
	// the response, waited for a turn. A request that is arriving is Refused instead.
	Evicted
)

// Lossy reports whether a request, or a part of one, ended without a complete response.
func (e Ending) Lossy() bool { return e >= Incomplete }

// End describes the end of a connection.
type End struct {
	Ending Ending
	// Request is the last request, without its body if that did not arrive whole; nil if no header was read after the last complete
	// response.
	Request *Request
	// Started reports whether the response to it had begun.
	Started bool
	// Err says more about the cause; it may be nil.
	Err error
}

func (s *Server) reportEnd(e End) {
	if s.Ended != nil {
		s.Ended(e)
	}
}

// idleEnding returns the ending of a connection on which the wait for a request failed.
func (s *Server) idleEnding(err error) Ending {
	switch {
	case s.closing.Load():
		return Stopped
	case errors.Is(err, os.ErrDeadlineExceeded):
		return IdleExpired
	}
	return CallerClosed
}

// responseEnding returns the ending of a connection whose response is not complete.
func (s *Server) responseEnding(w *Writer, callerLeft bool) Ending {
	switch {
	case w.panicked:
		return Panicked
	case s.closing.Load():
		return CutOff
	case w.place.isEvicted():
		return Evicted
	case callerLeft:
		return CallerLeft
	case w.err != nil:
		return WriteFailed
	}
	return BrokenOff
}

// runHandler runs the handler and keeps a panic of it to this connection.
func (s *Server) runHandler(ctx context.Context, r *Request, w *Writer) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		w.panicked, w.cause = true, fmt.Errorf("panic: %v\n%s", cause, debug.Stack())
		w.closeAfter = true
		if !w.started {
			_ = w.Answer(http.StatusInternalServerError, http.Header{"Content-Type": {"text/plain"}}, []byte("internal error\n"))
		}
	}()
	s.Handler.Handle(ctx, r, w)
}

// resetIfUnframed makes the close of the connection a reset if its end would be taken for that of the response.
func resetIfUnframed(c net.Conn, w *Writer) {
	if tcp, ok := c.(*net.TCPConn); ok && w.started && w.unframed {
		_ = tcp.SetLinger(0)
	}
}
