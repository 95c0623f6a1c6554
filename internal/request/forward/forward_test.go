package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/internal/connection/endpoint"
	"primrosecourse/internal/connection/front"
	"primrosecourse/internal/request/forward"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
)

// codec is a small wire format of the test's own.
type codec struct{}

func (codec) Meta(h http.Header) (m forward.Meta, err error) {
	m = forward.Meta{ID: h.Get("Id"), Credential: h.Get("Credential"), LastEvent: h.Get("After")}
	if ms, err := strconv.Atoi(h.Get("Deadline")); err == nil {
		m.Deadline = time.Duration(ms) * time.Millisecond
	}
	return m, nil
}

func (codec) Outgoing(h http.Header, o *forward.Outgoing) http.Header {
	out := http.Header{"Id": h["Id"], "Endpoint": {o.Endpoint}}
	if o.LastEvent != "" {
		out.Set("After", o.LastEvent)
	}
	return out
}

func (codec) Sign(status int, h http.Header) forward.Sign {
	moved := status == http.StatusMisdirectedRequest
	return forward.Sign{ID: h.Get("Id"), NotRun: moved || h.Get("Not-Run") != "", Misdirected: moved, Sealed: h.Get("Seal") != "",
		Encoded: h.Get("Content-Encoding") != ""}
}

func (codec) Refusal(string, time.Duration) http.Header { return http.Header{} }

// play answers the n-th request, from 0, that any endpoint got; id is the request's identity. It returns false to end the
// connection.
type play func(n int, id string, r *http.Request, c net.Conn) bool

// fixture is a handler with endpoints that play answers.
type fixture struct {
	snapshot *site.Snapshot
	handler  *forward.Handler
	age      time.Duration
	addr     string

	mu       sync.Mutex
	arrivals []string
}

func (f *fixture) Current() *site.Snapshot         { return f.snapshot }
func (f *fixture) ConfigurationAge() time.Duration { return f.age }
func (f *fixture) VersionsAge() time.Duration      { return 0 }

func (f *fixture) arrive(endpoint string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, endpoint)
	return len(f.arrivals) - 1
}

func (f *fixture) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.arrivals)
}

// start brings up three endpoints and a front. Routes: /never, /always, /stream (not resumable), /resume.
func start(t testing.TB, p play) *fixture {
	t.Helper()
	f := &fixture{}
	routes := []site.Route{
		{Name: "never", Host: "h", PathPrefix: "/never/", Attempts: 1},
		{Name: "always", Host: "h", PathPrefix: "/always/", Attempts: 2, Repeat: site.Always},
		{Name: "stream", Host: "h", PathPrefix: "/stream/", Attempts: 2, Streaming: true},
		{Name: "resume", Host: "h", PathPrefix: "/resume/", Attempts: 2, Streaming: true, Repeat: site.Resume},
		{Name: "private", Host: "h", PathPrefix: "/private/", Attempts: 1},
	}
	for i := range routes {
		routes[i].Shares = []site.Share{{Service: "S", Weight: 1}}
		routes[i].Public = routes[i].Name != "private"
	}
	f.snapshot = &site.Snapshot{Gateways: 1, Endpoints: map[string][]*site.Endpoint{},
		Configuration: site.NewConfiguration(1, routes, []site.Service{{Name: "S"}},
			[]site.Organisation{{Name: "O", Credentials: []string{"key"}}}, site.Limits{})}
	for i := range 3 {
		id := fmt.Sprintf("e%d", i)
		addr := f.endpoint(t, id, p)
		f.snapshot.Endpoints["S"] = append(f.snapshot.Endpoints["S"], &site.Endpoint{ID: id, Service: "S", Address: addr})
	}
	pool := endpoint.New()
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	parts.Go(func() { _ = pool.Run(ctx) })
	h := &forward.Handler{Codec: codec{}, View: f, Table: placement.New(), Endpoints: pool, Log: logr.Discard(),
		Limits: forward.Limits{RepeatRatio: 1, RepeatExtra: 100, RepeatSpan: 10 * time.Second}}
	f.handler = h
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.addr = l.Addr().String()
	server := front.New(h)
	parts.Go(func() { _ = server.Run(ctx, l) })
	t.Cleanup(func() {
		_ = l.Close()
		server.CloseAll()
		cancel()
		parts.Wait()
	})
	return f
}

