package loads

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"primrosecourse/internal/process/bootclock"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/staleness"
	"primrosecourse/pkg/tiering"
)

// table is a Table that records the values it receives.
type table struct {
	mu         sync.Mutex
	own        []placement.Load
	peers      map[string][]placement.Load
	updates    map[string][]placement.Load // by urgent messages
	cached     []placement.CachedParts
	peerCached []placement.CachedParts
	// urgent is returned by UrgentLoads. A value on urgentSignal requests that those loads are sent.
	urgent       []placement.Load
	urgentSignal chan struct{}
}

func (t *table) Urgent() <-chan struct{} { return t.urgentSignal }

func (t *table) UrgentLoads(time.Time) []placement.Load { return t.urgent }

func (t *table) UpdatePeerLoads(_ time.Time, peer string, loads []placement.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.updates == nil {
		t.updates = map[string][]placement.Load{}
	}
	t.updates[peer] = append(t.updates[peer], loads...)
}

func (t *table) LocalCaches(time.Time, int) []placement.CachedParts { return t.cached }

func (t *table) SumLoads(now time.Time, limit int, _ map[string]bool) []placement.Load {
	return t.Loads(now, limit)
}

func (t *table) SumLoadsAt(time.Time, []string, map[string]bool) []placement.Load { return t.urgent }

func (t *table) GroupCaches(time.Time, int, map[string]bool) []placement.CachedParts { return t.cached }

func (t *table) SetPeerCaches(_ time.Time, _ string, cached []placement.CachedParts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerCached = cached
}

// cachedOfPeers returns the cached parts that another gateway reported last.
func (t *table) cachedOfPeers() []placement.CachedParts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peerCached
}

func (t *table) Loads(_ time.Time, limit int) []placement.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.own[:min(limit, len(t.own))]
}

func (t *table) SetPeerLoads(_ time.Time, peer string, loads []placement.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers == nil {
		t.peers = map[string][]placement.Load{}
	}
	t.peers[peer] = loads
}

func (t *table) updatesOf(peer string) []placement.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.updates[peer]
}

func (t *table) loadsOf(peer string) []placement.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[peer]
}

type peers []netip.AddrPort

func (p peers) Peers() (list []site.Gateway) {
	for _, addr := range p {
		list = append(list, site.Gateway{Address: addr})
	}
	return list
}

// view lists the endpoints e1, e2, new, old and restarted.
type view struct{}

var viewSnapshot = &site.Snapshot{Endpoints: map[string][]*site.Endpoint{"S": {{ID: "e1"}, {ID: "e2"}, {ID: "new"}, {ID: "old"}, {ID: "restarted"}}}}

func (view) Current() *site.Snapshot { return viewSnapshot }

// freeAddress returns a local UDP address that is not in use.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return netip.MustParseAddrPort(c.LocalAddr().String())
}

// TestExchangeSharesLoadsAndCachedParts guards against a gateway that does not receive the loads or cached parts of another one, or
// that retains loads that have ended.
func TestExchangeSharesLoadsAndCachedParts(t *testing.T) {
	is := is.New(t)
	a, b := freeAddress(t), freeAddress(t)
	tableA, tableB := &table{own: []placement.Load{{Endpoint: "e1", InFlight: 2, Pending: 500, Cold: 3 * time.Second}}}, &table{}
	tableA.cached = []placement.CachedParts{{Endpoint: "e1", Parts: []placement.Part{{Key: 1 << 63, Tokens: 2000}, {Key: 7, Tokens: 1500}}}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	for _, e := range []*Exchange{{Name: "A", Address: a, Peers: peers{b}, Table: tableA, View: view{}, Log: logr.Discard()},
		{Name: "B", Address: b, Peers: peers{a}, Table: tableB, View: view{}, Log: logr.Discard()}} {
		go func() { ended <- e.Run(ctx) }()
	}
	defer func() {
		cancel()
		is.NoErr(<-ended)
		is.NoErr(<-ended)
	}()
	waitForLoads := func(n int) {
		for deadline := time.Now().Add(3 * time.Second); len(tableB.loadsOf("A")) != n; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("B did not receive the new loads of A within 3 s; it has %v", tableB.loadsOf("A"))
			}
		}
	}
	waitForLoads(1)
	is.Equal(tableB.loadsOf("A")[0], placement.Load{Endpoint: "e1", InFlight: 2, Pending: 500, Cold: 3 * time.Second})
	// A message's cached parts are applied after its loads.
	for deadline := time.Now().Add(3 * time.Second); tableB.cachedOfPeers() == nil && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(tableB.cachedOfPeers(), tableA.cached)
	tableA.mu.Lock()
	tableA.own = nil
	tableA.mu.Unlock()
	waitForLoads(0)
}

