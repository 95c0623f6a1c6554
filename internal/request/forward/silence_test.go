package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/internal/request/forward"
	"primrosecourse/pkg/progress"
	"primrosecourse/pkg/site"
)

// prober answers the question for a sign of life of the endpoints that are not dark.
type prober struct {
	mu    sync.Mutex
	dark  map[string]bool
	asked int
}

func (p *prober) Alive(ctx context.Context, e *site.Endpoint) error {
	p.mu.Lock()
	p.asked++
	dark := p.dark[e.ID]
	p.mu.Unlock()
	if !dark {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (p *prober) setDark(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dark[id] = true
}

// newWatchedFixture is newFixture with engines and a silence watch. Another gateway is heard all the time.
func newWatchedFixture(t *testing.T, answer answerFunc) (*fixture, *prober) {
	t.Helper()
	f := newFixture(t, answer)
	f.snapshot.Configuration.Services["S"].Engine = &site.Engine{}
	p := &prober{dark: map[string]bool{}}
	f.handler.Silence = &forward.SilenceWatch{Table: f.handler.Table, Prober: p, Log: logr.Discard(),
		Rule: progress.Rule{MinSilence: 200 * time.Millisecond, ReleaseSilence: 1100 * time.Millisecond}}
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { _ = f.handler.Silence.Run(ctx) })
	background.Go(func() {
		for ctx.Err() == nil {
			f.handler.Table.SetPeerLoads(time.Now(), "other", nil)
			time.Sleep(10 * time.Millisecond)
		}
	})
	t.Cleanup(func() {
		cancel()
		background.Wait()
	})
	return f, p
}

func writeEvent(c net.Conn, n int) {
	text := fmt.Sprintf("id: %d\ndata: %d\n\n", n, n)
	_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
}

// goDark blocks until the gateway closes the connection. Nothing is sent meanwhile.
func goDark(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// get sends a request with a deadline of 5 s and returns the answer, its body, the time taken and the error of reading it.
func get(t *testing.T, f *fixture, path string) (status int, body string, took time.Duration, err error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+f.addr+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Id", "r1")
	request.Header.Set("Deadline", "5000")
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	started := time.Now()
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return 0, "", time.Since(started), err
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	return response.StatusCode, string(b), time.Since(started), err
}

// TestDarkEngine guards against callers that wait until their deadline for an engine that went dark although their stream can go on
// elsewhere after its last event.
func TestDarkEngine(t *testing.T) {
	for _, test := range []struct {
		name   string
		events int // before the engine goes dark
	}{
		{"stream that has begun", 2},
		{"stream that has not begun", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var p *prober
			var f *fixture
			f, p = newWatchedFixture(t, func(n int, id string, r *http.Request, c net.Conn) bool {
				if n > 0 {
					streamHead(c, id)
					var last int
					_, _ = fmt.Sscan(r.Header.Get("After"), &last)
					for e := last + 1; e <= 3; e++ {
						writeEvent(c, e)
					}
					_, _ = io.WriteString(c, "0\r\n\r\n")
					return true
				}
				p.setDark(r.Header.Get("Endpoint"))
				if test.events > 0 {
					streamHead(c, id)
				}
				for e := range test.events {
					writeEvent(c, e+1)
				}
				goDark(c)
				return false
			})
			status, body, took, err := get(t, f, "/resume/")
			is.NoErr(err)
			is.Equal(status, 200)
			is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n")
			is.True(took < 1500*time.Millisecond) // the deadline is 5 s
			is.Equal(f.arrivalCount(), 2)
		})
	}
}

// TestSilentEngineKeepsWhatCannotGoElsewhere guards against ending an answer because its engine is silent, although the request must not be
// repeated, its runs or the retry budget are used up, or there is no other endpoint: the engine may be sound and go on.
func TestSilentEngineKeepsWhatCannotGoElsewhere(t *testing.T) {
	const whole = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"
	for _, test := range []struct {
		name, path string
		events     int // before the silence
		change     func(f *fixture)
	}{
		{"stream that has begun and must not be repeated", "/stream/", 2, nil},
		{"stream that has not begun and must not be repeated", "/stream/", 0, nil},
		{"retry budget is used up", "/resume/", 2, func(f *fixture) { f.handler.Limits = forward.Limits{RepeatSpan: time.Second} }},
		{"no other endpoint, stream has begun", "/resume/", 2, func(f *fixture) { f.snapshot.Endpoints["S"] = f.snapshot.Endpoints["S"][:1] }},
		{"no other endpoint, stream has not begun", "/resume/", 0, func(f *fixture) { f.snapshot.Endpoints["S"] = f.snapshot.Endpoints["S"][:1] }},
	} {
		for _, returns := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, returns %v", test.name, returns), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var p *prober
				var f *fixture
				f, p = newWatchedFixture(t, func(_ int, id string, r *http.Request, c net.Conn) bool {
					p.setDark(r.Header.Get("Endpoint"))
					if test.events > 0 {
						streamHead(c, id)
					}
					for e := range test.events {
						writeEvent(c, e+1)
					}
					if !returns {
						goDark(c)
						return false
					}
					time.Sleep(1900 * time.Millisecond)
					if test.events == 0 {
						streamHead(c, id)
					}
					for e := test.events; e < 3; e++ {
						writeEvent(c, e+1)
					}
					_, _ = io.WriteString(c, "0\r\n\r\n")
					return true
				})
				if test.change != nil {
					test.change(f)
				}
				status, body, took, err := get(t, f, test.path)
				is.Equal(f.arrivalCount(), 1)
				switch {
				case returns:
					is.NoErr(err)
					is.Equal(status, 200)
					is.Equal(body, whole)
				case test.events > 0:
					is.True(errors.Is(err, io.ErrUnexpectedEOF))
					is.True(took > 4900*time.Millisecond && took < 6*time.Second) // the deadline is 5 s
				default:
					is.Equal(status, http.StatusGatewayTimeout)
					is.True(took > 4900*time.Millisecond && took < 6*time.Second)
				}
				p.mu.Lock()
				defer p.mu.Unlock()
				is.True(p.asked > 0)
			})
		}
	}
}