func (f *fixture) endpoint(t testing.TB, id string, p play) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var work sync.WaitGroup
	work.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			work.Go(func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if !p(f.arrive(id), r.Header.Get("Id"), r, c) {
						return
					}
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		work.Wait()
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

// ask sends one request and returns the status and the body; err tells of an answer that is not whole.
func (f *fixture) ask(t testing.TB, method, path string, header ...string) (status int, body string, err error) {
	t.Helper()
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	raw := method + " " + path + " HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 0\r\n" + strings.Join(header, "\r\n")
	if len(header) > 0 {
		raw += "\r\n"
	}
	if _, err := io.WriteString(c, raw+"\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	b, err := io.ReadAll(response.Body)
	return response.StatusCode, string(b), err
}

func reply(c net.Conn, status int, header, body string) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return true
}

func ok(c net.Conn, id, body string) bool { return reply(c, 200, "Id: "+id+"\r\nSeal: s\r\n", body) }

// TestSingleAnswers guards against refusals that are not true, orders that run twice and answers that are not the
// endpoint's: each case plays one kind of failure at the first endpoint, and a good answer at the next one.
func TestSingleAnswers(t *testing.T) {
	refuse := func(status int) play {
		return func(_ int, id string, _ *http.Request, c net.Conn) bool {
			return reply(c, status, "Id: "+id+"\r\nNot-Run: 1\r\n", "")
		}
	}
	first := func(bad play) play {
		return func(n int, id string, r *http.Request, c net.Conn) bool {
			if n == 0 {
				return bad(n, id, r, c)
			}
			return ok(c, id, "good")
		}
	}
	closes := play(func(int, string, *http.Request, net.Conn) bool { return false })
	bare503 := play(func(_ int, id string, _ *http.Request, c net.Conn) bool {
		return reply(c, 503, "Id: "+id+"\r\nSeal: s\r\n", "")
	})
	unsealed := play(func(_ int, id string, _ *http.Request, c net.Conn) bool {
		return reply(c, 200, "Id: "+id+"\r\n", "forged")
	})
	foreign := play(func(_ int, _ string, _ *http.Request, c net.Conn) bool {
		ok(c, "another", "foreign")
		return false
	})
	encoded := play(func(_ int, id string, _ *http.Request, c net.Conn) bool {
		return reply(c, 200, "Id: "+id+"\r\nSeal: s\r\nContent-Encoding: gzip\r\n", "zip")
	})
	cut := play(func(_ int, id string, _ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSeal: s\r\nContent-Length: 10\r\n\r\nabc")
		return false
	})
	moved := refuse(http.StatusMisdirectedRequest)
	failed := play(func(_ int, id string, _ *http.Request, c net.Conn) bool {
		return reply(c, 500, "Id: "+id+"\r\nSeal: s\r\n", "own failure")
	})
	for name, c := range map[string]struct {
		path     string
		play     play
		status   int
		body     string
		arrivals int
	}{
		"order refused, then taken":           {"/never/", first(refuse(503)), 200, "good", 2},
		"order misdirected, then taken":       {"/never/", first(moved), 200, "good", 2},
		"order refused everywhere":            {"/never/", refuse(503), 503, "", 3},
		"order lost is not repeated":          {"/never/", first(closes), 502, "", 1},
		"order with cut answer":               {"/never/", first(cut), 502, "", 1},
		"order with unsealed answer":          {"/never/", first(unsealed), 502, "", 1},
		"order with encoded answer":           {"/never/", first(encoded), 502, "", 1},
		"order with another's answer":         {"/never/", first(foreign), 502, "", 1},
		"order with a 503 that may have run":  {"/never/", first(bare503), 502, "", 1},
		"order with the endpoint's failure":   {"/never/", failed, 500, "own failure", 1},
		"lookup lost is repeated":             {"/always/", first(closes), 200, "good", 2},
		"lookup cut is repeated":              {"/always/", first(cut), 200, "good", 2},
		"lookup lost twice":                   {"/always/", closes, 502, "", 2},
		"lookup with a 503 that may have run": {"/always/", bare503, 502, "", 2},
		"lookup failed, then good":            {"/always/", first(failed), 200, "good", 2},
		"lookup failed twice":                 {"/always/", failed, 500, "own failure", 2},
		"lookup refused everywhere":           {"/always/", refuse(429), 503, "", 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, c.play)
			status, body, err := f.ask(t, http.MethodPost, c.path)
			is.NoErr(err)
			is.Equal(status, c.status)
			if c.body != "" {
				is.Equal(body, c.body)
			}
			is.Equal(f.count(), c.arrivals)
		})
	}
}

