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

// site runs trackers on an in-memory network, for use inside a synctest bubble. It implements Platform and counts reads.
type site struct {
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

// newSite returns a site whose entries E0, E1, ... are assigned to the failure domains in turn.
func newSite(t *testing.T, entries int, domains ...string) *site {
	s := &site{t: t, listeners: map[netip.AddrPort]*pipeListener{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.deployment = settings.Deployment{Site: "Test"}
	for i := range entries {
		s.deployment.Entries = append(s.deployment.Entries, settings.Entry{
			Name: fmt.Sprint("E", i), Address: address(i), FailureDomain: domains[i%len(domains)],
		})
	}
	return s
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+i))
}

func (s *site) stop() {
	s.cancel()
	s.wg.Wait()
}

// publish stores a configuration with the given LinkWeight, which makes contents differ, and returns its version.
func (s *site) publish(weight float64) uint64 {
	s.deployment.Policy.LinkWeight = weight
	content, err := settings.Accepted{Operator: "test", Deployment: s.deployment}.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	return s.storeContent(content)
}

// storeContent writes the object directly to the store, so that injected faults do not apply. It returns the version.
func (s *site) storeContent(content []byte) uint64 {
	obj, _ := s.fake.Store.Get(ObjectKind, ObjectName)
	version, err := s.fake.Store.Put(platform.Object{Kind: ObjectKind, Name: ObjectName, Version: obj.Version, Value: content})
	if err != nil {
		s.t.Fatal(err)
	}
	return version
}

// Get counts the reads and forwards them to the fake platform.
func (s *site) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	return s.fake.Get(ctx, kind, name)
}

func (s *site) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (
	[]platform.Event, uint64, error,
) {
	return s.fake.Watch(ctx, kind, after, wait)
}

func (s *site) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// dialer returns a dial function that connects the named process to addresses on the in-memory network.
func (s *site) dialer(from string) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		s.mu.Lock()
		l := s.listeners[addr]
		if l == nil || s.linked != nil && !s.linked(from, l.name) {
			s.mu.Unlock()
			return nil, errors.New("connection refused")
		}
		clientEnd, serverEnd := net.Pipe()
		s.conns = append(s.conns, pipeConn{clientEnd, from, l.name})
		s.mu.Unlock()
		select {
		case l.conns <- slowConn{serverEnd, s.delay}:
			return slowConn{clientEnd, s.delay}, nil
		case <-l.done:
			return nil, errors.New("connection refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// setLinked replaces linked and closes the connections that it no longer permits.
func (s *site) setLinked(linked func(from, to string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.linked = linked
	for _, c := range s.conns {
		if !linked(c.from, c.to) {
			_ = c.Close()
		}
	}
}

// node is one process of the site.
type node struct {
	*Tracker
	stop func()
}

// startEntry starts entry i of the deployment.
func (s *site) startEntry(i int) *node {
	e := s.deployment.Entries[i]
	return s.start(e.Name, e.FailureDomain, e.Address, s)
}

// startAgent starts an agent, a process without a peer address.
func (s *site) startAgent(name, domain string) *node {
	return s.start(name, domain, netip.AddrPort{}, s)
}

func (s *site) start(name, domain string, addr netip.AddrPort, p Platform) *node {
	t := &Tracker{
		Name: name, FailureDomain: domain, Platform: p, Address: addr, IsEntry: addr.IsValid(), Log: logr.Discard(),
		Dial: s.dialer(name),
	}
	for _, e := range s.deployment.Entries {
		t.Peers = append(t.Peers, e.Address)
	}
	ctx, cancel := context.WithCancel(s.ctx)
	var wg sync.WaitGroup
	wg.Go(func() { _ = t.Run(ctx) })
	if t.IsEntry {
		l := &pipeListener{name: name, conns: make(chan net.Conn), done: make(chan struct{})}
		s.mu.Lock()
		s.listeners[addr] = l
		s.mu.Unlock()
		server := &peer.Server{Name: name, FailureDomain: domain, Config: t, Log: logr.Discard()}
		wg.Go(func() { _ = server.Run(ctx, l) })
	}
	wg.Go(func() { s.checkMonotonic(ctx, t) })
	s.wg.Go(wg.Wait)
	return &node{Tracker: t, stop: func() { cancel(); wg.Wait() }}
}

// checkMonotonic checks at every change that the version in force has not decreased.
func (s *site) checkMonotonic(ctx context.Context, t *Tracker) {
	last := uint64(0)
	for {
		changed := t.Changed()
		if v := t.Version(); v < last {
			s.t.Errorf("%s reverted from version %d to %d", t.Name, last, v)
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
func (s *site) waitForVersion(version uint64, limit time.Duration, nodes ...*node) time.Duration {
	s.t.Helper()
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
				s.t.Fatalf("%s has version %d after %v, want %d", n.Name, n.Version(), limit, version)
			}
		}
	}
	return time.Since(start)
}

// pushTo sends a push to one entry as the primrosectl command does.
func (s *site) pushTo(to netip.AddrPort, push wire.ConfigPush) {
	conn, err := s.dialer("ctl")(s.ctx, to)
	if err != nil {
		s.t.Fatal(err)
	}
	defer conn.Close()
	c := wire.NewConn(conn)
	if err := c.Write(wire.Hello{Protocol: wire.ProtocolVersion, Name: "ctl"}); err != nil {
		s.t.Fatal(err)
	}
	if _, err := c.Read(); err != nil {
		s.t.Fatal(err)
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
		s.t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	_ = conn.Close()
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
