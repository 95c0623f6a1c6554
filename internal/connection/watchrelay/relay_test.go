package watchrelay

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"primrosecourse/internal/connection/call"
	"primrosecourse/internal/process/platform"
)

// store is a store with one kind of object. Each gateway has a path to it that can be cut.
type store struct {
	mu       sync.Mutex
	objects  map[string]Change
	log      []Change
	revision uint64
	gap      uint64 // changes up to this revision are forgotten
	changed  chan struct{}
	calls    int
}

func newStore() *store {
	return &store{objects: map[string]Change{}, revision: 10, changed: make(chan struct{})}
}

func (s *store) put(name, value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	c := Change{Name: name, Revision: s.revision, Value: json.RawMessage(value)}
	s.objects[name] = c
	s.log = append(s.log, c)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *store) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.objects, name)
	s.log = append(s.log, Change{Name: name, Revision: s.revision, Removed: true})
	close(s.changed)
	s.changed = make(chan struct{})
}

// path is one gateway's path to the store.
type path struct {
	store *store
	mu    sync.Mutex
	cut   bool
}

func (p *path) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

func (p *path) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *path) List(context.Context) (changes []Change, revision uint64, err error) {
	if p.isCut() {
		return nil, 0, platform.ErrUnavailable
	}
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.calls++
	for _, c := range p.store.objects {
		changes = append(changes, c)
	}
	return changes, p.store.revision, nil
}

func (p *path) Watch(ctx context.Context, after uint64, wait time.Duration) (changes []Change, revision uint64, err error) {
	end := time.NewTimer(wait)
	defer end.Stop()
	p.store.mu.Lock()
	p.store.calls++
	p.store.mu.Unlock()
	for expired := false; ; {
		if p.isCut() {
			time.Sleep(50 * time.Millisecond)
			return nil, 0, platform.ErrUnavailable
		}
		p.store.mu.Lock()
		if after < p.store.gap {
			p.store.mu.Unlock()
			return nil, 0, platform.ErrWatchGap
		}
		for _, c := range p.store.log {
			if c.Revision > after {
				changes = append(changes, c)
			}
		}
		revision, changed := p.store.revision, p.store.changed
		p.store.mu.Unlock()
		if len(changes) > 0 || expired {
			return changes, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-end.C:
			expired = true
		case <-changed:
		}
	}
}

// leaders is an order of gateways, which a test may change; each asks those before it, and others while the store fails.
type leaders struct {
	mu             sync.Mutex
	before, others []netip.Addr
}

func (l *leaders) DomainLeaders(_ string, n int) []netip.Addr {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.before[:min(n, len(l.before))]
}

func (l *leaders) OtherLeaders(string, int) []netip.Addr {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.others
}

func (l *leaders) set(before, others []netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.before, l.others = before, others
}

// gateway follows the objects through its relay, as the registry's follower does.
type gateway struct {
	path    *path
	relay   *Relay
	kind    *Kind
	leaders *leaders

	mu       sync.Mutex
	seen     map[string]string
	revision uint64
	// hang makes it leave calls of others unanswered, as a frozen process does.
	hang bool
}

const maxAge = 300 * time.Millisecond

// start runs n gateways of one domain until the end of the test.
func start(t *testing.T, n int) (s *store, gateways []*gateway) {
	t.Helper()
	s = newStore()
	s.put("first", `"1"`)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var followers sync.WaitGroup
	var before []netip.Addr
	port := uint16(0)
	for i := range n {
		host := netip.AddrFrom4([4]byte{127, 63, byte(i), 1})
		l, err := net.Listen("tcp", netip.AddrPortFrom(host, port).String())
		if err != nil {
			t.Fatal(err)
		}
		port = uint16(l.Addr().(*net.TCPAddr).Port)
		g := &gateway{path: &path{store: s}, seen: map[string]string{}, leaders: &leaders{before: slices.Clone(before)}}
		calls := call.New(call.Settings{IdleConnections: 4})
		g.relay = &Relay{Leaders: g.leaders, Port: port, Calls: calls, Log: logr.Discard()}
		g.kind = g.relay.Source("K", maxAge, g.path)
		before = append(before, host)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if g.hangs() {
				<-r.Context().Done()
				return
			}
			g.relay.ServeHTTP(w, r)
		}), ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(l) }()
		followers.Go(func() { g.follow(ctx) })
		t.Cleanup(func() {
			cancel()
			followers.Wait()
			_ = server.Close()
			calls.Close()
		})
		gateways = append(gateways, g)
	}
	return s, gateways
}