// streamHead begins an event stream of a request.
func streamHead(c net.Conn, id string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n")
}

func chunk(c net.Conn, text string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// TestStreams guards against streams with missing, doubled or torn events, and against cut ones that look whole.
func TestStreams(t *testing.T) {
	// broken sends two events and a half, then the connection ends.
	broken := func(c net.Conn, id string) bool {
		streamHead(c, id)
		chunk(c, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda")
		time.Sleep(20 * time.Millisecond)
		return false
	}
	whole := func(c net.Conn, id string, from int) bool {
		streamHead(c, id)
		for i := from; i <= 4; i++ {
			chunk(c, fmt.Sprintf("id: %d\ndata: %c\n\n", i, 'a'+i-1))
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
	const all = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"
	t.Run("resumed after the last whole event", func(t *testing.T) {
		is := is.New(t)
		f := start(t, func(n int, id string, r *http.Request, c net.Conn) bool {
			if n == 0 {
				return broken(c, id)
			}
			if r.Header.Get("After") != "2" {
				return false
			}
			return whole(c, id, 3)
		})
		status, body, err := f.ask(t, http.MethodPost, "/resume/")
		is.NoErr(err)
		is.Equal(status, 200)
		is.Equal(body, all)
	})
	t.Run("events that the caller has are left out", func(t *testing.T) {
		is := is.New(t)
		f := start(t, func(n int, id string, _ *http.Request, c net.Conn) bool {
			if n == 0 {
				return broken(c, id)
			}
			return whole(c, id, 1)
		})
		_, body, err := f.ask(t, http.MethodPost, "/resume/")
		is.NoErr(err)
		is.Equal(body, all)
	})
	t.Run("resumed stream fails too", func(t *testing.T) {
		is := is.New(t)
		f := start(t, func(n int, id string, _ *http.Request, c net.Conn) bool {
			if n == 0 {
				return broken(c, id)
			}
			return reply(c, 500, "Id: "+id+"\r\nSeal: s\r\n", "")
		})
		_, _, err := f.ask(t, http.MethodPost, "/resume/")
		is.True(err != nil) // the answer does not look complete
		is.Equal(f.count(), 2)
	})
	t.Run("stream that may not be resumed", func(t *testing.T) {
		is := is.New(t)
		f := start(t, func(_ int, id string, _ *http.Request, c net.Conn) bool { return broken(c, id) })
		_, body, err := f.ask(t, http.MethodPost, "/stream/")
		is.True(err != nil)
		is.Equal(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n") // whole events only
		is.Equal(f.count(), 1)
	})
	t.Run("stream that ends in the middle of an event", func(t *testing.T) {
		is := is.New(t)
		f := start(t, func(_ int, id string, _ *http.Request, c net.Conn) bool {
			streamHead(c, id)
			chunk(c, "id: 1\ndata: a\n\nid: 2\nda")
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return true
		})
		_, _, err := f.ask(t, http.MethodPost, "/stream/")
		is.True(err != nil)
	})
}

// TestCallerLeaves guards against work that an endpoint goes on with for nobody.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	f := start(t, func(_ int, _ string, _ *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, c) // ends when the gateway closes the connection
		close(left)
		return false
	})
	c, err := net.Dial("tcp", f.addr)
	is.NoErr(err)
	_, err = io.WriteString(c, "GET /always/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n")
	is.NoErr(err)
	for f.count() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(c.Close())
	select {
	case <-left:
	case <-time.After(3 * time.Second):
		t.Fatal("the endpoint's connection stayed open after the caller left")
	}
	is.Equal(f.count(), 1)
}

// TestDeadline guards against a caller that hears nothing when its time is over, and against an untrue refusal then.
func TestDeadline(t *testing.T) {
	is := is.New(t)
	f := start(t, func(_ int, _ string, _ *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, c)
		return false
	})
	begun := time.Now()
	status, _, err := f.ask(t, http.MethodPost, "/never/", "Deadline: 200")
	is.NoErr(err)
	is.Equal(status, http.StatusGatewayTimeout) // it may have run
	is.True(time.Since(begun) < time.Second)
}

// TestUnknownRoutesAndCredentials guards against turning callers away for what a newer configuration may hold.
func TestUnknownRoutesAndCredentials(t *testing.T) {
	for name, c := range map[string]struct {
		path, credential string
		age              time.Duration
		status           int
	}{
		"no route":                   {"/other/", "", 0, 404},
		"no route, old view":         {"/other/", "", 10 * time.Second, 503},
		"no credential":              {"/private/", "Credential: x", 0, 401},
		"no credential, old view":    {"/private/", "Credential: x", 10 * time.Second, 503},
		"credential":                 {"/private/", "Credential: key", 0, 200},
		"known credential, old view": {"/private/", "Credential: key", 10 * time.Second, 200},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, func(_ int, id string, _ *http.Request, c net.Conn) bool { return ok(c, id, "") })
			f.age = c.age
			status, _, err := f.ask(t, http.MethodPost, c.path, c.credential)
			is.NoErr(err)
			is.Equal(status, c.status)
		})
	}
}

