package endpoint

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// fakeEndpoint accepts connections as an endpoint does and records the requests that it reads.
type fakeEndpoint struct {
	addr netip.AddrPort
	// stop makes it accept no more connections.
	stop func()

	mu         sync.Mutex
	requestIDs []string
}

// startEndpoint starts a fakeEndpoint that calls handle for each connection with the number n of the connection, from 0.
func startEndpoint(t *testing.T, handle func(s *fakeEndpoint, n int, c net.Conn, br *bufio.Reader)) *fakeEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeEndpoint{addr: netip.MustParseAddrPort(l.Addr().String()), stop: func() { _ = l.Close() }}
	var work sync.WaitGroup
	work.Go(func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			work.Go(func() {
				defer c.Close()
				handle(s, n, c, bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		work.Wait()
	})
	return s
}

// readRequest reads a request with its body and records its ID.
func (s *fakeEndpoint) readRequest(br *bufio.Reader) (id string, ok bool) {
	request, err := http.ReadRequest(br)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	id = request.Header.Get("Id")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestIDs = append(s.requestIDs, id)
	return id, true
}

func (s *fakeEndpoint) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requestIDs)
}

// countOf returns how many requests with an ID were read.
func (s *fakeEndpoint) countOf(id string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, read := range s.requestIDs {
		if read == id {
			n++
		}
	}
	return n
}

func formatResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newCall(id string) *Call {
	return &Call{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"),
		Matches: func(_ int, h http.Header, _ bool) bool { return h.Get("Id") == id }}
}

// send sends a call and returns the body of its response.
func send(t *testing.T, p *Pool, s *fakeEndpoint, id string) (body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a, err := p.Send(ctx, Target{ID: "e1", Address: s.addr}, newCall(id))
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

// newPool returns a pool whose connections are closed at the end of the test.
func newPool(t *testing.T) *Pool {
	t.Helper()
	p := New()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return p
}

// TestStrayResponseIsSkipped guards against returning a late second response to an earlier request to the next caller.
func TestStrayResponseIsSkipped(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, func(s *fakeEndpoint, _ int, c net.Conn, br *bufio.Reader) {
		id, _ := s.readRequest(br)
		_, _ = io.WriteString(c, formatResponse(id, "first"))
		if _, ok := s.readRequest(br); !ok {
			return
		}
		// The second response to the first request arrives after the second request has been sent.
		_, _ = io.WriteString(c, formatResponse(id, "again")+formatResponse("2", "second"))
	})
	p := newPool(t)
	body, err := send(t, p, s, "1")
	is.NoErr(err)
	is.Equal(body, "first")
	body, err = send(t, p, s, "2")
	is.NoErr(err)
	is.Equal(body, "second")
}

// TestSurplusBytesAfterResponse guards against taking bytes after a complete response for the start of the next response.
func TestSurplusBytesAfterResponse(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, func(s *fakeEndpoint, _ int, c net.Conn, br *bufio.Reader) {
		for {
			id, ok := s.readRequest(br)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, formatResponse(id, "ok "+id)+"surplus")
		}
	})
	p := newPool(t)
	for _, id := range []string{"1", "2", "3"} {
		body, err := send(t, p, s, id)
		is.NoErr(err)
		is.Equal(body, "ok "+id)
		time.Sleep(10 * time.Millisecond)
	}
}

// TestClosedIdleConnection guards against a request that fails or runs twice because the endpoint has closed the idle connection.
func TestClosedIdleConnection(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, func(s *fakeEndpoint, _ int, c net.Conn, br *bufio.Reader) {
		id, _ := s.readRequest(br)
		_, _ = io.WriteString(c, formatResponse(id, id))
	})
	p := newPool(t)
	for n := range 5 {
		id := fmt.Sprint(n)
		body, err := send(t, p, s, id)
		is.NoErr(err)
		is.Equal(body, id)
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(s.requestCount(), 5)
}

// TestConnectionClosedDuringRequest guards against a retry of a request that may have run: the endpoint closes the connection after
// it has read the request.
func TestConnectionClosedDuringRequest(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, func(s *fakeEndpoint, n int, c net.Conn, br *bufio.Reader) {
		id, _ := s.readRequest(br)
		if n == 0 {
			_, _ = io.WriteString(c, formatResponse(id, id))
			_, _ = s.readRequest(br)
		}
	})
	p := newPool(t)
	_, err := send(t, p, s, "1")
	is.NoErr(err)
	_, err = send(t, p, s, "2")
	is.True(errors.Is(err, ErrBroken))
	is.True(!errors.Is(err, ErrNotSent))
	is.Equal(s.requestCount(), 2) // the second request arrived once
}

// TestTruncatedResponses guards against taking a truncated response for a complete one.
func TestTruncatedResponses(t *testing.T) {
	for name, raw := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nabc",
		"chunks":  "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"header":  "HTTP/1.1 200 OK\r\nId: 1\r\n",
		"no HTTP": "\x00\x01garbage\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startEndpoint(t, func(s *fakeEndpoint, _ int, c net.Conn, br *bufio.Reader) {
				_, _ = s.readRequest(br)
				_, _ = io.WriteString(c, raw)
			})
			_, err := send(t, newPool(t), s, "1")
			is.True(errors.Is(err, ErrBroken))
		})
	}
}

