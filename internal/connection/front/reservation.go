package front

import (
	"net/http"
	"time"
)

var (
	// errTooManyHeldBytes refuses a request with which all requests in progress would exceed MaxHeldBytes.
	errTooManyHeldBytes = &statusError{status: http.StatusServiceUnavailable, reason: "too much is held in memory; the request was not run"}
	// errEvicted refuses a request that made no progress while places or memory were short.
	errEvicted = &statusError{status: http.StatusServiceUnavailable, reason: "the request stalled while the gateway was full; it was not run"}
)

const (
	// headerFieldBytes is the memory for a header field beside its text: its name and value as strings, its entry in the map and in the slice of
	// values, and its part of the copy that is sent to an endpoint.
	headerFieldBytes = 200
	// freeHeaderBytes is the cost of a header that is part of the memory of each connection: some thirty fields of usual length.
	freeHeaderBytes = 8 << 10
	// smallShare is the part of MaxHeldBytes up to which a request is small, and largeShare the part that all others may use: a few large requests
	// leave room for small ones.
	smallShare = 1.0 / 16
	largeShare = 0.75
	// evictionWait is how long a request waits for the memory of evicted ones, and evictionPoll how often it looks for it.
	evictionWait = 100 * time.Millisecond
	evictionPoll = 5 * time.Millisecond
)

// reservation is the part of MaxHeldBytes that one request has reserved: for its header, and for its body beyond FreeBytes.
type reservation struct {
	server        *Server
	place         *place
	header, bytes int64
}

// holdHeader makes the reservation cover a header of the given cost.
func (r *reservation) holdHeader(cost int64) bool {
	if r == nil {
		return true
	}
	header := max(r.header, cost-freeHeaderBytes)
	if !r.grow(header - r.header) {
		return false
	}
	r.header = header
	return true
}

// holdBody makes the reservation cover the header and a body of n bytes.
func (r *reservation) holdBody(n int64) bool {
	return r.grow(r.header + max(0, n-r.server.FreeBytes) - r.bytes)
}

// fits reports whether there would be room for a body of n bytes if there were no other requests.
func (r *reservation) fits(n int64) bool {
	return r.server.MaxHeldBytes <= 0 || r.header+n-r.server.FreeBytes <= r.server.MaxHeldBytes
}

// grow adds n bytes to the reservation. If MaxHeldBytes would be exceeded, it evicts stalled connections that hold memory and waits for it, and
// otherwise returns false and adds nothing.
func (r *reservation) grow(n int64) bool {
	switch {
	case n <= 0 || r.add(n):
		return true
	case !r.server.evictForBytes(r.server.limits(), n):
		return false
	}
	for end := time.Now().Add(evictionWait); time.Now().Before(end); time.Sleep(evictionPoll) {
		if r.add(n) {
			return true
		}
	}
	return false
}

// add adds n bytes to the reservation. It returns false, and adds nothing, if MaxHeldBytes would be exceeded, or if a large request would leave
// no room for small ones and is not the only one.
func (r *reservation) add(n int64) bool {
	s := r.server
	limit := s.MaxHeldBytes
	held := s.heldBytes.Add(n)
	large := float64(r.bytes+n) > smallShare*float64(limit) && float64(held) > largeShare*float64(limit) && held > r.bytes+n
	if limit > 0 && (held > limit || large) {
		s.heldBytes.Add(-n)
		return false
	}
	r.bytes += n
	r.place.setHeld(r.bytes)
	return true
}

// release returns the reserved bytes to the server after the request has ended.
func (r *reservation) release() {
	r.server.heldBytes.Add(-r.bytes)
	r.bytes, r.header = 0, 0
	r.place.setHeld(0)
}
