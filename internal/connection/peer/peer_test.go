package peer_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"primrosecourse/internal/connection/peer"
	"primrosecourse/pkg/wire"
)

// fakeConfig is a peer.Config that accepts any higher version.
type fakeConfig struct {
	mu      sync.Mutex
	push    wire.ConfigPush
	changed chan struct{}
	wanted  uint64
}

func newFakeConfig(version uint64, content string) *fakeConfig {
	return &fakeConfig{
		push: wire.ConfigPush{Version: version, Content: []byte(content)}, changed: make(chan struct{}),
	}
}

func (c *fakeConfig) Version() uint64 { return c.Push().Version }

func (c *fakeConfig) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *fakeConfig) Push() wire.ConfigPush {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.push
}

func (c *fakeConfig) Offer(push wire.ConfigPush) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(push.Content) == 0 || push.Version <= c.push.Version {
		return false, nil
	}
	c.push = push
	close(c.changed)
	c.changed = make(chan struct{})
	return true, nil
}

func (c *fakeConfig) StartFetch(version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= max(c.push.Version, c.wanted) {
		return false
	}
	c.wanted = version
	return true
}

// waitFor waits until the version or a higher one is in force.
func (c *fakeConfig) waitFor(version uint64) {
	for {
		changed := c.Changed()
		if c.Version() >= version {
			return
		}
		<-changed
	}
}

// runner runs servers and clients until the test or benchmark ends. After a test it checks that no goroutine is left.
type runner struct {
	t   testing.TB
	ctx context.Context
	wg  sync.WaitGroup
}

func newRunner(t testing.TB) *runner {
	if _, ok := t.(*testing.T); ok {
		t.Cleanup(func() { goleak.VerifyNone(t) })
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runner{t: t, ctx: ctx}
	t.Cleanup(func() { cancel(); r.wg.Wait() })
	return r
}

// serve starts a server and returns its address.
func (r *runner) serve(s *peer.Server) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	s.Log = logr.Discard()
	r.wg.Go(func() {
		if err := s.Run(r.ctx, listener); err != nil {
			r.t.Error(err)
		}
	})
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// subscribe starts a client and returns a channel with the error of its Run.
func (r *runner) subscribe(c *peer.Client) <-chan error {
	c.Log = logr.Discard()
	done := make(chan error, 1)
	r.wg.Go(func() { done <- c.Run(r.ctx) })
	return done
}

// dial opens a connection on which the test reads and writes messages itself.
func (r *runner) dial(addr netip.AddrPort) *wire.Conn {
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	return wire.NewConn(c)
}

func (r *runner) handshake(c *wire.Conn) {
	if err := c.Write(wire.Hello{Protocol: wire.ProtocolVersion, Name: "raw"}); err != nil {
		r.t.Fatal(err)
	}
	if _, err := c.Read(); err != nil {
		r.t.Fatal(err)
	}
}

// readUntil reads messages until one of type T arrives, and returns it.
func readUntil[T wire.Message](t testing.TB, c *wire.Conn) T {
	for {
		m, err := c.Read()
		if err != nil {
			t.Fatal(err)
		}
		if want, ok := m.(T); ok {
			return want
		}
	}
}

// TestConfigurationReachesBothSides guards against a version that a connection distributes in one direction only, or that
// is not distributed when a connection is opened.
func TestConfigurationReachesBothSides(t *testing.T) {
	r := newRunner(t)
	server, client, late := newFakeConfig(1, "one"), newFakeConfig(0, ""), newFakeConfig(4, "four")
	addr := r.serve(&peer.Server{Name: "S", Config: server})
	r.subscribe(&peer.Client{Name: "C", Address: addr, Config: client})
	client.waitFor(1)
	_, _ = server.Offer(wire.ConfigPush{Version: 2, Content: []byte("two")})
	client.waitFor(2)
	_, _ = client.Offer(wire.ConfigPush{Version: 3, Content: []byte("three")})
	server.waitFor(3)
	r.subscribe(&peer.Client{Name: "L", Address: addr, Config: late})
	server.waitFor(4)
	client.waitFor(4)
	is.New(t).Equal(string(client.Push().Content), "four")
}

// TestHandshake guards against serving a peer that has another protocol version or sends an unexpected message, and against
// closing its connection without a reason.
func TestHandshake(t *testing.T) {
	is := is.New(t)
	r := newRunner(t)
	addr := r.serve(&peer.Server{Name: "S", Config: newFakeConfig(1, "one")})
	for _, first := range []wire.Message{
		wire.Hello{Protocol: wire.ProtocolVersion + 1}, wire.ConfigPush{Version: 9, Content: []byte("nine")},
	} {
		c := r.dial(addr)
		is.NoErr(c.Write(first))
		m, err := c.Read()
		is.NoErr(err)
		is.True(m.(wire.Goodbye).Reason != "")
		_, err = c.Read()
		is.Equal(err, io.EOF)
	}
	c := r.dial(addr)
	r.handshake(c)
	is.NoErr(c.Write(wire.Submit{Stream: 1}))
	is.True(readUntil[wire.Goodbye](t, c).Reason != "")
	// The client also disconnects from a server of another protocol version.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	done := r.subscribe(&peer.Client{
		Name: "C", Address: listener.Addr().(*net.TCPAddr).AddrPort(), Config: newFakeConfig(0, ""),
	})
	accepted, err := listener.Accept()
	is.NoErr(err)
	raw := wire.NewConn(accepted)
	defer raw.Close()
	_, err = raw.Read()
	is.NoErr(err)
	is.NoErr(raw.Write(wire.Hello{Protocol: wire.ProtocolVersion + 1}))
	is.True(errors.Is(<-done, peer.ErrProtocol))
	readUntil[wire.Goodbye](t, raw)
}

