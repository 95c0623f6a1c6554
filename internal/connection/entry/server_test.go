package entry_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"primrosecourse/internal/connection/entry"
	"primrosecourse/pkg/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// handler runs each prompt until its context is cancelled. It first sends up to MaxTokens messages of 1000 bytes of
// text.
type handler struct {
	started chan uint64
	ended   chan uint64
	marks   chan wire.Mark
}

func (h *handler) Submit(ctx context.Context, m wire.Submit, send func(wire.Message)) {
	h.started <- m.Stream
	for i := 0; i < m.MaxTokens && ctx.Err() == nil; i++ {
		send(wire.Tokens{Stream: m.Stream, Index: i, Text: strings.Repeat("x", 1000)})
	}
	<-ctx.Done()
	h.ended <- m.Stream
}

func (h *handler) Call(_ context.Context, m wire.Call) wire.Message {
	return wire.Reply{Stream: m.Stream}
}
func (h *handler) Load() wire.LoadState { return wire.LoadState{State: wire.StateWarm} }
func (h *handler) Mark(m wire.Mark)     { h.marks <- m }
func (h *handler) Marks() []wire.Mark   { return nil }

// configuration accepts any push with content and a higher version.
type configuration struct {
	mu   sync.Mutex
	push wire.ConfigPush
}

func (c *configuration) Offer(m wire.ConfigPush) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(m.Content) == 0 || m.Version <= c.push.Version {
		return false, nil
	}
	c.push = m
	return true, nil
}

func (c *configuration) Version() uint64                { return c.Push().Version }
func (c *configuration) StartFetch(version uint64) bool { return version > c.Version() }

func (c *configuration) Push() wire.ConfigPush {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.push
}

type fixture struct {
	*handler
	server *entry.Server
	addr   string
	stop   func()
	mu     sync.Mutex
	log    strings.Builder
}

// start runs a server until the test ends or stop is called. A maxStreams of 0 means the default.
func start(t *testing.T, maxStreams int) *fixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{
		handler: &handler{make(chan uint64, 100), make(chan uint64, 100), make(chan wire.Mark, 1)},
		addr:    l.Addr().String(),
	}
	f.server = &entry.Server{
		Name: "Endpoint1", Handler: f.handler, MaxStreams: maxStreams, WriteTimeout: time.Minute,
		GoodbyeTimeout: time.Millisecond,
		Configuration:  &configuration{push: wire.ConfigPush{Version: 5, Content: []byte("five")}},
		Log: funcr.New(func(_, args string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.log.WriteString(args + "\n")
		}, funcr.Options{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.server.Serve(ctx, l) }()
	f.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(f.stop)
	return f
}

// dial connects to the server and exchanges Hello.
func (f *fixture) dial(t *testing.T, hello wire.Hello) *wire.Conn {
	t.Helper()
	netConn, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	c := wire.NewConn(netConn)
	t.Cleanup(func() { c.Close() })
	if err := c.Write(hello); err != nil {
		t.Fatal(err)
	}
	if m, err := c.Read(); err != nil || m.(wire.Hello).Name != "Endpoint1" {
		t.Fatal(m, err)
	}
	return c
}

var hello = wire.Hello{Protocol: wire.ProtocolVersion, Name: "Entry1", ConfigVersion: 5}

func mustRead[T wire.Message](t *testing.T, c *wire.Conn) T {
	t.Helper()
	m, err := c.Read()
	if err != nil {
		t.Fatal(err)
	}
	typed, ok := m.(T)
	if !ok {
		t.Fatalf("got %#v", m)
	}
	return typed
}

// TestMalformedMessageClosesOnlyItsConnection guards against a peer whose malformed or unexpected message ends other
// connections or the server, or is not logged.
func TestMalformedMessageClosesOnlyItsConnection(t *testing.T) {
	frame := func(n uint32, body ...byte) []byte { return append(binary.BigEndian.AppendUint32(nil, n), body...) }
	for _, test := range []struct {
		name  string
		bytes []byte
		log   string
	}{
		{"garbage", frame(3, byte(wire.TypeSubmit), 0xc1, 0xff), "malformed"},
		{"unknown type", frame(2, 250, 0), "unknown message type"},
		{"oversized", frame(wire.MaxFrameBytes+1, 1), "exceeds"},
		{"empty", frame(0), "malformed"},
		{"second Hello", frame(2, byte(wire.TypeHello), 0x80), "does not take"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, 0)
			good, bad := f.dial(t, hello), f.dial(t, hello)
			_, err := bad.NetConn().Write(test.bytes)
			is.NoErr(err)
			for err == nil {
				_, err = bad.Read() // a Goodbye may precede the end of the connection
			}
			is.NoErr(good.Write(wire.Ping{Stream: 1, ConfigVersion: 5}))
			is.Equal(mustRead[wire.Load](t, good).Load.State, wire.StateWarm)
			f.stop()
			is.True(strings.Contains(f.log.String(), "EntryRejected"))
			is.True(strings.Contains(f.log.String(), test.log))
		})
	}
}

