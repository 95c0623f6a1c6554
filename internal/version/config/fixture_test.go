package config

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"primrosecourse/internal/connection/peer"
	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/process/platform/platformtest"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// fixture runs trackers on an in-memory network, for use inside a synctest bubble. It implements Platform and counts reads.
type fixture struct {
	t          *testing.T
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	fake       platformtest.Fake
	deployment settings.Deployment
	delay      time.Duration

	mu        sync.Mutex
	listeners map[netip.AddrPort]*pipeListener
	reads     int
	// linked reports whether one process may dial another, by name; nil permits all connections.
	linked func(from, to string) bool
	conns  []pipeConn
}

type pipeConn struct {
	net.Conn
	from, to string
}

type pipeListener struct {
	name  string
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// slowConn delays each write by the one-way delay of a link.
type slowConn struct {
	net.Conn
	delay time.Duration
}

func (c slowConn) Write(p []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(p)
}

// newFixture returns a fixture whose entries E0, E1, ... are assigned to the failure domains in turn.
func newFixture(t *testing.T, entries int, domains ...string) *fixture {
	f := &fixture{t: t, listeners: map[netip.AddrPort]*pipeListener{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.deployment = settings.Deployment{Site: "Test"}
	for i := range entries {
		f.deployment.Entries = append(f.deployment.Entries, settings.Entry{
			Name: fmt.Sprint("E", i), Address: address(i), FailureDomain: domains[i%len(domains)],
		})
	}
	return f
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+i))
}

func (f *fixture) stop() {
	f.cancel()
	f.wg.Wait()
}

// publish stores a configuration with the given LinkWeight, which makes contents differ, and returns its version.
func (f *fixture) publish(weight float64) uint64 {
	f.deployment.Policy.LinkWeight = weight
	content, err := settings.Accepted{Operator: "test", Deployment: f.deployment}.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	return f.storeContent(content)
}

// storeContent writes the object directly to the store, so that injected faults do not apply. It returns the version.
func (f *fixture) storeContent(content []byte) uint64 {
	obj, _ := f.fake.Store.Get(ObjectKind, ObjectName)
	version, err := f.fake.Store.Put(platform.Object{Kind: ObjectKind, Name: ObjectName, Version: obj.Version, Value: content})
	if err != nil {
		f.t.Fatal(err)
	}
	return version
}

// Get counts the reads and forwards them to the fake platform.
func (f *fixture) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	f.mu.Lock()
	f.reads++
	f.mu.Unlock()
	return f.fake.Get(ctx, kind, name)
}

func (f *fixture) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (
	[]platform.Event, uint64, error,
) {
	return f.fake.Watch(ctx, kind, after, wait)
}

func (f *fixture) readCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

// dialer returns a dial function that connects the named process to addresses on the in-memory network.
func (f *fixture) dialer(from string) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		f.mu.Lock()
		l := f.listeners[addr]
		if l == nil || f.linked != nil && !f.linked(from, l.name) {
			f.mu.Unlock()
			return nil, errors.New("connection refused")
		}
		clientEnd, serverEnd := net.Pipe()
		f.conns = append(f.conns, pipeConn{clientEnd, from, l.name})
		f.mu.Unlock()
		select {
		case l.conns <- slowConn{serverEnd, f.delay}:
			return slowConn{clientEnd, f.delay}, nil
		case <-l.done:
			return nil, errors.New("connection refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// setLinked replaces linked and closes the connections that it no longer permits.
func (f *fixture) setLinked(linked func(from, to string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.linked = linked
	for _, c := range f.conns {
		if !linked(c.from, c.to) {
			_ = c.Close()
		}
	}
}

// node is one process of the fixture.
type node struct {
	*Tracker
	stop func()
}

// startEntry starts entry i of the deployment.
func (f *fixture) startEntry(i int) *node {
	e := f.deployment.Entries[i]
	return f.start(e.Name, e.FailureDomain, e.Address, f)
}

// startAgent starts an agent, a process without a peer address.
func (f *fixture) startAgent(name, domain string) *node {
	return f.start(name, domain, netip.AddrPort{}, f)
}

func (f *fixture) start(name, domain string, addr netip.AddrPort, p Platform) *node {
	t := &Tracker{
		Name: name, FailureDomain: domain, Platform: p, Address: addr, IsEntry: addr.IsValid(), Log: logr.Discard(),
		Dial: f.dialer(name),
	}
	for _, e := range f.deployment.Entries {
		t.Peers = append(t.Peers, e.Address)
	}
	ctx, cancel := context.WithCancel(f.ctx)
	var wg sync.WaitGroup
	wg.Go(func() { _ = t.Run(ctx) })
	if t.IsEntry {
		l := &pipeListener{name: name, conns: make(chan net.Conn), done: make(chan struct{})}
		f.mu.Lock()
		f.listeners[addr] = l
		f.mu.Unlock()
		server := &peer.Server{Name: name, FailureDomain: domain, Config: t, Log: logr.Discard()}
		wg.Go(func() { _ = server.Run(ctx, l) })
	}
	wg.Go(func() { f.checkMonotonic(ctx, t) })
	f.wg.Go(wg.Wait)
	return &node{Tracker: t, stop: func() { cancel(); wg.Wait() }}
}

// checkMonotonic checks at every change that the version in force has not decreased.
func (f *fixture) checkMonotonic(ctx context.Context, t *Tracker) {
	last := uint64(0)
	for {
		changed := t.Changed()
		if v := t.Version(); v < last {
			f.t.Errorf("%s reverted from version %d to %d", t.Name, last, v)
		} else {
			last = v
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// waitForVersion waits until all nodes have at least the version, and returns the elapsed time. It fails the test after
// limit.
func (f *fixture) waitForVersion(version uint64, limit time.Duration, nodes ...*node) time.Duration {
	f.t.Helper()
	start := time.Now()
	deadline := time.After(limit)
	for _, n := range nodes {
		for n.Version() < version {
			changed := n.Changed()
			if n.Version() >= version {
				break
			}
			select {
			case <-changed:
			case <-deadline:
				f.t.Fatalf("%s has version %d after %v, want %d", n.Name, n.Version(), limit, version)
			}
		}
	}
	return time.Since(start)
}

// pushTo sends a push to one entry as the primrosectl command does.
func (f *fixture) pushTo(to netip.AddrPort, push wire.ConfigPush) {
	netConn, err := f.dialer("ctl")(f.ctx, to)
	if err != nil {
		f.t.Fatal(err)
	}
	defer netConn.Close()
	c := wire.NewConn(netConn)
	if err := c.Write(wire.Hello{Protocol: wire.ProtocolVersion, Name: "ctl"}); err != nil {
		f.t.Fatal(err)
	}
	if _, err := c.Read(); err != nil {
		f.t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			if _, err := c.Read(); err != nil {
				return
			}
		}
	}()
	if err := c.Write(push); err != nil {
		f.t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	_ = netConn.Close()
	<-done
}

// runInBubble runs a test with virtual time. synctest fails the test if a goroutine is left over.
//
// The test runs with GOMAXPROCS 1: the timers of a bubble share one race detector context, and go1.26 crashes in the
// detector when timers of a bubble fire on two processors at once. Races are still found, because the detector compares
// the order of synchronisation and not of execution.
func runInBubble(t *testing.T, run func(t *testing.T)) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, run)
}
