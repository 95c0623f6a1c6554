package front

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// lingerTime is how long the server reads and discards what the caller sends after the last response. Closing a connection with
// unread bytes resets it, and the caller may then lose the response.
const lingerTime = 300 * time.Millisecond

// lingerBytes is the most that is discarded: a body of the default limit. A caller that sends more is cut off.
const lingerBytes = defaultBodyBytes

// refuse answers a request that can't be handled, unless the caller has left, and returns how the connection ends.
func (s *Server) refuse(p *place, w *Writer, err error) Ending {
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
	if refused.status == http.StatusServiceUnavailable && refused != errEvicted { // an eviction has been counted
		s.shed(HeldBytes)
	}
	header, body := PlainRefusal(refused.reason)
	if s.Refusal != nil {
		header, body = s.Refusal(refused.status, refused.reason)
	}
	if w.Answer(refused.status, header, body) != nil {
		return WriteFailed
	}
	if refused != errEvicted { // an evicted connection gives up its place at once
		p.enter(discarding)
		linger(p)
	}
	return Refused
}

// PlainRefusal returns the header and the body of a refusal as plain text.
func PlainRefusal(reason string) (header http.Header, body []byte) {
	return http.Header{"Content-Type": {"text/plain"}}, []byte(reason + "\n")
}

// linger closes the sending side, and discards what arrives until the caller closes its side, or lingerTime or lingerBytes have passed.
func linger(p *place) {
	if halfCloser, ok := p.conn.(interface{ CloseWrite() error }); ok && halfCloser.CloseWrite() == nil {
		p.setReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, p.conn, lingerBytes)
	}
}

// resetUnread makes the close of a connection discard what its caller has not read, which the kernel would otherwise keep for minutes.
func resetUnread(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
