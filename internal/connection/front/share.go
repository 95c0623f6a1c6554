package front

import (
	"io"
	"net/http"
)

// errTooMuchHeld refuses a request whose body does not fit beside the bodies of the requests under way.
var errTooMuchHeld = &badRequest{status: http.StatusServiceUnavailable, reason: "too much is held in memory; the request was not run"}

// share is the part of one request in the bytes that a server holds.
type share struct {
	server *Server
	bytes  int64
}

// take adds n bytes to the share and returns false if the server holds too much.
func (s *share) take(n int64) bool {
	limit := s.server.MaxHeldBytes
	if held := s.server.held.Add(n); limit > 0 && held > limit {
		s.server.held.Add(-n)
		return false
	}
	s.bytes += n
	return true
}

// release gives the share back once the request has ended.
func (s *share) release() {
	s.server.held.Add(-s.bytes)
	s.bytes = 0
}

// heldReader reads a body whose length is not known.
type heldReader struct {
	from io.Reader
	held *share
}

// Read implements io.Reader.
func (r *heldReader) Read(p []byte) (n int, err error) {
	n, err = r.from.Read(p)
	if n > 0 && !r.held.take(int64(n)) {
		return 0, errTooMuchHeld
	}
	return n, err
}