// TestMaxConns guards against more connections than MaxConns, and against a slot that a closed connection does not free.
func TestMaxConns(t *testing.T) {
	is := is.New(t)
	r := newRunner(t)
	addr := r.serve(&peer.Server{Name: "S", Config: newFakeConfig(1, "one"), MaxConns: 1})
	first := r.dial(addr)
	r.handshake(first)
	second := r.dial(addr)
	m, err := second.Read()
	is.NoErr(err)
	is.Equal(m, wire.Goodbye{Reason: "too many connections"})
	is.NoErr(first.Close())
	for accepted := false; !accepted; {
		c := r.dial(addr)
		if c.Write(wire.Hello{Protocol: wire.ProtocolVersion}) != nil {
			continue
		}
		m, _ := c.Read()
		_, accepted = m.(wire.Hello)
	}
}

// TestPingReturnsVersion guards against a server whose version the command line cannot query.
func TestPingReturnsVersion(t *testing.T) {
	is := is.New(t)
	r := newRunner(t)
	addr := r.serve(&peer.Server{Name: "S", Config: newFakeConfig(7, "seven")})
	c := r.dial(addr)
	r.handshake(c)
	is.NoErr(c.Write(wire.Ping{Stream: 5}))
	load := readUntil[wire.Load](t, c)
	is.Equal(load.Stream, uint64(5))
	is.Equal(load.Load.ConfigVersion, uint64(7))
	is.NoErr(c.Write(wire.ConfigWant{Version: 3}))
	for push := (wire.ConfigPush{}); len(push.Content) == 0; {
		push = readUntil[wire.ConfigPush](t, c)
		is.Equal(push.Version, uint64(7))
	}
}

// TestSlowPeerIsDisconnected guards against a peer that does not read and so takes up memory: it is disconnected, and others
// are still served.
func TestSlowPeerIsDisconnected(t *testing.T) {
	is := is.New(t)
	r := newRunner(t)
	marks := &peer.Relay{}
	config := newFakeConfig(1, string(make([]byte, 1<<20)))
	addr := r.serve(&peer.Server{Name: "S", Config: config, Marks: marks})
	c := r.dial(addr)
	r.handshake(c)
	// Each response has 1 MB. When the network buffers are full, the queue fills and the server closes the connection.
	var err error
	for err == nil {
		err = c.Write(wire.ConfigWant{})
	}
	is.True(err != nil)
	other := newFakeConfig(0, "")
	r.subscribe(&peer.Client{Name: "C", Address: addr, Config: other})
	other.waitFor(1)
}

