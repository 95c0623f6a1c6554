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
	"primrosecourse/pkg/intake"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/quarantine"
	"primrosecourse/pkg/site"
)

// startPath is the path at which endpoints state their starts.
const startPath = "/start"

// identity is a simplified endpoint.Identity for tests.
type identity struct{}

func (identity) Question(endpoint.Target) *endpoint.Call {
	return &endpoint.Call{Method: http.MethodGet, Target: startPath, Host: "h"}
}

func (identity) StartedAt(_ int, body []byte) (time.Time, error) {
	ms, err := strconv.ParseInt(string(body), 10, 64)
	if ms == 0 {
		return time.Time{}, err
	}
	return time.UnixMilli(ms), err
}

// codec is a simplified header format for tests.
type codec struct{}

func (codec) ParseRequest(h http.Header) (m forward.Meta, err error) {
	m = forward.Meta{ID: h.Get("Id"), Credential: h.Get("Credential"), LastEvent: h.Get("After"), Resumes: h.Get("Origin"), Model: h.Get("Model")}
	if ms, err := strconv.Atoi(h.Get("Deadline")); err == nil {
		m.Timeout = time.Duration(ms) * time.Millisecond
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

func (codec) ParseAnswer(status int, h http.Header) forward.AnswerInfo {
	misdirected := status == http.StatusMisdirectedRequest
	stated := intake.Statement{}
	if rate, err := strconv.ParseFloat(h.Get("Rate"), 64); err == nil {
		stated = intake.Statement{HasRate: true, Rate: rate}
	}
	stated.Leaving = h.Get("Leaving") != ""
	if ms, err := strconv.Atoi(h.Get("Pause")); err == nil {
		stated.Pause = time.Duration(ms) * time.Millisecond
	}
	return forward.AnswerInfo{Intake: stated, ID: h.Get("Id"), NotRun: misdirected || h.Get("Not-Run") != "", Misdirected: misdirected, Sealed: h.Get("Seal") != "",
		Encoded: h.Get("Content-Encoding") != ""}
}

func (codec) Refusal(string, time.Duration) http.Header { return http.Header{} }

// answerFunc writes an endpoint's answer to c. n is the number of the request, counted from 0 over all endpoints, and id its ID.
// The function returns false to close the connection.
type answerFunc func(n int, id string, r *http.Request, c net.Conn) bool

// fixture is a handler behind a front server with test endpoints, and serves as the handler's View.
type fixture struct {
	snapshot *site.Snapshot
	handler  *forward.Handler
	age      time.Duration // the result of ConfigurationAge
	addr     string
	// replaced is the snapshot from replacedAt on, nil if it is not replaced. versionAge is the result of ReplacedFor at the start of the
	// fixture, or at replacedAt.
	replaced   *site.Snapshot
	replacedAt time.Time
	versionAge time.Duration

	// startOf returns the start that an endpoint states, zero for none. It may be nil.
	startOf func(id string) time.Time
	// unbroken is for newBuildFixture.
	unbroken string

	mu        sync.Mutex
	arrivals  []string // the endpoint of each request
	requests  []string // the request line and ID of each request
	listeners map[string]net.Listener
}

func (f *fixture) Current() *site.Snapshot {
	if f.replaced != nil && time.Now().After(f.replacedAt) {
		return f.replaced
	}
	return f.snapshot
}

func (f *fixture) ReplacedFor(string, uint64) time.Duration {
	if f.replaced != nil {
		return f.versionAge + time.Since(f.replacedAt)
	}
	return f.versionAge
}

func (f *fixture) ConfigurationAge() time.Duration { return f.age }
func (f *fixture) VersionsAge() time.Duration      { return 0 }

// arrive records the arrival of a request at an endpoint and returns its number.
func (f *fixture) arrive(endpoint string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, endpoint)
	return len(f.arrivals) - 1
}

// record keeps what is printed of a request if the test fails.
func (f *fixture) record(r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, r.Header.Get("Id")))
}

func (f *fixture) arrivalCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.arrivals)
}