// TestResetOfResponseWithoutLength guards against taking a response without a length for complete although its connection was
// reset.
func TestResetOfResponseWithoutLength(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, func(s *fakeEndpoint, _ int, c net.Conn, br *bufio.Reader) {
		_, _ = s.readRequest(br)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabc")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, err := send(t, newPool(t), s, "1")
	is.True(errors.Is(err, ErrBroken))
}

// TestContextEndsBeforeError guards against taking an exceeded deadline for a broken connection: when Send fails because of the
// deadline, ctx.Err must already return an error.
func TestContextEndsBeforeError(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, func(s *fakeEndpoint, _ int, c net.Conn, br *bufio.Reader) {
		_, _ = s.readRequest(br)
		_, _ = io.Copy(io.Discard, c)
	})
	p := newPool(t)
	for range 200 {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Millisecond)
		_, err := p.Send(ctx, Target{ID: "e1", Address: s.addr}, newCall("1"))
		is.True(err != nil)
		is.True(ctx.Err() != nil)
		cancel()
	}
}

// TestUnreachableEndpoint guards against reporting a request as sent although the dial failed.
func TestUnreachableEndpoint(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := netip.MustParseAddrPort(l.Addr().String())
	is.NoErr(l.Close())
	_, err = New().Send(context.Background(), Target{ID: "e1", Address: addr}, newCall("1"))
	is.True(errors.Is(err, ErrNotSent))
	is.True(!errors.Is(err, ErrBroken))
}

// TestConnectionLimit guards against opening more connections than MaxConnections.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, func(s *fakeEndpoint, _ int, _ net.Conn, br *bufio.Reader) {
		_, _ = s.readRequest(br)
		_, _ = s.readRequest(br)
	})
	p := newPool(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	target := Target{ID: "e1", Address: s.addr, MaxConnections: 1}
	go func() {
		_, err := p.Send(ctx, target, newCall("1"))
		ended <- err
	}()
	for s.requestCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := p.Send(context.Background(), target, newCall("2"))
	is.True(errors.Is(err, ErrNoConnection))
	is.True(errors.Is(err, ErrNotSent))
	cancel()
	is.True(errors.Is(<-ended, ErrBroken))
}

// TestResponseBeforeBodyIsRead guards against sending the next request where the endpoint still expects the rest of a body: the
// endpoint responds before it has read the body, and reads the rest later.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	is := is.New(t)
	long := make([]byte, 8<<20)
	bodyBytes := make(chan int64, 1)
	s := startEndpoint(t, func(s *fakeEndpoint, n int, c net.Conn, br *bufio.Reader) {
		if n == 0 {
			request, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, formatResponse(request.Header.Get("Id"), "early"))
			time.Sleep(50 * time.Millisecond)
			read, _ := io.Copy(io.Discard, request.Body)
			bodyBytes <- read
		}
		for {
			id, ok := s.readRequest(br)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, formatResponse(id, id))
		}
	})
	p := newPool(t)
	first := newCall("1")
	first.Body = long
	a, err := p.Send(context.Background(), Target{ID: "e1", Address: s.addr}, first)
	is.NoErr(err)
	_, err = io.ReadAll(a.Body)
	is.NoErr(err)
	a.Close()
	body, err := send(t, p, s, "2")
	is.NoErr(err)
	is.Equal(body, "2")
	is.True(<-bodyBytes <= int64(len(long))) // the rest was sent, or the connection was closed
	is.Equal(s.requestCount(), 1)            // no byte of the second request was read as a part of the body
}

// TestResponseReadAfterRun guards against a connection that is never closed because its response was read to the end only after Run
// had closed the idle connections.
func TestResponseReadAfterRun(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	s := startEndpoint(t, func(s *fakeEndpoint, _ int, c net.Conn, br *bufio.Reader) {
		id, _ := s.readRequest(br)
		_, _ = io.WriteString(c, formatResponse(id, "body"))
		_, _ = s.readRequest(br)
		close(closed)
	})
	p := New()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	a, err := p.Send(context.Background(), Target{ID: "e1", Address: s.addr}, newCall("r1"))
	is.NoErr(err)
	cancel()
	is.NoErr(<-ended)
	_, err = io.ReadAll(a.Body)
	is.NoErr(err)
	a.Close()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		p.Drop(Target{ID: "e1", Address: s.addr})
		t.Fatal("the connection is still open 5 s after its response was closed")
	}
}

// TestRequestOfCallerThatLeft guards against a request that is sent although its caller has disconnected or its deadline has passed.
func TestRequestOfCallerThatLeft(t *testing.T) {
	is := is.New(t)
	s := startEndpoint(t, func(s *fakeEndpoint, _ int, c net.Conn, br *bufio.Reader) {
		for {
			id, ok := s.readRequest(br)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, formatResponse(id, "answer"))
		}
	})
	p := newPool(t)
	_, err := send(t, p, s, "first")
	is.NoErr(err) // its connection is kept
	for range 50 {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := p.Send(ctx, Target{ID: "e1", Address: s.addr}, newCall("late"))
		is.True(errors.Is(err, ErrNotSent))
	}
	time.Sleep(50 * time.Millisecond)
	is.Equal(s.requestCount(), 1)
}