// TestMarksReachAllOnce guards against a mark that does not reach all entries over a ring of connections, or that circulates
// in it for ever.
func TestMarksReachAllOnce(t *testing.T) {
	is := is.New(t)
	r := newRunner(t)
	const size = 4
	got := make(chan int, 100)
	var relays [size]*peer.Relay
	var addrs [size]netip.AddrPort
	for i := range size {
		relays[i] = &peer.Relay{OnMark: func(wire.Mark) { got <- i }}
		addrs[i] = r.serve(&peer.Server{Name: "S", Config: newFakeConfig(1, "one"), Marks: relays[i]})
	}
	var connected sync.WaitGroup
	for i := range size {
		connected.Add(1)
		first := sync.OnceFunc(connected.Done)
		r.subscribe(&peer.Client{
			Name: "C", Address: addrs[(i+1)%size], Config: newFakeConfig(0, ""), Marks: relays[i],
			OnPush: func(wire.ConfigPush) { first() },
		})
	}
	connected.Wait() // the first push shows that both sides of the connection have registered with their relays
	for i := range 3 {
		mark := wire.Mark{Fingerprint: 1, Endpoints: []string{"M", "N"}[:min(i+1, 2)], Remaining: 1 << 40}
		relays[0].Publish(mark) // the third mark equals the second
	}
	count := map[int]int{}
	for range 2 * (size - 1) {
		count[<-got]++
	}
	is.Equal(count, map[int]int{1: 2, 2: 2, 3: 2})
	last := wire.Mark{Fingerprint: 2, Endpoints: []string{"M"}, Remaining: 1 << 40}
	relays[2].Publish(last)
	for range size - 1 {
		count[<-got]++
	}
	is.Equal(count, map[int]int{0: 1, 1: 3, 2: 2, 3: 3})
}

// TestMarksReachLateSubscriber guards against a process that never receives a mark because it had no connection when the
// mark was published: a request that crashes engines would run on one more.
func TestMarksReachLateSubscriber(t *testing.T) {
	is := is.New(t)
	r := newRunner(t)
	relay := &peer.Relay{}
	mark := wire.Mark{Fingerprint: 1, Endpoints: []string{"M"}, Remaining: time.Hour}
	relay.Publish(mark)
	addr := r.serve(&peer.Server{Name: "S", Config: newFakeConfig(1, "one"), Marks: relay})
	got := make(chan wire.Mark, 1)
	late := &peer.Relay{OnMark: func(m wire.Mark) { got <- m }}
	r.subscribe(&peer.Client{Name: "C", Address: addr, Config: newFakeConfig(0, ""), Marks: late})
	m := <-got
	is.Equal(m.Fingerprint, mark.Fingerprint)
	is.Equal(m.Endpoints, mark.Endpoints)
	is.True(m.Remaining <= mark.Remaining)
}

// countingListener is a listener that counts its open connections.
type countingListener struct {
	net.Listener
	open atomic.Int32
}

type countedConn struct {
	net.Conn
	once sync.Once
	open *atomic.Int32
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &countedConn{Conn: c, open: &l.open}, nil
}

func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.open.Add(-1) })
	return err
}

// TestRunWaitsForConnections guards against a Server.Run that returns while it still serves connections.
func TestRunWaitsForConnections(t *testing.T) {
	is := is.New(t)
	r := newRunner(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &countingListener{Listener: listener}
	ctx, cancel := context.WithCancel(r.ctx)
	s := &peer.Server{Name: "S", Config: newFakeConfig(1, "one"), Log: logr.Discard()}
	done := make(chan error, 1)
	r.wg.Go(func() { done <- s.Run(ctx, l) })
	const conns = 50
	for i := range conns {
		c := r.dial(listener.Addr().(*net.TCPAddr).AddrPort())
		if i%2 == 0 {
			r.handshake(c) // the other half does not complete its handshake
		}
	}
	for l.open.Load() < conns {
		runtime.Gosched()
	}
	cancel()
	is.NoErr(<-done)
	is.Equal(l.open.Load(), int32(0))
}