// newFixture starts three endpoints, which answer with the given function, and a front server. The routes are /never/ (not
// idempotent), /always/ (idempotent), /stream/ (not resumable), /resume/ (resumable) and /private/ (requires a credential).
func newFixture(t testing.TB, answer answerFunc) *fixture {
	t.Helper()
	f := &fixture{listeners: map[string]net.Listener{}}
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
		addr := f.endpoint(t, id, answer)
		f.snapshot.Endpoints["S"] = append(f.snapshot.Endpoints["S"], &site.Endpoint{ID: id, Service: "S", Address: addr})
	}
	pool := endpoint.New()
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { _ = pool.Run(ctx) })
	h := &forward.Handler{Codec: codec{}, View: f, Table: placement.New(), Endpoints: pool, Log: logr.Discard(),
		Limits: forward.Limits{RepeatRatio: 1, RepeatExtra: 100, RepeatSpan: 10 * time.Second}}
	f.handler = h
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.addr = l.Addr().String()
	server := front.New(h)
	background.Go(func() { _ = server.Run(ctx, l) })
	t.Cleanup(func() {
		_ = l.Close()
		server.CloseAll()
		cancel()
		background.Wait()
		if t.Failed() {
			f.mu.Lock()
			defer f.mu.Unlock()
			t.Logf("requests at the endpoints: %q", f.requests)
		}
	})
	return f
}

// endpoint starts an endpoint and returns its address.
func (f *fixture) endpoint(t testing.TB, id string, answer answerFunc) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.listeners[id] = l
	var goroutines sync.WaitGroup
	goroutines.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			goroutines.Go(func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if r.URL.Path == startPath {
						body := strconv.FormatInt(f.startOf(id).UnixMilli(), 10)
						_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
						continue
					}
					f.record(r)
					if !answer(f.arrive(id), r.Header.Get("Id"), r, c) {
						return
					}
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		goroutines.Wait()
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

// send sends one request and returns the status and the body. It returns an error if the answer is incomplete.
func (f *fixture) send(t testing.TB, method, path string, header ...string) (status int, body string, err error) {
	t.Helper()
	raw := method + " " + path + " HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 0\r\n" + strings.Join(header, "\r\n")
	if len(header) > 0 {
		raw += "\r\n"
	}
	return f.sendRaw(t, raw+"\r\n")
}

// sendRaw sends the bytes of one request over a new connection and returns the status and the body, or an error as send.
func (f *fixture) sendRaw(t testing.TB, raw string) (status int, body string, err error) {
	t.Helper()
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, raw); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	b, err := io.ReadAll(response.Body)
	return response.StatusCode, string(b), err
}

func writeAnswer(c net.Conn, status int, header, body string) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return true
}

func writeOK(c net.Conn, id, body string) bool {
	return writeAnswer(c, 200, "Id: "+id+"\r\nSeal: s\r\n", body)
}