// TestExchangeSharesAges guards against a gateway that started after a weight version was named and does not learn its age, within a domain
// and from another one.
func TestExchangeSharesAges(t *testing.T) {
	for name, domain := range map[string]string{"same domain": "D1", "other domain": "D2"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := freeAddress(t), freeAddress(t)
			agesA, agesB := &staleness.Ages{}, &staleness.Ages{}
			now := bootclock.Now()
			agesA.Named("M", 2, now-7*time.Second, true)
			agesB.Named("M", 2, now, false)
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 2)
			for _, e := range []*Exchange{
				{Name: "A", Address: a, Domain: "D1", Peers: gateways{{Address: b, FailureDomain: domain}}, Table: &table{}, Ages: agesA, View: view{}, Log: logr.Discard()},
				{Name: "B", Address: b, Domain: domain, Peers: gateways{{Address: a, FailureDomain: "D1"}}, Table: &table{}, Ages: agesB, View: view{}, Log: logr.Discard()}} {
				go func() { ended <- e.Run(ctx) }()
			}
			defer func() {
				cancel()
				is.NoErr(<-ended)
				is.NoErr(<-ended)
			}()
			for deadline := time.Now().Add(3 * time.Second); agesB.ReplacedFor("M", 1, bootclock.Now()) < 7*time.Second; time.Sleep(5 * time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("B has not learned the age within 3 s")
				}
			}
		})
	}
}

// gateways are the other gateways with their domains.
type gateways []site.Gateway

func (g gateways) Peers() []site.Gateway { return g }

// TestUrgentLoadsAreSentAtOnce guards against an urgent load change that waits for the next full message, and against one datagram
// per change when there are many changes.
func TestUrgentLoadsAreSentAtOnce(t *testing.T) {
	is := is.New(t)
	a, b := freeAddress(t), freeAddress(t)
	tableA, tableB := &table{urgentSignal: make(chan struct{}), urgent: []placement.Load{{Endpoint: "e1", InFlight: 1, Pending: 9000}}}, &table{}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	many := peers{b}
	for len(many) < 100 { // the interval between full messages is 500 ms with this many peers
		many = append(many, netip.MustParseAddrPort("127.0.0.1:9"))
	}
	for _, e := range []*Exchange{{Name: "A", Address: a, Peers: many, Table: tableA, View: view{}, Log: logr.Discard()},
		{Name: "B", Address: b, Peers: peers{}, Table: tableB, View: view{}, Log: logr.Discard()}} {
		go func() { ended <- e.Run(ctx) }()
	}
	defer func() {
		cancel()
		is.NoErr(<-ended)
		is.NoErr(<-ended)
	}()
	signals := 0
	for deadline := time.Now().Add(500 * time.Millisecond); time.Now().Before(deadline); {
		select {
		case tableA.urgentSignal <- struct{}{}:
			signals++
		case <-time.After(time.Millisecond):
		}
	}
	is.True(signals > 0 && signals <= 101) // at most one per minUrgentInterval in 500 ms
	for deadline := time.Now().Add(3 * time.Second); len(tableB.updatesOf("A")) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("B has received no urgent loads from A")
		}
	}
	is.Equal(tableB.updatesOf("A")[0], tableA.urgent[0])
}

// TestOutdatedAndUnreadableDatagrams guards against returning to an older state when datagrams arrive out of order, and against a
// malformed datagram that stops the exchange.
func TestOutdatedAndUnreadableDatagrams(t *testing.T) {
	is := is.New(t)
	tbl := &table{}
	e := &Exchange{Name: "A", Table: tbl, View: view{}}
	e.init()
	handle := func(m *message) {
		b, err := msgpack.Marshal(m)
		is.NoErr(err)
		e.handle(b, netip.AddrPort{}, time.Now())
	}
	newMessage := func(incarnation, number uint64, endpoint string) *message {
		m := &message{Name: "B", Incarnation: incarnation, Number: number}
		m.setLoads([]placement.Load{{Endpoint: endpoint}})
		return m
	}
	handle(newMessage(1, 5, "new"))
	handle(newMessage(1, 4, "old"))
	is.Equal(tbl.loadsOf("B")[0].Endpoint, "new")
	handle(newMessage(2, 1, "restarted"))
	is.Equal(tbl.loadsOf("B")[0].Endpoint, "restarted")
	for _, bad := range []string{"", "\xc1", "GET / HTTP/1.1\r\n", "\x81\xa4Name"} {
		e.handle([]byte(bad), netip.AddrPort{}, time.Now())
	}
	handle(&message{Name: "A", Number: 9}) // this gateway's own name
	handle(&message{Name: "B", Incarnation: 2, Number: 2, Endpoints: []uint32{1}})
	handle(&message{Name: "B", Incarnation: 2, Number: 3, Endpoints: []uint32{1}, InFlight: []int{1}, Pending: []int{1}, Held: []int{1}, ColdMs: []int64{1, 2}})
	handle(&message{Name: "B", Incarnation: 2, Number: 4, Kept: map[uint32]cachedParts{1: {Keys: []uint64{1}}}})
	is.Equal(e.Unreadable(), int64(8))
}