func (g *gateway) hangs() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hang
}

func (g *gateway) follow(ctx context.Context) {
	listed := false
	for ctx.Err() == nil {
		var changes []Change
		var revision uint64
		var err error
		if listed {
			changes, revision, err = g.kind.Watch(ctx, g.revision, 2*time.Second)
		} else {
			changes, revision, err = g.kind.List(ctx)
		}
		switch {
		case errors.Is(err, platform.ErrWatchGap):
			listed = false
		case err != nil:
			time.Sleep(10 * time.Millisecond)
		case revision >= g.revision:
			g.mu.Lock()
			if !listed {
				clear(g.seen)
			}
			for _, c := range changes {
				if g.seen[c.Name] = string(c.Value); c.Removed {
					delete(g.seen, c.Name)
				}
			}
			g.revision, listed = revision, true
			g.mu.Unlock()
		}
	}
}

func (g *gateway) value(name string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.seen[name]
}

// await fails unless all gateways see a value within d.
func await(t *testing.T, gateways []*gateway, name, value string, d time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(d); ; time.Sleep(time.Millisecond) {
		missing := ""
		for i, g := range gateways {
			if g.value(name) != value {
				missing += fmt.Sprintf(" %d has %q", i, g.value(name))
			}
		}
		if missing == "" {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("after %v, %s is not %q everywhere:%s", d, name, value, missing)
		}
	}
}

// TestCallsOfOneReader guards against a store that each gateway asks: in a quiet period only the first one does.
func TestCallsOfOneReader(t *testing.T) {
	is := is.New(t)
	s, gateways := start(t, 5)
	await(t, gateways, "first", `"1"`, 3*time.Second)
	time.Sleep(2500 * time.Millisecond) // a gateway that found no reader at the start asks again after failurePause
	s.mu.Lock()
	before := s.calls
	s.mu.Unlock()
	const period = 1200 * time.Millisecond
	time.Sleep(period)
	s.mu.Lock()
	calls := s.calls - before
	s.mu.Unlock()
	is.True(calls >= 5 && calls <= 14) // one reader waits 120 ms each time; five would make 50
	s.put("a", `"2"`)
	await(t, gateways, "a", `"2"`, 500*time.Millisecond)
	s.remove("a")
	await(t, gateways, "a", "", 500*time.Millisecond)
}

// TestStaleReader guards against gateways that go on believing a reader which is cut off from the store, frozen, or has ended. Each
// change must reach the others within maxAge, the time limit of a call, and the calls of the store.
func TestStaleReader(t *testing.T) {
	const bound = maxAge + maxAge*4/10 + callMargin + 250*time.Millisecond
	for name, fail := range map[string]func(g *gateway){
		"cut off from the store": func(g *gateway) { g.path.setCut(true) },
		"frozen": func(g *gateway) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.hang = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, gateways := start(t, 4)
			await(t, gateways, "first", `"1"`, 3*time.Second)
			time.Sleep(2500 * time.Millisecond)
			fail(gateways[0])
			s.put("a", `"2"`)
			await(t, gateways[1:], "a", `"2"`, bound)
			s.put("a", `"3"`)
			await(t, gateways[1:], "a", `"3"`, bound)
		})
	}
}

// TestForgottenHistory guards against changes that are lost when the reader or the store no longer has the history of a position.
func TestForgottenHistory(t *testing.T) {
	s, gateways := start(t, 3)
	await(t, gateways, "first", `"1"`, 3*time.Second)
	s.mu.Lock()
	delete(s.objects, "first") // while nobody is told
	s.revision++
	s.gap, s.log = s.revision, nil
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	await(t, gateways, "first", "", 3*time.Second)
	s.put("b", `"4"`)
	await(t, gateways, "b", `"4"`, time.Second)
}

