package entry_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"primrosecourse/pkg/wire"
)

// TestCallsAtStop guards against a call that arrives late in a stop on a kept connection and is taken, and against one that is in progress at the end of the stop
// and gets no final answer or a wrong one.
func TestCallsAtStop(t *testing.T) {
	release, started := make(chan struct{}), make(chan struct{}, 8)
	var mu sync.Mutex
	var ran []string
	f := startFixture(t, &behaviour{call: func(_ string, m wire.Call) wire.Message {
		mu.Lock()
		ran = append(ran, string(m.Body))
		mu.Unlock()
		started <- struct{}{}
		if strings.HasPrefix(string(m.Body), "slow") {
			<-release
		}
		return wire.Reply{Stream: m.Stream, Status: 201, Body: m.Body}
	}})
	defer close(release)
	c, err := net.Dial("tcp", f.entry.BoundAddress().String())
	f.is.NoErr(err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	br := bufio.NewReader(c)
	onKept := func(body string) (*http.Response, string) {
		_, err := fmt.Fprintf(c, "POST /services/Orders/new HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
			body, len(body), body)
		f.is.NoErr(err)
		response, err := http.ReadResponse(br, nil)
		f.is.NoErr(err) // the connection ended without an answer
		b, err := io.ReadAll(response.Body)
		f.is.NoErr(err)
		return response, string(b)
	}
	response, _ := onKept("before")
	f.is.Equal(response.StatusCode, 201)
	<-started
	slow := make(chan *http.Response, 1)
	go func() { slow <- f.post("/services/Orders/new", "slow") }()
	<-started
	f.shutDown()
	for f.get("/readyz") == 200 {
		time.Sleep(time.Millisecond)
	}
	response, body := onKept("late")
	f.is.Equal(response.StatusCode, 503)
	f.is.True(response.Close && response.Header.Get("Retry-After") != "")
	f.is.True(strings.Contains(body, `"outcome":"not run","reason":"Draining"`))
	f.entry.Abort() // ends the stop as its timeout does
	cut := <-slow
	b, err := io.ReadAll(cut.Body)
	f.is.NoErr(err)
	f.is.Equal(cut.StatusCode, 503)
	f.is.True(strings.Contains(string(b), `"outcome":"outcome unknown","reason":"Draining"`))
	f.is.Equal(cut.Header.Get("Retry-After"), "")
	f.is.NoErr(<-f.result)
	mu.Lock()
	defer mu.Unlock()
	f.is.Equal(strings.Join(ran, ","), "before,slow")
}

// TestRequestsAsStopBegins guards against a stop that closes connections on which a request has just arrived, unread: their callers can't tell that
// from a request that ran. The requests come on kept connections and on new ones; new ones may also be refused.
func TestRequestsAsStopBegins(t *testing.T) {
	f := startOrderFixture(t)
	connections := f.keptConnections(64)
	defer f.load()()
	begin := make(chan struct{})
	var callers sync.WaitGroup
	for i, c := range connections {
		callers.Go(func() {
			<-begin
			err := c.send()
			if err == nil {
				err = c.awaitAnswer()
			}
			if err != nil {
				t.Errorf("kept connection %d: %v", i, err)
			}
		})
		callers.Go(func() {
			<-begin
			c, err := f.dial()
			if err == nil {
				defer c.Close()
				if err = c.send(); err == nil {
					err = c.awaitAnswer()
				}
			}
			if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
				t.Errorf("new connection %d: %v", i, err)
			}
		})
	}
	close(begin)
	f.shutDown()
	callers.Wait()
	f.is.NoErr(<-f.result)
}