// group is a gateway with a real table.
type group struct {
	exchange *Exchange
	table    *placement.Table
}

// startGroups starts gateways with real tables, one for each of the domains, until the end of the test.
func startGroups(t *testing.T, domains ...string) (gateways []group) {
	t.Helper()
	var all []site.Gateway
	for _, domain := range domains {
		all = append(all, site.Gateway{Address: freeAddress(t), FailureDomain: domain})
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, len(all))
	for i, self := range all {
		others := slices.Concat(all[:i], all[i+1:])
		table := placement.New()
		table.SetEndpoints(time.Now(), nil, viewSnapshot.Endpoints["S"])
		g := group{table: table, exchange: &Exchange{Name: fmt.Sprintf("G%d", i), Incarnation: 1, Address: self.Address, Domain: self.FailureDomain,
			Peers: gatewayList(others), Table: table, View: view{}, Floors: &tiering.Floors{}, Saves: &tiering.Saves{}, Log: logr.Discard()}}
		gateways = append(gateways, g)
		go func() { ended <- g.exchange.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range gateways {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	})
	return gateways
}

type gatewayList []site.Gateway

func (l gatewayList) Peers() []site.Gateway { return l }

// inFlight returns the requests in flight at an endpoint as a gateway knows them.
func (g group) inFlight(endpoint string) int {
	everyone := map[string]bool{}
	for i := range 16 {
		everyone[fmt.Sprintf("G%d", i)] = true
	}
	for _, domain := range []string{"a", "b", "c"} {
		everyone[domainSource(domain)] = true
	}
	for _, l := range g.table.SumLoads(time.Now(), 100, everyone) {
		if l.Endpoint == endpoint {
			return l.InFlight
		}
	}
	return 0
}

// TestSummaries guards against loads that other domains don't learn of, and against loads that are counted twice since a gateway
// learns of them both by itself and in a summary, or by the summaries of two gateways.
func TestSummaries(t *testing.T) {
	is := is.New(t)
	gateways := startGroups(t, "a", "a", "a", "b", "b", "c")
	e1 := viewSnapshot.Endpoints["S"][0]
	short, long := &placement.Request{Tokens: 100}, &placement.Request{Tokens: 9000}
	for i, g := range gateways {
		g.table.Sent(time.Now(), e1, short, 100)
		if i == 1 {
			g.table.Sent(time.Now(), e1, long, 9000)
		}
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		var counts []int
		for _, g := range gateways {
			counts = append(counts, g.inFlight("e1"))
			is.True(counts[len(counts)-1] <= 7) // counted twice
		}
		if slices.Min(counts) == 7 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("the gateways know of %v requests in flight, want 7 each", counts)
		}
	}
	for range 100 { // while two gateways may take themselves for the speaker, and after
		for _, g := range gateways {
			is.True(g.inFlight("e1") <= 7)
		}
		time.Sleep(10 * time.Millisecond)
	}
	gateways[1].table.Ended(time.Now(), e1, long, 9000, placement.Answered)
	for deadline := time.Now().Add(time.Second); gateways[5].inFlight("e1") != 6; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a domain did not learn within 1 s of the end of a long prompt in another one")
		}
	}
}

// TestFloorsReachAllDomains guards against parts that are never freed, or freed too early, since the floors of a gateway of another domain
// are not known.
func TestFloorsReachAllDomains(t *testing.T) {
	gateways := startGroups(t, "a", "a", "b", "b")
	for i, g := range gateways {
		g.exchange.Floors.(*tiering.Floors).Raise("M", uint64(10+i), time.Second)
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		missing := ""
		for i, g := range gateways {
			for j := range gateways {
				if _, floors := g.exchange.Floors.Peer(fmt.Sprintf("G%d", j)); i != j && floors["M"] != uint64(10+j) {
					missing += fmt.Sprintf(" G%d of G%d: %v", i, j, floors)
				}
			}
		}
		if missing == "" {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("floors are not known:%s", missing)
		}
	}
}

