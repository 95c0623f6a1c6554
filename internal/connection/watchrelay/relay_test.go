package watchrelay

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
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
	"primrosecourse/internal/process/bootclock"
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
	// madeAt has the bootclock time of each change by its revision.
	madeAt map[uint64]time.Duration
	// missing are results without a change that was made before the time up to which they are stated to be complete, and old those that were older than
	// maxAge already when they were asked for.
	missing, old []string
}

func newStore() *store {
	return &store{objects: map[string]Change{}, revision: 10, changed: make(chan struct{}), madeAt: map[uint64]time.Duration{}}
}

// check records if a result up to a revision, which was asked for at began, lacks a change that was made before completeAt, or is too old.
func (s *store) check(revision uint64, began, completeAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if age := began - completeAt; age > maxAge {
		s.old = append(s.old, age.String())
	}
	for _, c := range s.log {
		if made := s.madeAt[c.Revision]; c.Revision > revision && made < completeAt {
			s.missing = append(s.missing, fmt.Sprintf("%q, made %v before", c.Name, completeAt-made))
		}
	}
}

func (s *store) put(name, value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	c := Change{Name: name, Revision: s.revision, Value: json.RawMessage(value)}
	s.objects[name] = c
	s.log, s.madeAt[s.revision] = append(s.log, c), bootclock.Now()
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *store) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.objects, name)
	s.log, s.madeAt[s.revision] = append(s.log, Change{Name: name, Revision: s.revision, Removed: true}), bootclock.Now()
	close(s.changed)
	s.changed = make(chan struct{})
}

// path is one gateway's path to the store.
type path struct {
	store *store
	mu    sync.Mutex
	cut   bool
	// late is how long the answers are on their way.
	late time.Duration
}

func (p *path) setLate(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late = d
}

// deliver waits while an answer is on its way.
func (p *path) deliver() {
	p.mu.Lock()
	d := p.late
	p.mu.Unlock()
	time.Sleep(d)
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
	defer p.deliver()
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
			p.deliver()
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
	// hang makes it leave calls of others unanswered, as a frozen process does. late is how long its answers are on their way.
	hang bool
	late time.Duration
}

const maxAge = 300 * time.Millisecond

// start runs n gateways of one domain until the end of the test.
func start(t *testing.T, n int) (s *store, gateways []*gateway) {
	t.Helper()
	s = newStore()
	s.put("first", `"1"`)
	t.Cleanup(func() {
		if len(s.missing) > 0 {
			t.Errorf("%d results lack changes from before the time up to which they are stated to be complete; the first: %s", len(s.missing), s.missing[0])
		}
		if len(s.old) > 0 {
			t.Errorf("%d results are too old; the first: %s", len(s.old), s.old[0])
		}
	})
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
			g.serveLate(w, r)
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

// serveLate answers a call of another gateway. The answer is on its way for g.late.
func (g *gateway) serveLate(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	g.relay.ServeHTTP(answer, r)
	g.mu.Lock()
	late := g.late
	g.mu.Unlock()
	time.Sleep(late)
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

func (g *gateway) follow(ctx context.Context) {
	listed := false
	for ctx.Err() == nil {
		var changes []Change
		var revision uint64
		var err error
		began := bootclock.Now()
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
			if at, ok := g.kind.CompleteAt(); ok {
				g.path.store.check(revision, began, at)
			}
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
	for range 100 {
		passedOn, ok := gateways[1].kind.CompleteAt()
		is.True(ok)
		own := gateways[0].kind.own
		own.mu.Lock()
		direct := own.directAt
		own.mu.Unlock()
		is.True(passedOn <= direct)
		time.Sleep(2 * time.Millisecond)
	}
}

// TestLateAnswers guards against an answer that counts as complete up to its arrival, although changes were made while it was on its way from the store
// or from another gateway.
func TestLateAnswers(t *testing.T) {
	for name, delay := range map[string]func(g *gateway, d time.Duration){
		"from the store": func(g *gateway, d time.Duration) { g.path.setLate(d) },
		"from another gateway": func(g *gateway, d time.Duration) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.late = d
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, gateways := start(t, 3)
			await(t, gateways, "first", `"1"`, 3*time.Second)
			for _, g := range gateways {
				delay(g, 200*time.Millisecond)
			}
			for i := range 40 {
				time.Sleep(time.Duration(37+13*(i%7)) * time.Millisecond)
				s.put("a", fmt.Sprintf(`"%d"`, i))
			}
			await(t, gateways, "a", `"39"`, 3*time.Second)
		})
	}
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
