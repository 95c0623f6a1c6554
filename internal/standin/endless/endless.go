// Package endless is a server that answers each call with bytes that never end.
//
// # Usage
//
//	s, err := endless.New(endless.Answers["chunks"])
//	defer s.Close()
//	// a client calls s.Address()
//	err = s.Closed(time.Second) // nil once the client has closed the connections
package endless

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Answer is sent as First once and then Again until the client closes the connection.
type Answer struct {
	First, Again string
	// Pause is the time before each Again.
	Pause time.Duration
}

const (
	head   = "HTTP/1.1 200 OK\r\n"
	chunks = head + "Transfer-Encoding: chunked\r\n\r\n"
)

var line = strings.Repeat("x", 1000)

// Answers are answers by what has no end in them.
var Answers = map[string]Answer{
	"status line":              {Again: line},
	"header line":              {First: head + "A: ", Again: line},
	"header lines":             {First: head, Again: "A: " + line + "\r\n"},
	"interim answers":          {Again: "HTTP/1.1 103 Early Hints\r\nA: " + line + "\r\n\r\n"},
	"blank lines":              {Again: "\r\n\r\n\r\n\r\n"},
	"body":                     {First: head + "\r\n", Again: line},
	"body with a length":       {First: head + "Content-Length: 9000000000000\r\n\r\n", Again: line},
	"chunks":                   {First: chunks, Again: "3e8\r\n" + line + "\r\n"},
	"chunk extension":          {First: chunks + "3e8;", Again: line},
	"trailer":                  {First: chunks + "0\r\n", Again: "A: " + line + "\r\n"},
	"JSON text":                {First: head + "\r\n{\"items\":[{\"metadata\":{\"name\":\"", Again: line},
	"JSON depth":               {First: head + "\r\n", Again: strings.Repeat("[", 1000)},
	"JSON list":                {First: head + "\r\n{\"items\":[{}", Again: ",{}"},
	"blanks before the JSON":   {First: head + "\r\n", Again: strings.Repeat(" ", 1000)},
	"slow header line":         {First: head + "A: ", Again: "x", Pause: 20 * time.Millisecond},
	"slow body":                {First: head + "\r\n", Again: "x", Pause: 20 * time.Millisecond},
	"slow chunks":              {First: chunks, Again: "1\r\nx\r\n", Pause: 20 * time.Millisecond},
	"silence":                  {Pause: time.Hour},
	"silence after the header": {First: chunks, Pause: time.Hour},
}

// Server is a server that gives an Answer to each call.
type Server struct {
	listener   net.Listener
	answer     Answer
	goroutines sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// New starts a server.
func New(a Answer) (s *Server, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s = &Server{listener: listener, answer: a, conns: map[net.Conn]bool{}}
	s.goroutines.Go(s.accept)
	return s, nil
}

// Address returns the address to which clients connect.
func (s *Server) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

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

// Closed waits until clients have closed all connections.
func (s *Server) Closed(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		open := len(s.conns)
		s.mu.Unlock()
		if open == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Newf("%d connections are still open", open)
		}
	}
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
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
	if _, err := http.ReadRequest(br); err != nil {
		return
	}
	left := make(chan struct{})
	go func() {
		defer close(left)
		_, _ = io.Copy(io.Discard, br)
	}()
	again := []byte(s.answer.Again) // not converted for each write, which would count as memory of the client in a test
	if s.answer.Pause == 0 {
		again = bytes.Repeat(again, 1+64<<10/len(again))
	}
	_, err := c.Write([]byte(s.answer.First))
	for err == nil {
		if s.answer.Pause > 0 {
			select {
			case <-left:
				return
			case <-time.After(s.answer.Pause):
			}
		}
		_, err = c.Write(again)
	}
}
