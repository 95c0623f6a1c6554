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

// server plays an endpoint: play is called for each connection with its number, from 0.
type server struct {
	addr netip.AddrPort

	mu       sync.Mutex
	arrivals []string
}

func serve(t *testing.T, play func(s *server, n int, c net.Conn, br *bufio.Reader)) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{addr: netip.MustParseAddrPort(l.Addr().String())}
	var work sync.WaitGroup
	work.Go(func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			work.Go(func() {
				defer c.Close()
				play(s, n, c, bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		work.Wait()
	})
	return s
}

// next reads a request with its body and records its identity.
func (s *server) next(br *bufio.Reader) (id string, ok bool) {
	request, err := http.ReadRequest(br)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	id = request.Header.Get("Id")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, id)
	return id, true
}

func (s *server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.arrivals)
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func call(id string) *Call {
	return &Call{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"),
		Mine: func(_ int, h http.Header) bool { return h.Get("Id") == id }}
}

// exchange sends one call and returns the body of its answer.
func send(t *testing.T, p *Pool, s *server, id string) (body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a, err := p.Send(ctx, Target{ID: "e1", Address: s.addr}, call(id))
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

// TestAnswerOfEarlierRequest guards against handing a late second answer to the next caller.
func TestAnswerOfEarlierRequest(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(s *server, _ int, c net.Conn, br *bufio.Reader) {
		id, _ := s.next(br)
		_, _ = io.WriteString(c, answer(id, "first"))
		if _, ok := s.next(br); !ok {
			return
		}
		// The second answer to the first request arrives when the second request has been sent.
		_, _ = io.WriteString(c, answer(id, "again")+answer("2", "second"))
	})
	p := newPool(t)
	body, err := send(t, p, s, "1")
	is.NoErr(err)
	is.Equal(body, "first")
	body, err = send(t, p, s, "2")
	is.NoErr(err)
	is.Equal(body, "second")
}

// TestSurplusBytes guards against taking bytes after a whole answer for the start of the next one.
func TestSurplusBytes(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(s *server, _ int, c net.Conn, br *bufio.Reader) {
		for {
			id, ok := s.next(br)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, answer(id, "ok "+id)+"surplus")
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

// TestClosedIdleConnection guards against a request that fails, or runs twice, since its kept connection was closed.
func TestClosedIdleConnection(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(s *server, _ int, c net.Conn, br *bufio.Reader) {
		id, _ := s.next(br)
		_, _ = io.WriteString(c, answer(id, id))
	})
	p := newPool(t)
	for n := range 5 {
		id := fmt.Sprint(n)
		body, err := send(t, p, s, id)
		is.NoErr(err)
		is.Equal(body, id)
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(s.count(), 5)
}

// TestBrokenUnderRequest guards against repeating a request that may have run: the connection ends after the request was
// read.
func TestBrokenUnderRequest(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(s *server, n int, c net.Conn, br *bufio.Reader) {
		id, _ := s.next(br)
		if n == 0 {
			_, _ = io.WriteString(c, answer(id, id))
			_, _ = s.next(br)
		}
	})
	p := newPool(t)
	_, err := send(t, p, s, "1")
	is.NoErr(err)
	_, err = send(t, p, s, "2")
	is.True(errors.Is(err, ErrBroken))
	is.True(!errors.Is(err, ErrNotSent))
	is.Equal(s.count(), 2) // it arrived once
}

// TestCutAnswers guards against taking a cut answer for a whole one.
func TestCutAnswers(t *testing.T) {
	for name, raw := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nabc",
		"chunks":  "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"header":  "HTTP/1.1 200 OK\r\nId: 1\r\n",
		"no HTTP": "\x00\x01garbage\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(s *server, _ int, c net.Conn, br *bufio.Reader) {
				_, _ = s.next(br)
				_, _ = io.WriteString(c, raw)
			})
			_, err := send(t, newPool(t), s, "1")
			is.True(errors.Is(err, ErrBroken))
		})
	}
}

