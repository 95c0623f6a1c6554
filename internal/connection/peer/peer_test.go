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

// configuration is a peer.Config that takes any higher version.
type configuration struct {
	mu      sync.Mutex
	push    wire.ConfigPush
	changed chan struct{}
	wanted  uint64
}

func newConfiguration(version uint64, content string) *configuration {
	return &configuration{
		push: wire.ConfigPush{Version: version, Content: []byte(content)}, changed: make(chan struct{}),
	}
}

func (c *configuration) Version() uint64 { return c.Push().Version }

func (c *configuration) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *configuration) Push() wire.ConfigPush {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.push
}

func (c *configuration) Offer(push wire.ConfigPush) (bool, error) {
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

func (c *configuration) Wants(version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= max(c.push.Version, c.wanted) {
		return false
	}
	c.wanted = version
	return true
}

// reach waits until a version is in force.
func (c *configuration) reach(version uint64) {
	for {
		changed := c.Changed()
		if c.Version() >= version {
			return
		}
		<-changed
	}
}

// runner runs parts until the test ends, and then checks that no goroutine is left.
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

// subscribe starts a client and returns the channel of its end.
func (r *runner) subscribe(c *peer.Client) <-chan error {
	c.Log = logr.Discard()
	done := make(chan error, 1)
	r.wg.Go(func() { done <- c.Run(r.ctx) })
	return done
}

// dial opens a raw connection.
func (r *runner) dial(addr netip.AddrPort) *wire.Conn {
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	return wire.NewConn(c)
}

func (r *runner) greet(c *wire.Conn) {
	if err := c.Write(wire.Hello{Protocol: wire.ProtocolVersion, Name: "raw"}); err != nil {
		r.t.Fatal(err)
	}
	if _, err := c.Read(); err != nil {
		r.t.Fatal(err)
	}
}

// find reads until a message of type T comes.
func find[T wire.Message](t testing.TB, c *wire.Conn) T {
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

// TestSpread guards against a version that passes a connection in one direction only, or not when it is made.
func TestSpread(t *testing.T) {
	r := newRunner(t)
	server, client, late := newConfiguration(1, "one"), newConfiguration(0, ""), newConfiguration(4, "four")
	addr := r.serve(&peer.Server{Name: "S", Config: server})
	r.subscribe(&peer.Client{Name: "C", Address: addr, Config: client})
	client.reach(1)
	_, _ = server.Offer(wire.ConfigPush{Version: 2, Content: []byte("two")})
	client.reach(2)
	_, _ = client.Offer(wire.ConfigPush{Version: 3, Content: []byte("three")})
	server.reach(3)
	r.subscribe(&peer.Client{Name: "L", Address: addr, Config: late})
	server.reach(4)
	client.reach(4)
	is.New(t).Equal(string(client.Push().Content), "four")
}

// TestHello guards against a peer of another protocol that is served, or closed without a reason.
func TestHello(t *testing.T) {
	is := is.New(t)
	r := newRunner(t)
	addr := r.serve(&peer.Server{Name: "S", Config: newConfiguration(1, "one")})
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
	r.greet(c)
	is.NoErr(c.Write(wire.Submit{Stream: 1}))
	is.True(find[wire.Goodbye](t, c).Reason != "")
	// The client reports the reason of a server that refuses it.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	done := r.subscribe(&peer.Client{
		Name: "C", Address: listener.Addr().(*net.TCPAddr).AddrPort(), Config: newConfiguration(0, ""),
	})
	accepted, err := listener.Accept()
	is.NoErr(err)
	raw := wire.NewConn(accepted)
	defer raw.Close()
	_, err = raw.Read()
	is.NoErr(err)
	is.NoErr(raw.Write(wire.Hello{Protocol: wire.ProtocolVersion + 1}))
	is.True(errors.Is(<-done, peer.ErrProtocol))
	find[wire.Goodbye](t, raw)
}

// TestConnections guards against connections without bound, and a slot that is not freed.
func TestConnections(t *testing.T) {
	is := is.New(t)
	r := newRunner(t)
	addr := r.serve(&peer.Server{Name: "S", Config: newConfiguration(1, "one"), MaxConns: 1})
	first := r.dial(addr)
	r.greet(first)
	second := r.dial(addr)
	m, err := second.Read()
	is.NoErr(err)
	is.Equal(m, wire.Goodbye{Reason: "too many connections"})
	is.NoErr(first.Close())
	for greeted := false; !greeted; {
		c := r.dial(addr)
		if c.Write(wire.Hello{Protocol: wire.ProtocolVersion}) != nil {
			continue
		}
		m, _ := c.Read()
		_, greeted = m.(wire.Hello)
	}
}

