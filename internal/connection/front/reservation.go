package front

import (
	"io"
	"net/http"
)

// errTooManyHeldBytes refuses a request with whose body the bodies of all requests in progress would exceed MaxHeldBytes.
var errTooManyHeldBytes = &statusError{status: http.StatusServiceUnavailable, reason: "too much is held in memory; the request was not run"}

// reservation is the part of MaxHeldBytes that one request has reserved.
type reservation struct {
	server *Server
	bytes  int64
}

// reserve adds n bytes to the reservation. It returns false, and adds nothing, if MaxHeldBytes would be exceeded.
func (r *reservation) reserve(n int64) bool {
	limit := r.server.MaxHeldBytes
	if held := r.server.heldBytes.Add(n); limit > 0 && held > limit {
		r.server.heldBytes.Add(-n)
		return false
	}
	r.bytes += n
	return true
}

// release returns the reserved bytes to the server after the request has ended.
func (r *reservation) release() {
	r.server.heldBytes.Add(-r.bytes)
	r.bytes = 0
}

// reservingReader reads a body of unknown length and reserves memory for it as it arrives.
type reservingReader struct {
	source      io.Reader
	reservation *reservation
}

// Read implements io.Reader.
func (r *reservingReader) Read(p []byte) (n int, err error) {
	n, err = r.source.Read(p)
	if n > 0 && !r.reservation.reserve(int64(n)) {
		return 0, errTooManyHeldBytes
	}
	return n, err
}
