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

// blocking is a Handler that answers a request after it has received a value from the channel answer.
type blocking struct {
	arrived chan struct{}
	answer  chan struct{}
}

func (h *blocking) Handle(_ context.Context, _ *Request, w *Writer) {
	h.arrived <- struct{}{}
	<-h.answer
	_ = w.Answer(http.StatusOK, http.Header{}, []byte("ok"))
}

func startServer(t testing.TB, h Handler, set func(s *Server)) string {
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

func readStatus(c net.Conn) (int, http.Header, error) {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	return response.StatusCode, response.Header, nil
}

// TestMaxConnections guards against callers whose connections exhaust the file descriptors or the memory of the gateway. It also
// guards against serving a connection above the limit, and against a limit that stays reached after a connection has closed.
func TestMaxConnections(t *testing.T) {
	is := is.New(t)
	var shed atomic.Int32
	addr := startServer(t, &echo{handled: make(chan *Request, 10)}, func(s *Server) {
		s.MaxConnections = 2
		s.Shed = func(what Excess) {
			if what == Connections {
				shed.Add(1)
			}
		}
	})
	get := func(c net.Conn) error {
		_, _ = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
		_, _, err := readStatus(c)
		return err
	}
	first, second := dial(t, addr), dial(t, addr)
	is.NoErr(get(first))
	is.NoErr(get(second))
	is.True(get(dial(t, addr)) != nil)
	is.Equal(shed.Load(), int32(1))
	is.NoErr(get(first)) // the connections below the limit stay usable
	_ = second.Close()
	for deadline := time.Now().Add(5 * time.Second); get(dial(t, addr)) != nil; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no connection was accepted within 5 s of the close of another one")
		}
	}
}

// TestMaxHeldBytes guards against request bodies that exhaust the memory of the gateway, against a body that still counts after
// its request has ended, and against a refusal without Retry-After.
func TestMaxHeldBytes(t *testing.T) {
	for name, body := range map[string]string{
		"length":  "Content-Length: 600\r\n\r\n" + strings.Repeat("x", 600),
		"chunked": "Transfer-Encoding: chunked\r\n\r\n258\r\n" + strings.Repeat("x", 600) + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &blocking{arrived: make(chan struct{}, 100), answer: make(chan struct{})}
			addr := startServer(t, h, func(s *Server) {
				s.MaxHeldBytes = 1000
				s.Refusal = func(_ int, reason string) (http.Header, []byte) {
					header, body := PlainRefusal(reason)
					header.Set("Retry-After", "0.50")
					return header, body
				}
			})
			send := func() net.Conn {
				c := dial(t, addr)
				_, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\n"+body)
				is.NoErr(err)
				return c
			}
			first := send()
			<-h.arrived
			got, header, err := readStatus(send())
			is.NoErr(err)
			is.Equal(got, http.StatusServiceUnavailable)
			is.Equal(header.Get("Retry-After"), "0.50")
			is.Equal(len(h.arrived), 0) // the refused request was not handled
			h.answer <- struct{}{}
			got, _, err = readStatus(first)
			is.NoErr(err)
			is.Equal(got, http.StatusOK)
			close(h.answer)
			for range 3 { // the bytes are released when the request ends, shortly after its response
				got = 0
				for deadline := time.Now().Add(5 * time.Second); got != http.StatusOK && time.Now().Before(deadline); {
					got, _, err = readStatus(send())
					is.NoErr(err)
				}
				is.Equal(got, http.StatusOK)
			}
		})
	}
}

// BenchmarkConnections measures the heap and stack memory of open idle connections.
func BenchmarkConnections(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			for b.Loop() {
				addr := startServer(b, &echo{handled: make(chan *Request, n)}, func(*Server) {})
				before := memoryInUse()
				open := make([]net.Conn, n)
				for i := range open {
					c, err := net.Dial("tcp", addr)
					if err != nil {
						b.Fatal(err)
					}
					open[i] = c
					_, _ = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
					if _, _, err := readStatus(c); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(memoryInUse()-before)/float64(n), "B/connection")
				for _, c := range open {
					_ = c.Close()
				}
			}
		})
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
