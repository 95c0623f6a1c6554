package front

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"primrosecourse/pkg/site"
)

// awaitRequest waits for the first byte of a request. If there is none, it returns how the connection ends, and an error. It is not
// interrupted while bytes have arrived.
func (s *Server) awaitRequest(p *place, br *bufio.Reader) (ending Ending, err error) {
	c := p.conn
	if br.Buffered() > 0 {
		return 0, nil
	}
	idleSince := time.Now()
	end := idleSince.Add(s.idleTimeout(idleSince))
	for {
		p.setReadDeadline(end)
		s.setIdle(c, true)
		_, err := br.Peek(1)
		s.setIdle(c, false)
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return s.idleEnding(err), err
		}
		if p.isEvicted() {
			return p.idleEnding(), err
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
func (s *Server) read(p *place, br *bufio.Reader, w *Writer, limits site.Limits, held *reservation) (r *Request, keepAlive bool, err error) {
	raw, err := readHeldHeader(br, limits.HeaderBytes, held)
	if err != nil {
		return nil, false, err
	}
	arrived := time.Now()
	if !held.holdHeader(headerCost(raw)) {
		return nil, false, errTooManyHeldBytes
	}
	parsed, err := parseHeader(raw)
	if err != nil {
		return nil, false, err
	}
	w.http10 = !parsed.ProtoAtLeast(1, 1)
	w.noBody = parsed.Method == http.MethodHead
	r = &Request{Method: parsed.Method, Target: parsed.RequestURI, Path: parsed.URL.Path, Host: parsed.Host, Header: parsed.Header,
		Arrived: arrived, url: parsed.URL}
	if escaped := parsed.URL.EscapedPath(); escaped != "" {
		r.Path = escaped
	}
	if strings.EqualFold(parsed.Header.Get("Expect"), "100-continue") {
		_ = p.setWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := io.WriteString(p.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return r, false, err
		}
	}
	if s.HeadersOnly {
		return r, !parsed.Close && !w.http10 && parsed.ContentLength == 0, nil
	}
	s.extendBody(p, arrived, limits)
	p.enter(readingBody)
	arrival := &bodyProgress{place: p, length: parsed.ContentLength}
	r.Body, err = readBody(parsed, br, limits.BodyBytes, held, func(n int) {
		arrival.add(n)
		s.extendBody(p, arrived, limits)
	})
	return r, !parsed.Close && !w.http10, err
}

// extendBody lets the rest of a body whose header arrived at a given time arrive within the idle timeout from now, and within the body timeout
// in all.
func (s *Server) extendBody(p *place, arrived time.Time, limits site.Limits) {
	end := time.Now().Add(limits.IdleTimeout)
	if last := arrived.Add(cmp.Or(limits.BodyTimeout, max(bodyTimeout, limits.IdleTimeout))); end.After(last) {
		end = last
	}
	p.setReadDeadline(end)
}
