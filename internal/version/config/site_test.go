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

// site is a number of trackers on an in-memory network, for use inside a synctest bubble.
type site struct {
	t      *testing.T
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	fake   platformtest.Fake
	deploy settings.Deployment
	delay  time.Duration

	mu        sync.Mutex
	listeners map[netip.AddrPort]*pipeListener
	reads     int
	// linked tells whether one name may dial another; nil links all.
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

// newSite lays out entries E0, E1... over the failure domains in turn.
func newSite(t *testing.T, entries int, domains ...string) *site {
	s := &site{t: t, listeners: map[netip.AddrPort]*pipeListener{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.deploy = settings.Deployment{Site: "Test"}
	for i := range entries {
		s.deploy.Entries = append(s.deploy.Entries, settings.Entry{
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

// accept stores a configuration and returns its version. Sites differ in their Policy so that contents differ.
func (s *site) accept(weight float64) uint64 {
	s.deploy.Policy.LinkWeight = weight
	content, err := settings.Accepted{Operator: "test", Deployment: s.deploy}.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	return s.store(content)
}

// store writes the object behind the back of all faults.
func (s *site) store(content []byte) uint64 {
	obj, _ := s.fake.Store.Get(Kind, Name)
	version, err := s.fake.Store.Put(platform.Object{Kind: Kind, Name: Name, Version: obj.Version, Value: content})
	if err != nil {
		s.t.Fatal(err)
	}
	return version
}

// Get counts the reads.
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

// dial connects a name to an address over the in-memory network.
func (s *site) dial(from string) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		s.mu.Lock()
		l := s.listeners[addr]
		if l == nil || s.linked != nil && !s.linked(from, l.name) {
			s.mu.Unlock()
			return nil, errors.New("connection refused")
		}
		a, b := net.Pipe()
		s.conns = append(s.conns, pipeConn{a, from, l.name})
		s.mu.Unlock()
		select {
		case l.conns <- slowConn{b, s.delay}:
			return slowConn{a, s.delay}, nil
		case <-l.done:
			return nil, errors.New("connection refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// link replaces the links and closes the connections over links that are gone.
func (s *site) link(linked func(from, to string) bool) {
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

// entry starts an entry of the deployment, agent a process without a peer address.
func (s *site) entry(i int) *node {
	e := s.deploy.Entries[i]
	return s.start(e.Name, e.FailureDomain, e.Address, s)
}

func (s *site) agent(name, domain string) *node { return s.start(name, domain, netip.AddrPort{}, s) }

func (s *site) start(name, domain string, addr netip.AddrPort, p Platform) *node {
	t := &Tracker{
		Name: name, FailureDomain: domain, Platform: p, Address: addr, IsEntry: addr.IsValid(), Log: logr.Discard(),
		Dial: s.dial(name),
	}
	for _, e := range s.deploy.Entries {
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
	wg.Go(func() { s.monotonic(ctx, t) })
	s.wg.Go(wg.Wait)
	return &node{Tracker: t, stop: func() { cancel(); wg.Wait() }}
}

// monotonic checks at every change that the version in force rose.
func (s *site) monotonic(ctx context.Context, t *Tracker) {
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

// reach waits until all nodes have the version and returns the time that it took, at most limit.
func (s *site) reach(version uint64, limit time.Duration, nodes ...*node) time.Duration {
	s.t.Helper()
	began := time.Now()
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
	return time.Since(began)
}

// push hands a version to one entry, as the command line does.
func (s *site) push(to netip.AddrPort, push wire.ConfigPush) {
	conn, err := s.dial("ctl")(s.ctx, to)
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

// bubble runs a test with virtual time. synctest fails it if a goroutine outlives it.
//
// It runs on one processor: the timers of a bubble share one context of the race detector, and go1.26 crashes in the
// detector when timers of a bubble fire on two processors at once. Races are still found, since the detector compares
// the order of synchronisation and not of execution.
func bubble(t *testing.T, run func(t *testing.T)) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, run)
}