// TestUnstreamedAnswers guards against refusals that wrongly state that a request did not run, non-idempotent requests that
// run twice, and answers that the endpoint did not make itself. In each case one kind of failure occurs, either at
// every endpoint or only at the first one that gets the request (failFirst).
func TestUnstreamedAnswers(t *testing.T) {
	refuse := func(status int) answerFunc {
		return func(_ int, id string, _ *http.Request, c net.Conn) bool {
			return writeAnswer(c, status, "Id: "+id+"\r\nNot-Run: 1\r\n", "")
		}
	}
	failFirst := func(bad answerFunc) answerFunc {
		return func(n int, id string, r *http.Request, c net.Conn) bool {
			if n == 0 {
				return bad(n, id, r, c)
			}
			return writeOK(c, id, "good")
		}
	}
	closeConnection := answerFunc(func(int, string, *http.Request, net.Conn) bool { return false })
	unmarked503 := answerFunc(func(_ int, id string, _ *http.Request, c net.Conn) bool {
		return writeAnswer(c, 503, "Id: "+id+"\r\nSeal: s\r\n", "")
	})
	unsealed := answerFunc(func(_ int, id string, _ *http.Request, c net.Conn) bool {
		return writeAnswer(c, 200, "Id: "+id+"\r\n", "forged")
	})
	otherRequest := answerFunc(func(_ int, _ string, _ *http.Request, c net.Conn) bool {
		writeOK(c, "another", "foreign")
		return false
	})
	encoded := answerFunc(func(_ int, id string, _ *http.Request, c net.Conn) bool {
		return writeAnswer(c, 200, "Id: "+id+"\r\nSeal: s\r\nContent-Encoding: gzip\r\n", "zip")
	})
	truncated := answerFunc(func(_ int, id string, _ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSeal: s\r\nContent-Length: 10\r\n\r\nabc")
		return false
	})
	misdirected := refuse(http.StatusMisdirectedRequest)
	serverError := answerFunc(func(_ int, id string, _ *http.Request, c net.Conn) bool {
		return writeAnswer(c, 500, "Id: "+id+"\r\nSeal: s\r\n", "own failure")
	})
	for name, c := range map[string]struct {
		path     string
		answer   answerFunc
		status   int
		body     string
		arrivals int
	}{
		"non-idempotent, refused, then answered":         {"/never/", failFirst(refuse(503)), 200, "good", 2},
		"non-idempotent, misdirected, then answered":     {"/never/", failFirst(misdirected), 200, "good", 2},
		"non-idempotent, refused by every endpoint":      {"/never/", refuse(503), 503, "", 3},
		"non-idempotent, connection closed, not retried": {"/never/", failFirst(closeConnection), 502, "", 1},
		"non-idempotent, truncated answer":               {"/never/", failFirst(truncated), 502, "", 1},
		"non-idempotent, unsealed answer":                {"/never/", failFirst(unsealed), 502, "", 1},
		"non-idempotent, encoded answer":                 {"/never/", failFirst(encoded), 502, "", 1},
		"non-idempotent, answer to another request":      {"/never/", failFirst(otherRequest), 502, "", 1},
		"non-idempotent, 503 that may have run":          {"/never/", failFirst(unmarked503), 502, "", 1},
		"non-idempotent, server error":                   {"/never/", serverError, 500, "own failure", 1},
		"idempotent, connection closed, retried":         {"/always/", failFirst(closeConnection), 200, "good", 2},
		"idempotent, truncated answer, retried":          {"/always/", failFirst(truncated), 200, "good", 2},
		"idempotent, connection closed twice":            {"/always/", closeConnection, 502, "", 2},
		"idempotent, 503 that may have run":              {"/always/", unmarked503, 502, "", 2},
		"idempotent, server error, then answered":        {"/always/", failFirst(serverError), 200, "good", 2},
		"idempotent, server error twice":                 {"/always/", serverError, 500, "own failure", 2},
		"idempotent, refused by every endpoint":          {"/always/", refuse(429), 503, "", 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, c.answer)
			status, body, err := f.send(t, http.MethodPost, c.path)
			is.NoErr(err)
			is.Equal(status, c.status)
			if c.body != "" {
				is.Equal(body, c.body)
			}
			is.Equal(f.arrivalCount(), c.arrivals)
		})
	}
}

// streamHead writes the header of an event stream that answers the request with an ID.
func streamHead(c net.Conn, id string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// chunk writes text as one HTTP chunk.
func chunk(c net.Conn, text string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// TestStreams guards against streams with missing, repeated or incomplete events, and against truncated streams that look
// complete.
func TestStreams(t *testing.T) {
	// broken sends two complete events and part of a third, then closes the connection.
	broken := func(c net.Conn, id string) bool {
		streamHead(c, id)
		chunk(c, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda")
		time.Sleep(20 * time.Millisecond)
		return false
	}
	complete := func(c net.Conn, id string, from int) bool {
		streamHead(c, id)
		for i := from; i <= 4; i++ {
			chunk(c, fmt.Sprintf("id: %d\ndata: %c\n\n", i, 'a'+i-1))
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
	const all = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"
	t.Run("resumed after the last complete event", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(n int, id string, r *http.Request, c net.Conn) bool {
			if n == 0 {
				return broken(c, id)
			}
			if r.Header.Get("After") != "2" {
				return false
			}
			return complete(c, id, 3)
		})
		status, body, err := f.send(t, http.MethodPost, "/resume/")
		is.NoErr(err)
		is.Equal(status, 200)
		is.Equal(body, all)
	})
	t.Run("events that the caller already has are dropped", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(n int, id string, _ *http.Request, c net.Conn) bool {
			if n == 0 {
				return broken(c, id)
			}
			return complete(c, id, 1)
		})
		_, body, err := f.send(t, http.MethodPost, "/resume/")
		is.NoErr(err)
		is.Equal(body, all)
	})
	t.Run("resuming fails", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(n int, id string, _ *http.Request, c net.Conn) bool {
			if n == 0 {
				return broken(c, id)
			}
			return writeAnswer(c, 500, "Id: "+id+"\r\nSeal: s\r\n", "")
		})
		_, _, err := f.send(t, http.MethodPost, "/resume/")
		is.True(err != nil) // the answer does not look complete
		is.Equal(f.arrivalCount(), 2)
	})
	t.Run("stream that is not resumable", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool { return broken(c, id) })
		_, body, err := f.send(t, http.MethodPost, "/stream/")
		is.True(err != nil)
		is.Equal(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n") // complete events only
		is.Equal(f.arrivalCount(), 1)
	})
	t.Run("stream that ends in the middle of an event", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool {
			streamHead(c, id)
			chunk(c, "id: 1\ndata: a\n\nid: 2\nda")
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return true
		})
		_, _, err := f.send(t, http.MethodPost, "/stream/")
		is.True(err != nil)
	})
}