// TestShortSilenceRepeatsNothing guards against runs of a request at two endpoints, and retries of the budget, for an engine that is silent for a
// second and goes on. New requests avoid it meanwhile.
func TestShortSilenceRepeatsNothing(t *testing.T) {
	for _, events := range []int{0, 2} { // before the silence
		t.Run(fmt.Sprintf("%d events", events), func(t *testing.T) {
			is := is.New(t)
			var p *prober
			var f *fixture
			silent := make(chan string, 1)
			f, p = newWatchedFixture(t, func(n int, id string, r *http.Request, c net.Conn) bool {
				e := 0
				if n == 0 {
					if events > 0 {
						streamHead(c, id)
					}
					for ; e < events; e++ {
						writeEvent(c, e+1)
					}
					p.setDark(r.Header.Get("Endpoint"))
					silent <- r.Header.Get("Endpoint")
					time.Sleep(950 * time.Millisecond)
				}
				if e == 0 {
					streamHead(c, id)
				}
				for ; e < 3; e++ {
					writeEvent(c, e+1)
				}
				_, _ = io.WriteString(c, "0\r\n\r\n")
				return true
			})
			var others sync.WaitGroup
			others.Go(func() {
				id := <-silent
				time.Sleep(800 * time.Millisecond)
				told := false
				for _, l := range f.handler.Table.UrgentLoads(time.Now()) {
					told = told || (l.Silent && l.Endpoint == id)
				}
				is.True(told) // other gateways hear of the suspicion
				for range 4 {
					status, _, took, err := get(t, f, "/stream/")
					is.NoErr(err)
					is.Equal(status, 200)
					is.True(took < 100*time.Millisecond)
				}
			})
			status, body, _, err := get(t, f, "/resume/")
			others.Wait()
			is.NoErr(err)
			is.Equal(status, 200)
			is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n")
			is.Equal(f.arrivalCount(), 1+4)
		})
	}
}

// TestSlowButSoundEngine guards against cutting the stream of an engine that is slow: it sends an event each second, ten times slower
// than its callers are used to, and answers questions.
func TestSlowButSoundEngine(t *testing.T) {
	is := is.New(t)
	f, p := newWatchedFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool {
		time.Sleep(900 * time.Millisecond) // a long prompt is read before the first token
		streamHead(c, id)
		for e := 1; e <= 3; e++ {
			writeEvent(c, e)
			time.Sleep(time.Second)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	})
	status, body, _, err := get(t, f, "/resume/")
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n")
	is.Equal(f.arrivalCount(), 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	is.True(p.asked > 0) // it was doubted, and answered
}

// TestOthersLearnOfSilence guards against each gateway finding out by itself that an engine went dark.
func TestOthersLearnOfSilence(t *testing.T) {
	is := is.New(t)
	f, p := newWatchedFixture(t, func(n int, id string, _ *http.Request, c net.Conn) bool {
		if n == 0 {
			goDark(c)
			return false
		}
		streamHead(c, id)
		writeEvent(c, 1)
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	})
	for _, e := range f.snapshot.Endpoints["S"] {
		p.setDark(e.ID)
	}
	_, _, took, _ := get(t, f, "/resume/")
	is.True(took < 1500*time.Millisecond)
	told := false
	for _, l := range f.handler.Table.UrgentLoads(time.Now()) {
		told = told || l.Silent
	}
	is.True(told)
}