// TestInvalidFirstMessageIsRejected guards against serving a peer that has another protocol version or sends no Hello.
func TestInvalidFirstMessageIsRejected(t *testing.T) {
	for name, first := range map[string]wire.Message{
		"other protocol version": wire.Hello{Protocol: wire.ProtocolVersion + 1}, "no Hello": wire.Ping{Stream: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, 0)
			netConn, err := net.Dial("tcp", f.addr)
			is.NoErr(err)
			c := wire.NewConn(netConn)
			defer c.Close()
			is.NoErr(c.Write(first))
			mustRead[wire.Hello](t, c)
			is.True(mustRead[wire.Goodbye](t, c).Reason != "")
			_, err = c.Read()
			is.Equal(err, io.EOF)
		})
	}
}

// TestCancelAndDisconnectEndStreams guards against runs that continue after their entry has cancelled them or its
// connection has ended.
func TestCancelAndDisconnectEndStreams(t *testing.T) {
	is := is.New(t)
	f := start(t, 0)
	c := f.dial(t, hello)
	for stream := uint64(1); stream <= 3; stream++ {
		is.NoErr(c.Write(wire.Submit{Stream: stream}))
		is.Equal(<-f.started, stream)
	}
	is.NoErr(c.Write(wire.Cancel{Stream: 2}))
	is.Equal(<-f.ended, uint64(2))
	is.NoErr(c.Close())
	is.Equal(<-f.ended+<-f.ended, uint64(1+3))
}

// TestSlowReaderIsDisconnected guards against an entry that does not read and so makes the memory of the agent grow.
func TestSlowReaderIsDisconnected(t *testing.T) {
	is := is.New(t)
	f := start(t, 0)
	c := f.dial(t, hello)
	is.NoErr(c.Write(wire.Submit{Stream: 1, MaxTokens: 40_000}))
	<-f.started
	<-f.ended // the test reads nothing, so the server disconnects it
	f.stop()
	is.True(strings.Contains(f.log.String(), "EntryTooSlow"))
}

// TestStreamLimits guards against a connection with an unbounded number of streams, and two streams with the same ID.
func TestStreamLimits(t *testing.T) {
	is := is.New(t)
	f := start(t, 1)
	c := f.dial(t, hello)
	is.NoErr(c.Write(wire.Submit{Stream: 1}))
	<-f.started
	is.NoErr(c.Write(wire.Submit{Stream: 2}))
	is.Equal(mustRead[wire.Refused](t, c).Outcome, wire.NotRun)
	is.NoErr(c.Write(wire.Submit{Stream: 1}))
	mustRead[wire.Goodbye](t, c)
	is.Equal(<-f.ended, uint64(1))
}

// TestConfigVersionsAreReconciled guards against a side that stays on an old configuration although the other has a
// newer one.
func TestConfigVersionsAreReconciled(t *testing.T) {
	is := is.New(t)
	f := start(t, 0)
	lower := f.dial(t, wire.Hello{Protocol: wire.ProtocolVersion, ConfigVersion: 4})
	is.Equal(mustRead[wire.ConfigPush](t, lower).Version, uint64(5)) // an announcement; the entry requests the content
	higher := f.dial(t, wire.Hello{Protocol: wire.ProtocolVersion, ConfigVersion: 6})
	is.Equal(mustRead[wire.ConfigWant](t, higher).Version, uint64(5))
	is.NoErr(higher.Write(wire.ConfigPush{Version: 6, Content: []byte("six")}))
	is.NoErr(higher.Write(wire.Ping{Stream: 1, ConfigVersion: 6}))
	mustRead[wire.Load](t, higher)
	is.NoErr(lower.Write(wire.ConfigWant{Version: 5}))
	is.Equal(string(mustRead[wire.ConfigPush](t, lower).Content), "six")
	is.NoErr(lower.Write(wire.Mark{Fingerprint: 7}))
	is.Equal((<-f.marks).Fingerprint, uint64(7))
}

// TestShutdownWritesBufferedAnswers guards against a shutdown that loses buffered messages or closes connections
// without Goodbye.
func TestShutdownWritesBufferedAnswers(t *testing.T) {
	is := is.New(t)
	f := start(t, 0)
	c := f.dial(t, hello)
	is.NoErr(c.Write(wire.Call{Stream: 1}))
	mustRead[wire.Reply](t, c)
	f.server.Broadcast(wire.End{Stream: 9})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.stop()
	}()
	is.Equal(mustRead[wire.End](t, c).Stream, uint64(9))
	mustRead[wire.Goodbye](t, c)
	_, err := c.Read()
	is.True(err == io.EOF || errors.Is(err, net.ErrClosed))
	select {
	case <-stopped:
	case <-time.After(time.Minute):
		t.Fatal("the server did not stop within a minute")
	}
}
