package agent_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"go.uber.org/goleak"

	"primrosecourse/internal/process/agent"
	"primrosecourse/internal/process/engine"
	"primrosecourse/internal/process/platform/platformtest"
	standin "primrosecourse/internal/standin/engine"
	"primrosecourse/internal/version/config"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/token"
	"primrosecourse/pkg/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// configuration is an agent.Configuration that only the test changes.
type configuration struct {
	mu       sync.Mutex
	snapshot *config.Snapshot
	changed  chan struct{}
}

func (c *configuration) set(d settings.Deployment) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot = &config.Snapshot{Version: c.snapshot.Version + 1, Deployment: &d}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *configuration) Current() *config.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot
}

func (c *configuration) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *configuration) Version() uint64                     { return c.Current().Version }
func (c *configuration) StartFetch(version uint64) bool      { return version > c.Version() }
func (c *configuration) Offer(wire.ConfigPush) (bool, error) { return false, nil }

func (c *configuration) Push() wire.ConfigPush {
	content, _ := json.Marshal(c.Current().Deployment)
	return wire.ConfigPush{Version: c.Version(), Content: content}
}

func deployment(weights string) settings.Deployment {
	return settings.Deployment{
		Site:           "Test",
		FailureDomains: []settings.FailureDomain{{Name: "South"}},
		Endpoints: []settings.Endpoint{
			{Name: "Endpoint1", FailureDomain: "South", Model: "M1", BatchLimit: 6, ColdLimit: 2},
			{Name: "Service1", Kind: settings.ServiceEndpoint, FailureDomain: "South", Service: "Orders"},
		},
		Models:        []settings.Model{{Name: "M1", Version: weights, BlockTokens: 8}},
		Services:      []settings.Service{{Name: "Orders"}},
		Organisations: []settings.Organisation{{Name: "Org1", Models: []string{"M1"}, Services: []string{"Orders"}}},
		Limits:        settings.Limits{DrainTimeout: time.Minute},
	}
}

// fixture is an agent with a stand-in engine.
type fixture struct {
	*agent.Agent
	t       testing.TB
	engine  *standin.Engine
	client  *engine.Client
	config  *configuration
	objects *platformtest.Fake
	stop    context.CancelFunc // begins the graceful shutdown
	done    chan error
	mu      sync.Mutex
	log     strings.Builder
	events  chan string // names of logged events, for awaitEvent
}

// setUp starts the engine and prepares the agent.
func setUp(t testing.TB, s standin.Settings) *fixture {
	t.Helper()
	s.Model, s.Version, s.BlockTokens = "M1", "v1", 8
	if s.BatchLimit == 0 {
		s.BatchLimit = 6
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{
		t: t, engine: standin.New(s), client: engine.New(l.Addr().(*net.TCPAddr).AddrPort()),
		objects: &platformtest.Fake{}, done: make(chan error, 1), events: make(chan string, 100_000),
		config: &configuration{snapshot: &config.Snapshot{}, changed: make(chan struct{})},
	}
	f.config.set(deployment("v1"))
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- f.engine.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
		f.client.Close()
	})
	f.Agent = &agent.Agent{
		Name: "Endpoint1", Address: freeAddress(t), FailureDomain: "South", Engine: f.client, Platform: f.objects,
		Configuration: f.config, ReconcileInterval: 20 * time.Millisecond,
		Log: funcr.NewJSON(func(line string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.log.WriteString(line + "\n")
			var entry struct{ Msg string }
			_ = json.Unmarshal([]byte(line), &entry)
			f.events <- entry.Msg
		}, funcr.Options{}),
	}
	return f
}

// freeAddress returns an address for a later listener. It avoids 127.0.0.1, whose ports are also assigned to outgoing
// connections of other tests.
func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.N(254), rand.N(256), 1+rand.N(254)))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// run starts the agent. At the end of the test the agent is stopped and its result checked, unless the test did so.
func (f *fixture) run() *fixture {
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() { f.done <- f.Agent.Run(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		f.Abort()
		if err, open := <-f.done; open && err != nil {
			f.t.Error(err)
		}
	})
	f.awaitEvent("AgentStarted")
	return f
}

func start(t testing.TB, s standin.Settings) *fixture {
	t.Helper()
	f := setUp(t, s).run()
	f.awaitEvent("EngineServing")
	return f
}

// awaitEvent waits for a log event.
func (f *fixture) awaitEvent(name string) {
	f.t.Helper()
	timeout := time.After(time.Minute)
	for {
		select {
		case got := <-f.events:
			if got == name {
				return
			}
		case <-timeout:
			f.t.Fatalf("event %s was not logged:\n%s", name, f.logText())
		}
	}
}

// awaitQueued waits until n requests are queued.
func (f *fixture) awaitQueued(n int) {
	for f.Load().Queued != n {
		time.Sleep(time.Millisecond)
	}
}

