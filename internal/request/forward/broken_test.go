package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/memory"
)

// TestLostAnswers guards, for each place at which a connection to an endpoint can end, against a request that runs twice, an answer
// that looks complete, and a caller that is told that the request did not run.
func TestLostAnswers(t *testing.T) {
	full := func(id string) string {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody"
	}
	places := map[string]func(id string) string{
		"before the head":               func(string) string { return "" },
		"in the status line":            func(id string) string { return full(id)[:8] },
		"in the head":                   func(id string) string { return full(id)[:30] },
		"between head and body":         func(id string) string { return strings.TrimSuffix(full(id), "body") },
		"in the body":                   func(id string) string { return strings.TrimSuffix(full(id), "dy") },
		"in a chunk":                    func(id string) string { return chunkedHead(id) + "4\r\nbo" },
		"before the last chunk":         func(id string) string { return chunkedHead(id) + "4\r\nbody\r\n" },
		"in the last chunk":             func(id string) string { return chunkedHead(id) + "4\r\nbody\r\n0\r\n" },
		"after an interim answer":       func(string) string { return "HTTP/1.1 103 Early Hints\r\n\r\n" },
		"after a copy for someone else": func(string) string { return full("another") },
		"compressed, in the body": func(id string) string {
			return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: s\r\nContent-Encoding: gzip\r\nContent-Length: 40\r\n\r\nxx"
		},
	}
	for place, sent := range places {
		for path, wantArrivals := range map[string]int{"/never/": 1, "/always/": 2, "/stream/": 1, "/resume/": 2} {
			t.Run(place+path, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool {
					_, _ = io.WriteString(c, sent(id))
					return false
				})
				status, body, err := f.send(t, http.MethodPost, path)
				is.True(err != nil || status == http.StatusBadGateway) // nothing that promises anything, and no success
				is.True(!strings.Contains(body, "not run"))
				is.Equal(f.arrivalCount(), wantArrivals)
			})
		}
	}
}

func chunkedHead(id string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// TestUnframedStreamWithoutEvent guards against a stream that looks complete though its endpoint ended before the first event.
func TestUnframedStreamWithoutEvent(t *testing.T) {
	for events, want := range map[string]struct{ arrivals, status int }{"": {2, http.StatusBadGateway}, "id: 1\ndata: a\n\n": {1, http.StatusOK}} {
		is := is.New(t)
		f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSeal: s\r\nConnection: close\r\n\r\n"+events)
			return false
		})
		status, body, err := f.send(t, http.MethodPost, "/resume/")
		is.NoErr(err)
		is.Equal(status, want.status)
		is.Equal(f.arrivalCount(), want.arrivals)
		is.True(events == "" || body == events)
	}
}