// TestCallerDisconnects guards against an endpoint that continues the work for a caller that has disconnected.
func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	disconnected := make(chan struct{})
	f := newFixture(t, func(_ int, _ string, _ *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, c) // ends when the gateway closes the connection
		close(disconnected)
		return false
	})
	c, err := net.Dial("tcp", f.addr)
	is.NoErr(err)
	_, err = io.WriteString(c, "GET /always/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n")
	is.NoErr(err)
	for f.arrivalCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(c.Close())
	select {
	case <-disconnected:
	case <-time.After(3 * time.Second):
		t.Fatal("the endpoint's connection stayed open after the caller disconnected")
	}
	is.Equal(f.arrivalCount(), 1)
}

// TestDeadline guards against a caller that gets no answer when its deadline passes, and against a refusal that then wrongly
// states that the request did not run.
func TestDeadline(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ int, _ string, _ *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, c)
		return false
	})
	started := time.Now()
	status, _, err := f.send(t, http.MethodPost, "/never/", "Deadline: 200")
	is.NoErr(err)
	is.Equal(status, http.StatusGatewayTimeout) // it may have run
	is.True(time.Since(started) < time.Second)
}

// TestUnknownRoutesAndCredentials guards against final refusals based on a stale configuration, since a newer one may have the
// route or the credential.
func TestUnknownRoutesAndCredentials(t *testing.T) {
	for name, c := range map[string]struct {
		path, credential string
		age              time.Duration
		status           int
	}{
		"no route":                                {"/other/", "", 0, 404},
		"no route, stale configuration":           {"/other/", "", 10 * time.Second, 503},
		"unknown credential":                      {"/private/", "Credential: x", 0, 401},
		"unknown credential, stale configuration": {"/private/", "Credential: x", 10 * time.Second, 503},
		"known credential":                        {"/private/", "Credential: key", 0, 200},
		"known credential, stale configuration":   {"/private/", "Credential: key", 10 * time.Second, 200},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool { return writeOK(c, id, "") })
			f.age = c.age
			status, _, err := f.send(t, http.MethodPost, c.path, c.credential)
			is.NoErr(err)
			is.Equal(status, c.status)
		})
	}
}

// TestDrainingAndEvacuatedEndpoints guards against sending requests to draining endpoints and to evacuated failure domains.
func TestDrainingAndEvacuatedEndpoints(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool { return writeOK(c, id, "") })
	list := f.snapshot.Endpoints["S"]
	list[0].State = site.Draining
	list[1].FailureDomain = "d1"
	f.snapshot.Evacuated = map[string]bool{"d1": true}
	for range 20 {
		status, _, err := f.send(t, http.MethodPost, "/never/")
		is.NoErr(err)
		is.Equal(status, 200)
	}
	for _, id := range f.arrivals {
		is.Equal(id, "e2")
	}
	f.snapshot = &site.Snapshot{Gateways: 1, Configuration: f.snapshot.Configuration}
	status, _, err := f.send(t, http.MethodPost, "/never/")
	is.NoErr(err)
	is.Equal(status, 503)
}

// TestQuarantinedRequest guards against forwarding a request that has already crashed endpoints.
func TestQuarantinedRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ int, id string, _ *http.Request, c net.Conn) bool { return writeOK(c, id, "") })
	f.snapshot.Marks = map[uint64]quarantine.Evidence{}
	_, _, err := f.send(t, http.MethodPost, "/never/x")
	is.NoErr(err)
	is.Equal(f.arrivalCount(), 1)
	f.snapshot.Marks[forward.Fingerprint(&front.Request{Method: http.MethodPost, Target: "/never/x"}, nil)] = quarantine.Evidence{Endpoints: []string{"a", "b"}}
	status, _, err := f.send(t, http.MethodPost, "/never/x")
	is.NoErr(err)
	is.Equal(status, 503)
	is.Equal(f.arrivalCount(), 1)
}

// BenchmarkForward measures one request over a persistent connection of a caller, with the endpoint on the same machine. The
// CPU time and the allocations are those of the gateway, the endpoint and the caller together.
func BenchmarkForward(b *testing.B) {
	f := newFixture(b, func(_ int, id string, _ *http.Request, c net.Conn) bool { return writeOK(c, id, "answer") })
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