// TestLeavingEndpoints guards against new work for endpoints that drain and for failure domains that were taken out.
func TestLeavingEndpoints(t *testing.T) {
	is := is.New(t)
	f := start(t, func(_ int, id string, _ *http.Request, c net.Conn) bool { return ok(c, id, "") })
	list := f.snapshot.Endpoints["S"]
	list[0].State = site.Draining
	list[1].FailureDomain = "d1"
	f.snapshot.Evacuated = map[string]bool{"d1": true}
	for range 20 {
		status, _, err := f.ask(t, http.MethodPost, "/never/")
		is.NoErr(err)
		is.Equal(status, 200)
	}
	for _, id := range f.arrivals {
		is.Equal(id, "e2")
	}
	f.snapshot = &site.Snapshot{Gateways: 1, Configuration: f.snapshot.Configuration}
	status, _, err := f.ask(t, http.MethodPost, "/never/")
	is.NoErr(err)
	is.Equal(status, 503)
}

// TestCrashingRequest guards against sending a request on that crashed endpoints elsewhere.
func TestCrashingRequest(t *testing.T) {
	is := is.New(t)
	f := start(t, func(_ int, id string, _ *http.Request, c net.Conn) bool { return ok(c, id, "") })
	f.snapshot.Marks = map[uint64][]string{}
	_, _, err := f.ask(t, http.MethodPost, "/never/x")
	is.NoErr(err)
	is.Equal(f.count(), 1)
	f.snapshot.Marks[forward.Fingerprint(&front.Request{Method: http.MethodPost, Target: "/never/x"}, nil)] = []string{"a", "b"}
	status, _, err := f.ask(t, http.MethodPost, "/never/x")
	is.NoErr(err)
	is.Equal(status, 503)
	is.Equal(f.count(), 1)
}

// BenchmarkForward measures one request over a kept connection of a caller, with its endpoint on the same machine: processor
// time and allocations of the gateway, the endpoint and the caller together.
func BenchmarkForward(b *testing.B) {
	f := start(b, func(_ int, id string, _ *http.Request, c net.Conn) bool { return ok(c, id, "answer") })
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	br := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(c, "GET /always/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n"); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(br, nil)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
	}
}
