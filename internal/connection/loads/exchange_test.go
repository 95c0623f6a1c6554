package loads

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
)

// table is a Table that records the values it receives.
type table struct {
	mu         sync.Mutex
	own        []placement.Load
	peers      map[string][]placement.Load
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
	if t.peers == nil {
		t.peers = map[string][]placement.Load{}
	}
	t.peers[peer] = append(t.peers[peer], loads...)
}

func (t *table) LocalCaches(time.Time, int) []placement.CachedParts { return t.cached }

func (t *table) SetPeerCaches(_ time.Time, cached []placement.CachedParts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerCached = cached
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
	for _, e := range []*Exchange{{Name: "A", Address: a, Peers: peers{b}, Table: tableA, Log: logr.Discard()},
		{Name: "B", Address: b, Peers: peers{a}, Table: tableB, Log: logr.Discard()}} {
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
	tableB.mu.Lock()
	is.Equal(tableB.peerCached, tableA.cached)
	tableB.mu.Unlock()
	tableA.mu.Lock()
	tableA.own = nil
	tableA.mu.Unlock()
	waitForLoads(0)
}

// TestUrgentLoadsAreSentAtOnce guards against an urgent load change that waits for the next full message, and against one datagram
// per change when there are many changes.
func TestUrgentLoadsAreSentAtOnce(t *testing.T) {
	is := is.New(t)
	a, b := freeAddress(t), freeAddress(t)
	tableA, tableB := &table{urgentSignal: make(chan struct{}), urgent: []placement.Load{{Endpoint: "e1", InFlight: 1, Pending: 9000}}}, &table{}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	many := peers{b}
	for len(many) < 100 { // the interval between full messages is 1 s with this many peers
		many = append(many, netip.MustParseAddrPort("127.0.0.1:9"))
	}
	for _, e := range []*Exchange{{Name: "A", Address: a, Peers: many, Table: tableA, Log: logr.Discard()},
		{Name: "B", Address: b, Peers: peers{}, Table: tableB, Log: logr.Discard()}} {
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
	for deadline := time.Now().Add(3 * time.Second); len(tableB.loadsOf("A")) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("B has received no loads from A")
		}
	}
	is.Equal(tableB.loadsOf("A")[0], tableA.urgent[0])
}

// TestOutdatedAndUnreadableDatagrams guards against returning to an older state when datagrams arrive out of order, and against a
// malformed datagram that stops the exchange.
func TestOutdatedAndUnreadableDatagrams(t *testing.T) {
	is := is.New(t)
	tbl := &table{}
	e := &Exchange{Name: "A", Table: tbl, latest: map[string]message{}}
	handle := func(m *message) {
		b, err := msgpack.Marshal(m)
		is.NoErr(err)
		e.handle(b, time.Now())
	}
	handle(newMessage("B", 1, 5, []placement.Load{{Endpoint: "new"}}))
	handle(newMessage("B", 1, 4, []placement.Load{{Endpoint: "old"}}))
	is.Equal(tbl.loadsOf("B")[0].Endpoint, "new")
	handle(newMessage("B", 2, 1, []placement.Load{{Endpoint: "restarted"}}))
	is.Equal(tbl.loadsOf("B")[0].Endpoint, "restarted")
	for _, bad := range []string{"", "\xc1", "GET / HTTP/1.1\r\n", "\x81\xa4Name"} {
		e.handle([]byte(bad), time.Now())
	}
	handle(&message{Name: "A", Number: 9}) // this gateway's own name
	handle(&message{Name: "B", Incarnation: 2, Number: 2, Endpoints: []string{"e1"}})
	handle(&message{Name: "B", Incarnation: 2, Number: 3, Endpoints: []string{"e1"}, InFlight: []int{1}, Pending: []int{1}, ColdMs: []int64{1, 2}})
	handle(&message{Name: "B", Incarnation: 2, Number: 4, Kept: map[string]cachedParts{"e1": {Keys: []uint64{1}}}})
	is.Equal(e.Unreadable(), int64(8))
}

// TestRecipients guards against sending to so many peers that reports expire before they are renewed, and against a gateway that
// sends to no peer.
func TestRecipients(t *testing.T) {
	many := func(n int, domains ...string) (list []site.Gateway) {
		for i := range n {
			list = append(list, site.Gateway{FailureDomain: domains[i%len(domains)]})
		}
		return list
	}
	for name, c := range map[string]struct {
		peers []site.Gateway
		want  int
	}{
		"few":                              {many(30, "a", "b", "c"), 30},
		"many":                             {many(300, "a", "b", "c"), 100},
		"many and none in the same domain": {many(300, "b", "c"), 300},
		"none":                             {nil, 0},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(len(recipients(c.peers, "a")), c.want) })
	}
}
