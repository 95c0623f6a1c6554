package front

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/site"
)

// echo is a Handler that responds to each request with its method, path and body.
type echo struct {
	// handled receives each request before its response is written.
	handled chan *Request
	// cancelled, if set, makes Handle wait until its context is cancelled, and is then closed.
	cancelled chan struct{}
}

func (e *echo) Handle(ctx context.Context, r *Request, w *Writer) {
	e.handled <- r
	if e.cancelled != nil {
		<-ctx.Done()
		close(e.cancelled)
		w.Abort()
		return
	}
	_ = w.Answer(http.StatusOK, http.Header{"X-Own": {"1"}}, []byte(r.Method+" "+r.Path+" "+string(r.Body)))
}

func startEcho(t *testing.T, e *echo) (s *Server, addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s = New(e)
	s.Limits = func() site.Limits {
		return site.Limits{HeaderBytes: 1024, BodyBytes: 2048, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	}
	runErr := make(chan error, 1)
	go func() { runErr <- s.Run(context.Background(), l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.CloseAll()
		<-runErr
	})
	return s, l.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestSmuggledRequests guards against request smuggling: with each of these headers two parsers may disagree on where the request
// ends, so that a part of it is handled as another request.
func TestSmuggledRequests(t *testing.T) {
	inner := "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n"
	cases := map[string]string{
		"length and chunked":     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		"two lengths":            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 36\r\n\r\n" + inner,
		"two encodings":          "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + inner,
		"unknown encoding":       "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + inner,
		"bare line feed":         "POST /a HTTP/1.1\nHost: h\nContent-Length: 0\n\n" + inner,
		"bare carriage return":   "POST /a HTTP/1.1\r\nHost: h\r\nX-A: b\rContent-Length: 5\r\n\r\n" + inner,
		"folded line":            "POST /a HTTP/1.1\r\nHost: h\r\nX-A: b\r\n Content-Length: 5\r\n\r\n" + inner,
		"space before colon":     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 36\r\n\r\n" + inner,
		"list of lengths":        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0, 36\r\n\r\n" + inner,
		"signed length":          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +36\r\n\r\n" + inner,
		"chunk size with prefix": "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x0\r\n\r\n" + inner,
	}
	for name, raw := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &echo{handled: make(chan *Request, 8)}
			_, addr := startEcho(t, e)
			c := dial(t, addr)
			_, err := io.WriteString(c, raw)
			is.NoErr(err)
			answer, err := io.ReadAll(c)
			is.NoErr(err)
			is.True(strings.HasPrefix(string(answer), "HTTP/1.1 400")) // the request is refused, and the connection closed
			is.Equal(len(e.handled), 0)                                // neither request was handled
		})
	}
}

// TestRequestBodies guards against bodies that lack bytes or contain bytes of the next pipelined request.
func TestRequestBodies(t *testing.T) {
	is := is.New(t)
	e := &echo{handled: make(chan *Request, 8)}
	_, addr := startEcho(t, e)
	c := dial(t, addr)
	_, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"+
		"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n"+
		"GET /c?q HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	br := bufio.NewReader(c)
	for _, want := range []string{"POST /a abc", "POST /b def", "GET /c "} {
		response, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), want)
	}
	is.Equal((<-e.handled).Target, "/a")
	is.Equal((<-e.handled).Target, "/b")
	is.Equal((<-e.handled).Target, "/c?q") // Target includes the query
}

// TestLimits guards against headers and bodies above the configured limits.
func TestLimits(t *testing.T) {
	for name, c := range map[string]struct{ raw, want string }{
		"header": {"GET / HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("a", 8000) + "\r\n\r\n", "HTTP/1.1 431"},
		"body":   {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2049\r\n\r\n", "HTTP/1.1 413"},
		"chunks": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n801\r\n" + strings.Repeat("a", 0x801) + "\r\n0\r\n\r\n", "HTTP/1.1 413"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &echo{handled: make(chan *Request, 8)}
			_, addr := startEcho(t, e)
			conn := dial(t, addr)
			_, err := io.WriteString(conn, c.raw)
			is.NoErr(err)
			answer, err := io.ReadAll(conn)
			is.NoErr(err)
			is.True(strings.HasPrefix(string(answer), c.want))
			is.Equal(len(e.handled), 0)
		})
	}
}