// TestSavesReachAllDomains guards against a gateway that has a part fetched which another one, of its domain or of another, may still have saved,
// and against a part that nobody may save any more.
func TestSavesReachAllDomains(t *testing.T) {
	gateways := startGroups(t, "a", "a", "b", "b")
	e1 := viewSnapshot.Endpoints["S"][0]
	now := time.Now()
	gateways[1].table.Sent(now, e1, &placement.Request{Tokens: 100}, 100)
	save := gateways[1].exchange.Saves.Request(now, 7, now.Add(time.Minute))
	await := func(what string, met func(s *tiering.Saves) bool) {
		t.Helper()
		for i, g := range gateways {
			for deadline := time.Now().Add(5 * time.Second); !met(g.exchange.Saves); time.Sleep(5 * time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("gateway %d does not know that the save is %s", i, what)
				}
			}
		}
	}
	await("pending", func(s *tiering.Saves) bool { return s.Pending(time.Now(), 7) })
	gateways[1].exchange.Saves.Begun(time.Now().Add(time.Hour), save)
	await("in progress", func(s *tiering.Saves) bool { return !s.Pending(time.Now(), 7) && s.Active(time.Now(), 7) })
	gateways[1].exchange.Saves.Cancel(save)
	await("over", func(s *tiering.Saves) bool { return !s.Active(time.Now(), 7) })
}

// TestSpeaker guards against a domain that nobody speaks for, as after the end of its speaker, and against one for which all speak.
func TestSpeaker(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var members []site.Gateway
	for i := range 20 {
		members = append(members, site.Gateway{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)})
	}
	count := func(now time.Time, alive func(i int) bool) (speaking int) {
		for i := range members {
			if !alive(i) {
				continue
			}
			s := speakers{own: members[i].Address}
			for j := range members {
				if j != i && alive(j) {
					s.hear(members[j].Address, now)
				} else if j != i {
					s.hear(members[j].Address, now.Add(-2*speakerTimeout))
				}
			}
			if s.speaks(slices.Concat(members[:i], members[i+1:]), now) {
				speaking++
			}
		}
		return speaking
	}
	is.Equal(count(now, func(int) bool { return true }), 1)
	for dead := range members {
		is.Equal(count(now, func(i int) bool { return i != dead }), 1)
	}
	alone := speakers{own: members[0].Address}
	is.True(alone.speaks(members[1:], now)) // heard nobody yet
}

// TestInterval guards against an interval at which reports expire before they are renewed.
func TestInterval(t *testing.T) {
	is := is.New(t)
	is.Equal(interval(0), minInterval)
	is.Equal(interval(20), 4*minInterval)
	is.Equal(interval(1000), maxInterval)
}

// BenchmarkGateway measures what one gateway does for a full message of its own and a summary, by the size of its group and the number
// of groups that it receives summaries of.
func BenchmarkGateway(b *testing.B) {
	for _, size := range []int{7, 20, 50} {
		for _, groups := range []int{2, 4, 25} {
			b.Run(fmt.Sprintf("group=%d/groups=%d", size, groups), func(b *testing.B) {
				benchmarkGateway(b, size, groups)
			})
		}
	}
}

func benchmarkGateway(b *testing.B, size, groups int) {
	now := time.Now()
	table := placement.New()
	table.SetEndpoints(now, nil, viewSnapshot.Endpoints["S"])
	e := &Exchange{Name: "A", Domain: "a", Table: table, View: view{}, Log: logr.Discard()}
	e.init()
	encode := func(name, domain string, number uint64) []byte {
		m := &message{Name: name, Domain: domain, Incarnation: 1, Number: number}
		m.setLoads([]placement.Load{{Endpoint: "e1", InFlight: 3, Pending: 900, Held: 4000}, {Endpoint: "e2", InFlight: 1, Held: 100}})
		encoded, err := msgpack.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		return encoded
	}
	b.ReportAllocs()
	number := uint64(0)
	for b.Loop() {
		number++
		for i := range size {
			e.handle(encode(fmt.Sprint("G", i), "", number), netip.AddrPort{}, now)
		}
		for i := range groups {
			e.handle(encode(fmt.Sprint("S", i), fmt.Sprint("d", i), number), netip.AddrPort{}, now)
		}
	}
}

// TestPlanIsStated guards against gateways of earlier programs that take their own plan of builds for the latest, since this one states none.
func TestPlanIsStated(t *testing.T) {
	for name, domain := range map[string]string{"same domain": "D1", "other domain": "D2"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			other, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
			is.NoErr(err)
			defer other.Close()
			address := other.LocalAddr().(*net.UDPAddr).AddrPort()
			e := &Exchange{Name: "A", Address: freeAddress(t), Domain: "D1", Peers: gateways{{Address: address, FailureDomain: domain}}, Table: &table{},
				Plan: func() uint64 { return 7 }, View: view{}, Log: logr.Discard()}
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- e.Run(ctx) }()
			is.NoErr(other.SetReadDeadline(time.Now().Add(3 * time.Second)))
			b := make([]byte, 64<<10)
			n, err := other.Read(b)
			is.NoErr(err)
			var m message
			is.NoErr(msgpack.Unmarshal(b[:n], &m))
			is.Equal(m.Plan, uint64(7))
			stop()
			is.NoErr(<-ended)
		})
	}
}
