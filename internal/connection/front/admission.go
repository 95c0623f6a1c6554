package front

import (
	"net"
	"time"

	"primrosecourse/internal/connection/sockets"
	"primrosecourse/pkg/site"
)

// admit adds c to the open connections unless that would exceed MaxConnections and no connection is stalled. At a port for checks it waits up to
// checkWait for a place.
func (s *Server) admit(c net.Conn) bool {
	for began := time.Now(); s.isFull() && !s.evictForPlace(s.limits()); time.Sleep(evictionPoll) {
		if !s.HeadersOnly || time.Since(began) > checkWait {
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = newPlace(c)
	if tcp, ok := c.(*net.TCPConn); ok && s.SocketBytes > 0 {
		if raw, err := tcp.SyscallConn(); err == nil {
			// An error means that the connection has failed, which the next read returns.
			_ = raw.Control(func(fd uintptr) { sockets.Bound(fd, s.SocketBytes) })
		}
	}
	return true
}

// isFull reports whether there is no place for another connection. Only Run adds connections.
func (s *Server) isFull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.MaxConnections > 0 && len(s.open)-s.leaving >= s.MaxConnections
}

// placeOf returns the place of a connection.
func (s *Server) placeOf(c net.Conn) *place {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.open[c]
	if p == nil {
		p = newPlace(c)
		s.open[c] = p
	}
	return p
}

// remove removes a connection that has ended.
func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.open[c]; p != nil && p.isEvicted() {
		s.leaving--
	}
	delete(s.open, c)
}

// evictForPlace evicts the connection that has been stalled for longest, to make room for another one. It returns false if there is none, or too
// many are still on the way out.
func (s *Server) evictForPlace(limits site.Limits) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving <= max(minLeaving, s.MaxConnections/leavingShare) && s.evictLongest(limits, false) > 0
}

// evictForBytes evicts stalled connections that hold n bytes together, or as many as there are. It returns false if there are none.
func (s *Server) evictForBytes(limits site.Limits, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	freed := int64(0)
	for freed < n {
		held := s.evictLongest(limits, true)
		if held == 0 {
			break
		}
		freed += held
	}
	return freed > 0
}

// evictLongest evicts the connection that has been stalled for longest, of those that hold bytes if holders is set. It returns the bytes that
// it holds, at least 1, or 0 if no connection is stalled. The caller must hold mu.
func (s *Server) evictLongest(limits site.Limits, holders bool) (held int64) {
	now := time.Now()
	if now.Before(s.noSearch[holders]) {
		return 0
	}
	allowed := s.patience(now, limits)
	for range maxVictims {
		victim, longest, bytes := s.longestStalled(now, allowed, holders)
		if victim == nil {
			break
		}
		if victim.hasUnread() {
			victim.progress() // the process is late, not the caller
			continue
		}
		if victim.evict(now, longest) {
			s.leaving++
			s.shed(Stalled)
			return max(1, bytes)
		}
	}
	s.noSearch[holders] = now.Add(searchPause)
	return 0
}

// maxVictims limits the connections that a search finds stalled and does not evict.
const maxVictims = 8

// longestStalled returns the connection that has been stalled for longest, nil if there is none, for how long, and the bytes that it holds. The
// caller must hold mu.
func (s *Server) longestStalled(now time.Time, allowed patience, holders bool) (victim *place, longest time.Duration, held int64) {
	for _, p := range s.open {
		d, bytes := p.stalledFor(now, allowed)
		if d > longest && (!holders || bytes > 0) {
			victim, longest, held = p, d, bytes
		}
	}
	return victim, longest, held
}