// TestCallerDisconnect guards against a handler that is not cancelled after its caller has disconnected.
func TestCallerDisconnect(t *testing.T) {
	is := is.New(t)
	e := &echo{handled: make(chan *Request, 1), cancelled: make(chan struct{})}
	_, addr := startEcho(t, e)
	c := dial(t, addr)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-e.handled
	is.NoErr(c.Close())
	select {
	case <-e.cancelled:
	case <-time.After(3 * time.Second):
		t.Fatal("the request's context was not cancelled within 3 s of the disconnect of its caller")
	}
}

// TestDrain guards against a graceful shutdown that fails requests, and one that never closes connections.
func TestDrain(t *testing.T) {
	is := is.New(t)
	e := &echo{handled: make(chan *Request, 8)}
	s, addr := startEcho(t, e)
	c := dial(t, addr)
	br := bufio.NewReader(c)
	_, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, response.Body)
	is.True(!response.Close)
	s.Drain()
	_, err = io.WriteString(c, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	response, err = http.ReadResponse(br, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK) // a request on an open connection is still handled
	is.True(response.Close)                      // and the connection closes after it
	_, err = io.ReadAll(br)
	is.NoErr(err)
}

// truncating is a Handler that aborts its response before the end of the body.
type truncating struct{ chunked bool }

func (h *truncating) Handle(_ context.Context, _ *Request, w *Writer) {
	length := int64(10)
	if h.chunked {
		length = -1
	}
	_ = w.Start(http.StatusOK, http.Header{}, length)
	_, _ = w.Write([]byte("abc"))
	_ = w.Flush()
	w.Abort()
}

// TestAbortedResponseIsIncomplete guards against a truncated response that the caller takes for complete.
func TestAbortedResponseIsIncomplete(t *testing.T) {
	for name, chunked := range map[string]bool{"length": false, "chunks": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			s := New(&truncating{chunked: chunked})
			ended := make(chan error, 1)
			go func() { ended <- s.Run(context.Background(), l) }()
			defer func() {
				_ = l.Close()
				<-ended
			}()
			c := dial(t, l.Addr().String())
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			_, err = io.ReadAll(response.Body)
			is.True(err != nil)
		})
	}
}

// racingConn is a connection on which a request arrives just as CloseIdle interrupts it: its first Read returns the request after that, or
// a timeout if there is none.
type racingConn struct {
	net.Conn
	request     []byte
	reading     chan struct{}
	interrupted chan struct{}
	once        sync.Once

	mu      sync.Mutex
	written []byte
	closed  bool
}

func (c *racingConn) Read(p []byte) (int, error) {
	c.once.Do(func() { close(c.reading) })
	<-c.interrupted
	if len(c.request) == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(p, c.request)
	c.request = c.request[n:]
	return n, nil
}

func (c *racingConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return nil
}

func (c *racingConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.Equal(interrupted) {
		select {
		case <-c.interrupted:
		default:
			close(c.interrupted)
		}
	}
	return nil
}

func (c *racingConn) SetWriteDeadline(time.Time) error { return nil }

func (c *racingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.written = append(c.written, p...)
	return len(p), nil
}

// TestRequestArrivesDuringCloseIdle guards against a request that arrives while CloseIdle closes its connection in a graceful shutdown, and
// runs although its response can't be sent, or gets none; and against a connection without a request that stays open.
func TestRequestArrivesDuringCloseIdle(t *testing.T) {
	for name, request := range map[string]string{"request": "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "none": ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &echo{handled: make(chan *Request, 1)}
			s := New(e)
			c := &racingConn{request: []byte(request), reading: make(chan struct{}), interrupted: make(chan struct{})}
			ended := make(chan struct{})
			s.Drain()
			go func() {
				defer close(ended)
				s.serve(context.Background(), c)
			}()
			<-c.reading
			s.CloseIdle()
			<-ended
			is.True(c.closed)
			if request == "" {
				is.Equal(len(e.handled), 0)
				is.Equal(len(c.written), 0)
				return
			}
			is.Equal(len(e.handled), 1)
			response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(c.written)), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.True(response.Close)
		})
	}
}