// TestResetWithoutLength guards against taking an answer without length for whole when its connection was reset.
func TestResetWithoutLength(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(s *server, _ int, c net.Conn, br *bufio.Reader) {
		_, _ = s.next(br)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nabc")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, err := send(t, newPool(t), s, "1")
	is.True(errors.Is(err, ErrBroken))
}

// TestDeadlineIsTheCallers guards against taking the end of a caller's time for a broken connection: a caller that asks its
// context after an error must see that its time is over.
func TestDeadlineIsTheCallers(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(s *server, _ int, c net.Conn, br *bufio.Reader) {
		_, _ = s.next(br)
		_, _ = io.Copy(io.Discard, c)
	})
	p := newPool(t)
	for range 200 {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Millisecond)
		_, err := p.Send(ctx, Target{ID: "e1", Address: s.addr}, call("1"))
		is.True(err != nil)
		is.True(ctx.Err() != nil)
		cancel()
	}
}

// TestUnreachable guards against calling a request sent that never left.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := netip.MustParseAddrPort(l.Addr().String())
	is.NoErr(l.Close())
	_, err = New().Send(context.Background(), Target{ID: "e1", Address: addr}, call("1"))
	is.True(errors.Is(err, ErrNotSent))
	is.True(!errors.Is(err, ErrBroken))
}

// TestConnectionLimit guards against opening more connections than the endpoint accepts.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(s *server, _ int, _ net.Conn, br *bufio.Reader) {
		_, _ = s.next(br)
		_, _ = s.next(br)
	})
	p := newPool(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	target := Target{ID: "e1", Address: s.addr, MaxConnections: 1}
	go func() {
		_, err := p.Send(ctx, target, call("1"))
		ended <- err
	}()
	for s.count() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := p.Send(context.Background(), target, call("2"))
	is.True(errors.Is(err, ErrNoConnection))
	is.True(errors.Is(err, ErrNotSent))
	cancel()
	is.True(errors.Is(<-ended, ErrBroken))
}

// TestEarlyAnswer guards against putting other bytes where the rest of a body is due: the endpoint answers before it has
// read the body, and reads on later.
func TestEarlyAnswer(t *testing.T) {
	is := is.New(t)
	long := make([]byte, 8<<20)
	rest := make(chan int64, 1)
	s := serve(t, func(s *server, n int, c net.Conn, br *bufio.Reader) {
		if n == 0 {
			request, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer(request.Header.Get("Id"), "early"))
			time.Sleep(50 * time.Millisecond)
			read, _ := io.Copy(io.Discard, request.Body)
			rest <- read
		}
		for {
			id, ok := s.next(br)
			if !ok {
				return
			}
			_, _ = io.WriteString(c, answer(id, id))
		}
	})
	p := newPool(t)
	first := call("1")
	first.Body = long
	a, err := p.Send(context.Background(), Target{ID: "e1", Address: s.addr}, first)
	is.NoErr(err)
	_, err = io.ReadAll(a.Body)
	is.NoErr(err)
	a.Close()
	body, err := send(t, p, s, "2")
	is.NoErr(err)
	is.Equal(body, "2")
	is.True(<-rest <= int64(len(long))) // the rest was sent, or the connection was closed
	is.Equal(s.count(), 1)              // nothing of the second request went where the body was due
}

// TestAnswerReadAfterRun guards against a connection that stays open for good because its answer was read to the end only after
// the pool had closed its idle connections.
func TestAnswerReadAfterRun(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	s := serve(t, func(s *server, _ int, c net.Conn, br *bufio.Reader) {
		id, _ := s.next(br)
		_, _ = io.WriteString(c, answer(id, "body"))
		_, _ = s.next(br)
		close(closed)
	})
	p := New()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	a, err := p.Send(context.Background(), Target{ID: "e1", Address: s.addr}, call("r1"))
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
		t.Fatal("the connection is still open")
	}
}
