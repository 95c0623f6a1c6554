package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// waiting answers a request once it is told to.
type waiting struct {
	arrived chan struct{}
	answer  chan struct{}
}

func (h *waiting) Handle(_ context.Context, _ *Request, w *Writer) {
	h.arrived <- struct{}{}
	<-h.answer
	_ = w.Answer(http.StatusOK, http.Header{}, []byte("ok"))
}

func startBounded(t testing.TB, h Handler, set func(s *Server)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(h)
	set(s)
	ended := make(chan error, 1)
	go func() { ended <- s.Run(context.Background(), l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.CloseAll()
		<-ended
	})
	return l.Addr().String()
}

func status(c net.Conn) (int, http.Header, error) {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	return response.StatusCode, response.Header, nil
}

// TestBoundOfConnections guards against a process that runs out of descriptors or memory by its callers' connections, and against
// one that reads a request which it will not serve.
func TestBoundOfConnections(t *testing.T) {
	is := is.New(t)
	var shed atomic.Int32
	addr := startBounded(t, &echo{handled: make(chan *Request, 10)}, func(s *Server) {
		s.MaxConnections = 2
		s.Shed = func(what Excess) {
			if what == Connections {
				shed.Add(1)
			}
		}
	})
	ask := func(c net.Conn) error {
		_, _ = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
		_, _, err := status(c)
		return err
	}
	first, second := dial(t, addr), dial(t, addr)
	is.NoErr(ask(first))
	is.NoErr(ask(second))
	is.True(ask(dial(t, addr)) != nil)
	is.Equal(shed.Load(), int32(1))
	is.NoErr(ask(first)) // the others go on
	_ = second.Close()
	for deadline := time.Now().Add(5 * time.Second); ask(dial(t, addr)) != nil; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no connection is taken although one has ended")
		}
	}
}

// TestBoundOfHeldBytes guards against a process that runs out of memory by bodies, against a bound that counts a body for ever,
// and against a refusal that does not say when to come back.
func TestBoundOfHeldBytes(t *testing.T) {
	for name, body := range map[string]string{
		"length":  "Content-Length: 600\r\n\r\n" + strings.Repeat("x", 600),
		"chunked": "Transfer-Encoding: chunked\r\n\r\n258\r\n" + strings.Repeat("x", 600) + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &waiting{arrived: make(chan struct{}, 100), answer: make(chan struct{})}
			addr := startBounded(t, h, func(s *Server) {
				s.MaxHeldBytes = 1000
				s.Overloaded = func() http.Header { return http.Header{"Retry-After": {"0.50"}} }
			})
			send := func() net.Conn {
				c := dial(t, addr)
				_, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\n"+body)
				is.NoErr(err)
				return c
			}
			first := send()
			<-h.arrived
			got, header, err := status(send())
			is.NoErr(err)
			is.Equal(got, http.StatusServiceUnavailable)
			is.Equal(header.Get("Retry-After"), "0.50")
			is.Equal(len(h.arrived), 0) // it was not handled
			h.answer <- struct{}{}
			got, _, err = status(first)
			is.NoErr(err)
			is.Equal(got, http.StatusOK)
			close(h.answer)
			for range 3 { // the room is free again once a request has ended, which is just after its answer
				got = 0
				for deadline := time.Now().Add(5 * time.Second); got != http.StatusOK && time.Now().Before(deadline); {
					got, _, err = status(send())
					is.NoErr(err)
				}
				is.Equal(got, http.StatusOK)
			}
		})
	}
}

// BenchmarkConnections measures the heap and stacks that kept connections take.
func BenchmarkConnections(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			for b.Loop() {
				addr := startBounded(b, &echo{handled: make(chan *Request, n)}, func(*Server) {})
				before := memory()
				open := make([]net.Conn, n)
				for i := range open {
					c, err := net.Dial("tcp", addr)
					if err != nil {
						b.Fatal(err)
					}
					open[i] = c
					_, _ = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
					if _, _, err := status(c); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(memory()-before)/float64(n), "B/connection")
				for _, c := range open {
					_ = c.Close()
				}
			}
		})
	}
}

func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