// TestArrivedRequestsAtEndOfStop guards against a stop that closes kept connections at its end although requests have arrived on them, whose bytes
// lie in the kernel.
func TestArrivedRequestsAtEndOfStop(t *testing.T) {
	f := startOrderFixture(t)
	connections := f.keptConnections(64)
	defer f.load()()
	f.entry.NoticeTime = 1 // the end is the beginning
	for _, c := range connections {
		f.is.NoErr(c.send())
	}
	f.shutDown()
	for i, c := range connections {
		if err := c.awaitAnswer(); err != nil {
			t.Errorf("connection %d: %v", i, err)
		}
	}
	f.is.NoErr(<-f.result)
}

// TestAnswersDuringStopCloseConnections guards against an answer during a stop that keeps the connection open, if its request came before the stop:
// the caller's next request would cross the close.
func TestAnswersDuringStopCloseConnections(t *testing.T) {
	for name, test := range map[string]struct{ path, body string }{
		"call":   {"/services/Orders/new", "one"},
		"prompt": {"/v1/completions", `{"model":"M","prompt":"a story","max_tokens":7}`},
		"stream": {"/v1/completions", streamRequest},
	} {
		t.Run(name, func(t *testing.T) {
			release, started := make(chan struct{}), make(chan struct{})
			f := startFixture(t, &behaviour{
				call: func(_ string, m wire.Call) wire.Message {
					close(started)
					<-release
					return wire.Reply{Stream: m.Stream, Status: 201, Body: m.Body}
				},
				submit: func(_ context.Context, _ string, m wire.Submit, send func(wire.Message)) {
					send(wire.Accepted{Stream: m.Stream})
					close(started)
					<-release
					send(tokensMessage(m, "one"))
					send(wire.End{Stream: m.Stream, Finish: wire.FinishStop})
				},
			})
			response := make(chan *http.Response, 1)
			go func() { response <- f.post(test.path, test.body) }()
			<-started
			f.shutDown()
			for f.get("/readyz") == 200 {
				time.Sleep(time.Millisecond)
			}
			close(release)
			r := <-response
			body, err := io.ReadAll(r.Body)
			f.is.NoErr(err)
			f.is.True(r.StatusCode < 300 && strings.Contains(string(body), "one"))
			f.is.True(r.Close)
			f.is.NoErr(<-f.result)
		})
	}
}

func startOrderFixture(t *testing.T) *fixture {
	return startFixture(t, &behaviour{call: func(_ string, m wire.Call) wire.Message {
		return wire.Reply{Stream: m.Stream, Status: 201, Body: m.Body}
	}})
}

// callerConnection is a connection of a caller, which sends orders on it.
type callerConnection struct {
	net.Conn
	br *bufio.Reader
}

func (f *fixture) dial() (*callerConnection, error) {
	c, err := net.Dial("tcp", f.entry.BoundAddress().String())
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &callerConnection{c, bufio.NewReader(c)}, nil
}

// keptConnections returns n connections on each of which an order was answered.
func (f *fixture) keptConnections(n int) (connections []*callerConnection) {
	for range n {
		c, err := f.dial()
		f.is.NoErr(err)
		f.is.NoErr(c.send())
		f.is.NoErr(c.awaitAnswer())
		connections = append(connections, c)
	}
	return connections
}

// load keeps the goroutines of the connections from running at once, until the function that it returns is called.
func (f *fixture) load() (end func()) {
	var stop atomic.Bool
	var load sync.WaitGroup
	for range runtime.NumCPU() {
		load.Go(func() {
			for !stop.Load() {
				runtime.KeepAlive(f)
			}
		})
	}
	return func() {
		stop.Store(true)
		load.Wait()
	}
}

func (c *callerConnection) send() error {
	_, err := fmt.Fprintf(c, "POST /services/Orders/new HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\nIdempotency-Key: k\r\nContent-Length: 3\r\n\r\none")
	return err
}

// awaitAnswer returns an error if the order is neither run nor refused as not run since the entry stops.
func (c *callerConnection) awaitAnswer() error {
	response, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	refused := response.StatusCode == 503 && strings.Contains(string(body), `"outcome":"not run","reason":"Draining"`)
	if response.StatusCode != 201 && !refused {
		return fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	return nil
}