// TestAgeIsPassedOn guards against a gateway that takes what another one passes on for as recent as an answer of the store.
func TestAgeIsPassedOn(t *testing.T) {
	is := is.New(t)
	_, gateways := start(t, 2)
	await(t, gateways, "first", `"1"`, 3*time.Second)
	time.Sleep(2500 * time.Millisecond)
	oldest := time.Duration(0)
	for range 100 {
		oldest = max(oldest, gateways[1].kind.Age())
		is.True(gateways[1].kind.Age() <= maxAge)
		time.Sleep(2 * time.Millisecond)
	}
	is.True(oldest > 0)
	is.Equal(gateways[0].kind.Age(), time.Duration(0))
}

// TestMalformedCalls guards against a call that stops the relay.
func TestMalformedCalls(t *testing.T) {
	_, gateways := start(t, 1)
	await(t, gateways, "first", `"1"`, 3*time.Second)
	for query, want := range map[string]int{"": 404, "?Kind=Other": 404, "?Kind=K&After=x": 400, "?Kind=K&After=1&WaitMs=-1": 400,
		"?Kind=K&After=1&WaitMs=99999999999": 400, "?Kind=K&After=99999&WaitMs=1": 200} {
		response, err := http.Get("http://" + netip.AddrPortFrom(netip.MustParseAddr("127.63.0.1"), gateways[0].relay.Port).String() + Path + query)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("%s: status %d, want %d", query, response.StatusCode, want)
		}
	}
}

// TestCutOffWithoutNeighbours guards against a gateway that is the only one of its domain, is cut off from the store, and learns nothing
// although gateways of other domains know; and against one that stays with them when the store answers again.
func TestCutOffWithoutNeighbours(t *testing.T) {
	is := is.New(t)
	s, gateways := start(t, 3)
	await(t, gateways, "first", `"1"`, 3*time.Second)
	alone := gateways[2]
	alone.leaders.set(nil, []netip.Addr{netip.AddrFrom4([4]byte{127, 63, 0, 1})})
	time.Sleep(2500 * time.Millisecond)
	alone.path.setCut(true)
	time.Sleep(300 * time.Millisecond)
	large := `"` + strings.Repeat("x", maxRelayedBytes) + `"`
	s.put("a", large)
	await(t, gateways, "a", large, time.Second)
	time.Sleep(failurePause)
	s.put("a", `"3"`)
	await(t, gateways, "a", `"3"`, time.Second)
	alone.path.setCut(false)
	for deadline := time.Now().Add(2 * failurePause); alone.kind.failing(); time.Sleep(5 * time.Millisecond) {
		is.True(time.Now().Before(deadline)) // it reads from the store again
	}
}

// TestMuchIsNotPassedOn guards against a reader whose narrow link is filled by a large configuration or a long list for all others of its
// domain: they read it from the store, and go on asking the reader.
func TestMuchIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	s, gateways := start(t, 4)
	await(t, gateways, "first", `"1"`, 3*time.Second)
	time.Sleep(2500 * time.Millisecond)
	large := `"` + strings.Repeat("x", maxRelayedBytes) + `"`
	response := func(after string) *http.Response {
		r, err := http.Get("http://" + netip.AddrPortFrom(netip.MustParseAddr("127.63.0.1"), gateways[0].relay.Port).String() + Path + "?Kind=K" + after)
		is.NoErr(err)
		_ = r.Body.Close()
		return r
	}
	s.put("large", large)
	await(t, gateways, "large", large, time.Second)
	is.Equal(response("").StatusCode, http.StatusRequestEntityTooLarge)
	is.Equal(response("&After=11&WaitMs=1").StatusCode, http.StatusRequestEntityTooLarge)
	s.mu.Lock()
	before := s.calls
	s.mu.Unlock()
	s.put("small", `"1"`)
	await(t, gateways, "small", `"1"`, 500*time.Millisecond)
	time.Sleep(time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	is.True(s.calls-before <= 16) // one reader; the others ask it again at once
}
