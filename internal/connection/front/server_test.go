package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/site"
)

// echo answers each request with its method, path and body.
type echo struct {
	// handled receives each request before it is answered.
	handled chan *Request
	// hold keeps a request until its caller leaves, if set.
	hold chan struct{}
}

func (e *echo) Handle(ctx context.Context, r *Request, w *Writer) {
	e.handled <- r
	if e.hold != nil {
		<-ctx.Done()
		close(e.hold)
		w.Abort()
		return
	}
	_ = w.Answer(http.StatusOK, http.Header{"X-Own": {"1"}}, []byte(r.Method+" "+r.Path+" "+string(r.Body)))
}

func start(t *testing.T, e *echo) (s *Server, addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s = New(e)
	s.Limits = func() site.Limits {
		return site.Limits{HeaderBytes: 1024, BodyBytes: 2048, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Run(context.Background(), l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.CloseAll()
		<-ended
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

// TestSmuggledRequests guards against a request inside another one: each of these headers lets two parsers differ on where
// the request ends.
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
			_, addr := start(t, e)
			c := dial(t, addr)
			_, err := io.WriteString(c, raw)
			is.NoErr(err)
			answer, err := io.ReadAll(c)
			is.NoErr(err)
			is.True(strings.HasPrefix(string(answer), "HTTP/1.1 400")) // refused, and the connection closed
			is.Equal(len(e.handled), 0)                                // neither request was handled
		})
	}
}

// TestBodies guards against bodies that arrive short, long or with bytes of the next request.
func TestBodies(t *testing.T) {
	is := is.New(t)
	e := &echo{handled: make(chan *Request, 8)}
	_, addr := start(t, e)
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
	is.Equal((<-e.handled).Target, "/c?q") // the query is kept
}

// TestLimits guards against callers that send more than operators allow.
func TestLimits(t *testing.T) {
	for name, c := range map[string]struct{ raw, want string }{
		"header": {"GET / HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("a", 8000) + "\r\n\r\n", "HTTP/1.1 431"},
		"body":   {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2049\r\n\r\n", "HTTP/1.1 413"},
		"chunks": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n801\r\n" + strings.Repeat("a", 0x801) + "\r\n0\r\n\r\n", "HTTP/1.1 413"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &echo{handled: make(chan *Request, 8)}
			_, addr := start(t, e)
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

// TestCallerLeaves guards against work that goes on for nobody.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	e := &echo{handled: make(chan *Request, 1), hold: make(chan struct{})}
	_, addr := start(t, e)
	c := dial(t, addr)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-e.handled
	is.NoErr(c.Close())
	select {
	case <-e.hold:
	case <-time.After(3 * time.Second):
		t.Fatal("the request's context was not cancelled after its caller left")
	}
}

// TestDrain guards against a stop that cuts a request off, and one that keeps connections open for ever.
func TestDrain(t *testing.T) {
	is := is.New(t)
	e := &echo{handled: make(chan *Request, 8)}
	s, addr := start(t, e)
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
	is.Equal(response.StatusCode, http.StatusOK) // a request on a kept connection is still answered
	is.True(response.Close)                      // and its connection ends
	_, err = io.ReadAll(br)
	is.NoErr(err)
}

// cut answers with less than it announced.
type cut struct{ chunked bool }

func (h *cut) Handle(_ context.Context, _ *Request, w *Writer) {
	length := int64(10)
	if h.chunked {
		length = -1
	}
	_ = w.Start(http.StatusOK, http.Header{}, length)
	_, _ = w.Write([]byte("abc"))
	_ = w.Flush()
	w.Abort()
}

// TestCutAnswerLooksIncomplete guards against an answer that ends early and looks whole.
func TestCutAnswerLooksIncomplete(t *testing.T) {
	for name, chunked := range map[string]bool{"length": false, "chunks": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			s := New(&cut{chunked: chunked})
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

// arriving is a connection on which a request arrives just as it is closed: its first read returns the request after close
// has been called.
type arriving struct {
	net.Conn
	request []byte
	reading chan struct{}
	closed  chan struct{}
}

func (c *arriving) Read(p []byte) (int, error) {
	if c.request == nil {
		return 0, io.EOF
	}
	close(c.reading)
	<-c.closed
	n := copy(p, c.request)
	c.request = nil
	return n, nil
}

func (c *arriving) Close() error {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return nil
}

func (c *arriving) SetReadDeadline(time.Time) error  { return nil }
func (c *arriving) SetWriteDeadline(time.Time) error { return nil }
func (c *arriving) Write([]byte) (int, error)        { return 0, net.ErrClosed }

// TestRequestCrossesClose guards against passing on a request that arrives as its idle connection is closed at a planned
// stop: it would run, and nobody would get its answer.
func TestRequestCrossesClose(t *testing.T) {
	is := is.New(t)
	e := &echo{handled: make(chan *Request, 1)}
	s := New(e)
	c := &arriving{request: []byte("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"), reading: make(chan struct{}), closed: make(chan struct{})}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.serve(context.Background(), c)
	}()
	<-c.reading
	s.CloseIdle()
	<-ended
	is.Equal(len(e.handled), 0)
}
