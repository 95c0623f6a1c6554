// Package stutter is an HTTP/1.1 server that sends each response twice. The second copy arrives late: once the next request on the connection
// has arrived, and before the response to that.
//
// # Usage
//
//	s, err := stutter.New(func(r *http.Request) string { return "HTTP/1.1 204 No Content\r\n\r\n" })
//	defer s.Close()
//	// a client calls s.Address()
package stutter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

// Server is a listening server.
type Server struct {
	listener net.Listener
	respond  func(r *http.Request) string

	mu       sync.Mutex
	conns    map[net.Conn]bool
	accepted int

	goroutines sync.WaitGroup
}

// New starts a server at a free port. respond returns the bytes of the response to a request, whose body has been read; it may be called
// concurrently.
func New(respond func(r *http.Request) string) (s *Server, err error) {
	defer func() { err = errors.Wrap(err, "start server") }()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s = &Server{listener: l, respond: respond, conns: map[net.Conn]bool{}}
	s.goroutines.Go(s.accept)
	return s, nil
}

// Address returns the address to which clients connect.
func (s *Server) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Accepted returns the number of connections that clients have opened.
func (s *Server) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.accepted++
		s.mu.Unlock()
		s.goroutines.Go(func() { s.serve(c) })
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
	br := bufio.NewReader(c)
	last := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		response := s.respond(r)
		if _, err = io.WriteString(c, last+response); err != nil || r.Close {
			return
		}
		last = response
	}
}