// TestRefusedBeforeItWasSent holds the other side: a request of which no byte left the gateway is refused with the promise.
func TestRefusedBeforeItWasSent(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(int, string, *http.Request, net.Conn) bool { return false })
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	for _, e := range f.snapshot.Endpoints["S"] {
		e.Address = unused.Addr().(*net.TCPAddr).AddrPort()
	}
	is.NoErr(unused.Close())
	status, body, err := f.send(t, http.MethodPost, "/never/")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"outcome":"not run"`))
}

// TestStalledStreams guards against streams that send a byte now and then and never end: progress is events that a caller can use. They
// end at the deadline, and do not look complete; a slow stream of whole events lives.
func TestStalledStreams(t *testing.T) {
	trickle := func(c net.Conn, text string) {
		for {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
				return
			}
			time.Sleep(30 * time.Millisecond)
		}
	}
	for name, test := range map[string]struct {
		first, trickle string
	}{
		"half an event, byte by byte":         {"", "x"},
		"blank lines":                         {"", "\n"},
		"bytes after an event":                {"id: 1\ndata: 1\n\n", "x"},
		"comments":                            {"", ": still here\n\n"},
		"comments after an event":             {"id: 1\ndata: 1\n\n", ": still here\n\n"},
		"an event that the caller has":        {"id: 1\ndata: 1\n\n", "id: 1\ndata: 1\n\n"},
		"carriage returns without line feeds": {"id: 1\ndata: 1\n\n", "\r"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool {
				streamHead(c, id)
				if test.first != "" {
					chunk(c, test.first)
				}
				trickle(c, test.trickle)
				return false
			})
			started := time.Now()
			status, body, err := f.send(t, http.MethodPost, "/stream/", "Deadline: 600")
			is.True(time.Since(started) < 1500*time.Millisecond)
			is.True(err != nil || status == http.StatusGatewayTimeout)
			is.True(strings.Count(body, "data: 1") <= 1)
		})
	}
}

// TestEndlessBodies guards against bodies without end that are no answer, at many requests at a time: memory stays bounded, the callers
// get no success, the endpoints are judged by it, and another request is served.
func TestEndlessBodies(t *testing.T) {
	is := is.New(t)
	garbage := strings.Repeat("x", 4000)
	f := newFixture(t, func(_ int, id string, r *http.Request, c net.Conn) bool {
		if r.Header.Get("Endpoint") == "e2" {
			streamHead(c, id)
			chunk(c, "id: 1\ndata: 1\n\n")
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return true
		}
		streamHead(c, id)
		for {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(garbage), garbage); err != nil {
				return false
			}
		}
	})
	const callers = 40
	stop, peak := make(chan struct{}), make(chan uint64)
	go func() {
		var most uint64
		for {
			select {
			case <-stop:
				peak <- most
				return
			case <-time.After(5 * time.Millisecond):
			}
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			most = max(most, m.HeapAlloc)
		}
	}()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	type result struct {
		status int
		body   string
		err    error
	}
	results := make(chan result, callers)
	for range callers {
		go func() {
			status, body, err := f.send(t, http.MethodPost, "/resume/", "Deadline: 4000")
			results <- result{status, body, err}
		}()
	}
	for range callers {
		r := <-results
		is.True(!strings.Contains(r.body, "x"))
		is.True(r.status != http.StatusOK || r.err != nil || r.body == "id: 1\ndata: 1\n\n")
	}
	close(stop)
	most := <-peak
	t.Logf("peak %d KiB above the start", (most-min(most, before.HeapAlloc))>>10)
	is.True(most < before.HeapAlloc+callers*(1<<20))
	for range 20 { // the endpoints that send garbage are suspect by now
		status, body, err := f.send(t, http.MethodPost, "/resume/")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(body, "id: 1\ndata: 1\n\n")
	}
}

// TestAnswersWithoutMemory guards against a gateway that keeps the beginnings of answers for all its requests without a limit, and against an
// answer that is lost or spoiled since there is no memory left for it.
func TestAnswersWithoutMemory(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("y", 100_000)
	f := newFixture(t, func(n int, id string, r *http.Request, c net.Conn) bool {
		if r.URL.Path == "/always/" {
			return writeOK(c, id, long)
		}
		streamHead(c, id)
		if n%2 == 0 {
			_, _ = io.WriteString(c, fmt.Sprintf("%x\r\n%s\r\n", len(long), long)) // the beginning of an event
			goDark(c)
			return false
		}
		chunk(c, "id: 1\ndata: 1\n\n")
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	})
	f.handler.Memory = memory.New(50_000)
	status, body, err := f.send(t, http.MethodPost, "/always/")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.True(body == long) // relayed as it arrives
	f.awaitReleased(t)
	if f.arrivalCount()%2 == 1 {
		_, _, _ = f.send(t, http.MethodPost, "/always/")
	}
	status, body, err = f.send(t, http.MethodPost, "/resume/", "Deadline: 4000")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "id: 1\ndata: 1\n\n") // of another endpoint
	f.awaitReleased(t)
}

// awaitReleased waits until no answer holds memory. The caller has the last byte just before that.
func (f *fixture) awaitReleased(t *testing.T) {
	t.Helper()
	for until := time.Now().Add(time.Second); f.handler.Memory.Held() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d bytes are held after the answer", f.handler.Memory.Held())
		}
	}
}