// TestPing guards against a server whose version the command line cannot read.
func TestPing(t *testing.T) {
	is := is.New(t)
	r := newRunner(t)
	addr := r.serve(&peer.Server{Name: "S", Config: newConfiguration(7, "seven")})
	c := r.dial(addr)
	r.greet(c)
	is.NoErr(c.Write(wire.Ping{Stream: 5}))
	load := find[wire.Load](t, c)
	is.Equal(load.Stream, uint64(5))
	is.Equal(load.Load.ConfigVersion, uint64(7))
	is.NoErr(c.Write(wire.ConfigWant{Version: 3}))
	for push := (wire.ConfigPush{}); len(push.Content) == 0; {
		push = find[wire.ConfigPush](t, c)
		is.Equal(push.Version, uint64(7))
	}
}

// TestSlow guards against a peer that does not read and holds up memory: it is dropped and others go on.
func TestSlow(t *testing.T) {
	is := is.New(t)
	r := newRunner(t)
	marks := &peer.Relay{}
	config := newConfiguration(1, string(make([]byte, 1<<20)))
	addr := r.serve(&peer.Server{Name: "S", Config: config, Marks: marks})
	c := r.dial(addr)
	r.greet(c)
	// Each answer takes 1 MB; after the buffers of the network the queue fills, and the server closes.
	var err error
	for err == nil {
		err = c.Write(wire.ConfigWant{})
	}
	is.True(err != nil)
	other := newConfiguration(0, "")
	r.subscribe(&peer.Client{Name: "C", Address: addr, Config: other})
	other.reach(1)
}

// TestMarks guards against a mark that does not reach everyone over a circle of connections, or goes round for ever.
func TestMarks(t *testing.T) {
	is := is.New(t)
	r := newRunner(t)
	const size = 4
	got := make(chan int, 100)
	var relays [size]*peer.Relay
	var addrs [size]netip.AddrPort
	for i := range size {
		relays[i] = &peer.Relay{OnMark: func(wire.Mark) { got <- i }}
		addrs[i] = r.serve(&peer.Server{Name: "S", Config: newConfiguration(1, "one"), Marks: relays[i]})
	}
	var greeted sync.WaitGroup
	for i := range size {
		greeted.Add(1)
		first := sync.OnceFunc(greeted.Done)
		r.subscribe(&peer.Client{
			Name: "C", Address: addrs[(i+1)%size], Config: newConfiguration(0, ""), Marks: relays[i],
			OnPush: func(wire.ConfigPush) { first() },
		})
	}
	greeted.Wait() // the first push of a connection shows that both sides take part in the relay
	for i := range 3 {
		mark := wire.Mark{Fingerprint: 1, Endpoints: []string{"M", "N"}[:min(i+1, 2)], Remaining: 1 << 40}
		relays[0].Publish(mark) // the third is a repetition
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

// TestMarksReachLateSubscriber guards against a process that had no connection when a mark was made and never learns of
// it: a request that crashes engines would run on one more.
func TestMarksReachLateSubscriber(t *testing.T) {
	is := is.New(t)
	r := newRunner(t)
	relay := &peer.Relay{}
	mark := wire.Mark{Fingerprint: 1, Endpoints: []string{"M"}, Remaining: time.Hour}
	relay.Publish(mark)
	addr := r.serve(&peer.Server{Name: "S", Config: newConfiguration(1, "one"), Marks: relay})
	got := make(chan wire.Mark, 1)
	late := &peer.Relay{OnMark: func(m wire.Mark) { got <- m }}
	r.subscribe(&peer.Client{Name: "C", Address: addr, Config: newConfiguration(0, ""), Marks: late})
	m := <-got
	is.Equal(m.Fingerprint, mark.Fingerprint)
	is.Equal(m.Endpoints, mark.Endpoints)
	is.True(m.Remaining <= mark.Remaining)
}

// recorder is a listener whose connections tell that they were closed.
type recorder struct {
	net.Listener
	open atomic.Int32
}

type recorded struct {
	net.Conn
	once sync.Once
	open *atomic.Int32
}

func (l *recorder) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &recorded{Conn: c, open: &l.open}, nil
}

func (c *recorded) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.open.Add(-1) })
	return err
}

// TestRunOwnsConnections guards against a server that returns while it still serves connections.
func TestRunOwnsConnections(t *testing.T) {
	is := is.New(t)
	r := newRunner(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &recorder{Listener: listener}
	ctx, cancel := context.WithCancel(r.ctx)
	s := &peer.Server{Name: "S", Config: newConfiguration(1, "one"), Log: logr.Discard()}
	done := make(chan error, 1)
	r.wg.Go(func() { done <- s.Run(ctx, l) })
	const conns = 50
	for i := range conns {
		c := r.dial(listener.Addr().(*net.TCPAddr).AddrPort())
		if i%2 == 0 {
			r.greet(c) // the other half hangs in its greeting
		}
	}
	for l.open.Load() < conns {
		runtime.Gosched()
	}
	cancel()
	is.NoErr(<-done)
	is.Equal(l.open.Load(), int32(0))
}