func (f *fixture) logText() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.log.String()
}

// entryConn is the connection of an entry to the agent.
type entryConn struct {
	f       *fixture
	conn    *wire.Conn
	mu      sync.Mutex
	next    uint64
	streams map[uint64]chan wire.Message
	control chan wire.Message // messages that belong to no stream
}

func (f *fixture) dial() *entryConn {
	f.t.Helper()
	netConn, err := net.Dial("tcp", f.Address.String())
	if err != nil {
		f.t.Fatal(err)
	}
	c := &entryConn{f: f, conn: wire.NewConn(netConn), streams: map[uint64]chan wire.Message{}, control: make(chan wire.Message, 1000)}
	c.write(wire.Hello{Protocol: wire.ProtocolVersion, Name: "Entry1", ConfigVersion: f.config.Version()})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.read()
	}()
	f.t.Cleanup(func() {
		c.conn.Close()
		<-ended
	})
	return c
}

func (c *entryConn) read() {
	for {
		m, err := c.conn.Read()
		if err != nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			for _, messages := range c.streams {
				close(messages)
			}
			c.streams = nil
			return
		}
		var stream uint64
		switch m := m.(type) {
		case wire.Goodbye:
			_ = c.conn.Write(wire.Goodbye{}) // the agent then closes the connection
		case wire.Accepted:
			stream = m.Stream
		case wire.Refused:
			stream = m.Stream
		case wire.Tokens:
			stream = m.Stream
		case wire.End:
			stream = m.Stream
		case wire.Reply:
			stream = m.Stream
		}
		c.mu.Lock()
		messages := c.streams[stream]
		c.mu.Unlock()
		if messages == nil {
			messages = c.control
		}
		messages <- m
	}
}

func (c *entryConn) write(m wire.Message) {
	if err := c.conn.Write(m); err != nil {
		c.f.t.Error(err)
	}
}

// stream is one request on an entryConn.
type stream struct {
	*entryConn
	id       uint64
	messages chan wire.Message
}

func (c *entryConn) open() stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	s := stream{c, c.next, make(chan wire.Message, 10_000)}
	if c.streams != nil {
		c.streams[s.id] = s.messages
	}
	return s
}

// newPrompt returns a request with the version of the current configuration.
func (f *fixture) newPrompt(id, text string) wire.Submit {
	v := f.config.Current()
	return wire.Submit{
		ConfigVersion: v.Version, Organisation: "Org1", Model: "M1", WeightVersion: v.Deployment.Models[0].Version,
		Prompt: token.Encode(text), MaxTokens: 8, RequestID: id, Fingerprint: standin.Fingerprint(token.Encode(text)),
	}
}

func (c *entryConn) submit(m wire.Submit) stream {
	s := c.open()
	m.Stream = s.id
	c.write(m)
	return s
}

// awaitAccepted waits until the request is accepted.
func (s stream) awaitAccepted() wire.Accepted {
	s.f.t.Helper()
	return receive[wire.Accepted](s.f.t, s.messages)
}

// awaitLast returns the tokens received and the last message: End or Refused, or nil if the connection ended first.
func (s stream) awaitLast() (tokens []uint32, last wire.Message) {
	for m := range s.messages {
		switch m := m.(type) {
		case wire.Tokens:
			tokens = append(tokens, m.Tokens...)
		case wire.End, wire.Refused:
			return tokens, m
		}
	}
	return tokens, nil
}

func (s stream) awaitRefused() wire.Refused {
	s.f.t.Helper()
	return receive[wire.Refused](s.f.t, s.messages)
}

func (s stream) awaitEnd() wire.End {
	s.f.t.Helper()
	_, last := s.awaitLast()
	end, ok := last.(wire.End)
	if !ok {
		s.f.t.Fatalf("got %#v, want wire.End", last)
	}
	return end
}

func receive[T wire.Message](t testing.TB, c <-chan wire.Message) T {
	t.Helper()
	for {
		select {
		case m, open := <-c:
			if typed, ok := m.(T); ok {
				return typed
			}
			if !open || c == nil {
				t.Fatal("the connection ended")
			}
			if _, skip := m.(wire.ConfigPush); !skip {
				if _, skip = m.(wire.Hello); !skip {
					t.Fatalf("got unexpected message %#v", m)
				}
			}
		case <-time.After(time.Minute):
			t.Fatal("timed out waiting for a message")
		}
	}
}

// expectedAnswer returns the first n tokens of the stand-in engine's answer to a prompt.
func expectedAnswer(text string, n int) []uint32 {
	tokens := make([]uint32, n)
	for i := range tokens {
		tokens[i] = standin.Answer(standin.Fingerprint(token.Encode(text)), i)
	}
	return tokens
}
