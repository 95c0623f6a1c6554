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

// table records what it is told.
type table struct {
	mu    sync.Mutex
	own   []placement.Load
	peers map[string][]placement.Load
	kept  []placement.Kept
	heard []placement.Kept
	// urgent is what must be told at once, once urgency was written to.
	urgent  []placement.Load
	urgency chan struct{}
}

func (t *table) Urgent() <-chan struct{} { return t.urgency }

func (t *table) UrgentLoads(time.Time) []placement.Load { return t.urgent }

func (t *table) PeerUrgentLoads(_ time.Time, peer string, loads []placement.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers == nil {
		t.peers = map[string][]placement.Load{}
	}
	t.peers[peer] = append(t.peers[peer], loads...)
}

func (t *table) Kept(time.Time, int) []placement.Kept { return t.kept }

func (t *table) PeerKept(_ time.Time, kept []placement.Kept) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard = kept
}

func (t *table) Loads(_ time.Time, limit int) []placement.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.own[:min(limit, len(t.own))]
}

func (t *table) PeerLoads(_ time.Time, peer string, loads []placement.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers == nil {
		t.peers = map[string][]placement.Load{}
	}
	t.peers[peer] = loads
}

func (t *table) of(peer string) []placement.Load {
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

// address returns a free address.
func address(t *testing.T) netip.AddrPort {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return netip.MustParseAddrPort(c.LocalAddr().String())
}

// TestExchange guards against gateways that do not learn of each other's loads, or keep what is over.
func TestExchange(t *testing.T) {
	is := is.New(t)
	a, b := address(t), address(t)
	tableA, tableB := &table{own: []placement.Load{{Endpoint: "e1", InFlight: 2, Pending: 500, Cold: 3 * time.Second}}}, &table{}
	tableA.kept = []placement.Kept{{Endpoint: "e1", Parts: []placement.Part{{Key: 1 << 63, Tokens: 2000}, {Key: 7, Tokens: 1500}}}}
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
	wait := func(n int) {
		for deadline := time.Now().Add(3 * time.Second); len(tableB.of("A")) != n; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("B knows %v of A", tableB.of("A"))
			}
		}
	}
	wait(1)
	is.Equal(tableB.of("A")[0], placement.Load{Endpoint: "e1", InFlight: 2, Pending: 500, Cold: 3 * time.Second})
	tableB.mu.Lock()
	is.Equal(tableB.heard, tableA.kept)
	tableB.mu.Unlock()
	tableA.mu.Lock()
	tableA.own = nil
	tableA.mu.Unlock()
	wait(0)
}

// TestToldAtOnce guards against a change that must be known at once and waits for the next word on all loads, and against a datagram
// for each of many changes.
func TestToldAtOnce(t *testing.T) {
	is := is.New(t)
	a, b := address(t), address(t)
	tableA, tableB := &table{urgency: make(chan struct{}), urgent: []placement.Load{{Endpoint: "e1", InFlight: 1, Pending: 9000}}}, &table{}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	many := peers{b}
	for len(many) < 100 { // so that all loads are told once in a second
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
	told := 0
	for deadline := time.Now().Add(500 * time.Millisecond); time.Now().Before(deadline); {
		select {
		case tableA.urgency <- struct{}{}:
			told++
		case <-time.After(time.Millisecond):
		}
	}
	is.True(told > 0 && told <= 101) // one in urgentInterval
	for deadline := time.Now().Add(3 * time.Second); len(tableB.of("A")) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("B knows nothing of A")
		}
	}
	is.Equal(tableB.of("A")[0], tableA.urgent[0])
}

// TestOvertakenAndUnreadable guards against going back to an older state, and against a datagram that stops the exchange.
func TestOvertakenAndUnreadable(t *testing.T) {
	is := is.New(t)
	tb := &table{}
	e := &Exchange{Name: "A", Table: tb, seen: map[string]message{}}
	take := func(m *message) {
		b, err := msgpack.Marshal(m)
		is.NoErr(err)
		e.take(b, time.Now())
	}
	take(newMessage("B", 1, 5, []placement.Load{{Endpoint: "new"}}))
	take(newMessage("B", 1, 4, []placement.Load{{Endpoint: "old"}}))
	is.Equal(tb.of("B")[0].Endpoint, "new")
	take(newMessage("B", 2, 1, []placement.Load{{Endpoint: "restarted"}}))
	is.Equal(tb.of("B")[0].Endpoint, "restarted")
	for _, bad := range []string{"", "\xc1", "GET / HTTP/1.1\r\n", "\x81\xa4Name"} {
		e.take([]byte(bad), time.Now())
	}
	take(&message{Name: "A", Number: 9}) // its own
	take(&message{Name: "B", Incarnation: 2, Number: 2, Endpoints: []string{"e1"}})
	take(&message{Name: "B", Incarnation: 2, Number: 3, Endpoints: []string{"e1"}, InFlight: []int{1}, Pending: []int{1}, ColdMs: []int64{1, 2}})
	take(&message{Name: "B", Incarnation: 2, Number: 4, Kept: map[string]keptParts{"e1": {Keys: []uint64{1}}}})
	is.Equal(e.Unreadable(), int64(8))
}

// TestAudience guards against messages to so many gateways that none of them hears from the others in time, and against a
// gateway that tells nobody.
func TestAudience(t *testing.T) {
	many := func(n int, domains ...string) (list []site.Gateway) {
		for i := range n {
			list = append(list, site.Gateway{FailureDomain: domains[i%len(domains)]})
		}
		return list
	}
	for name, c := range map[string]struct {
		peers []site.Gateway
		told  int
	}{
		"few":                {many(30, "a", "b", "c"), 30},
		"many":               {many(300, "a", "b", "c"), 100},
		"many and none near": {many(300, "b", "c"), 300},
		"none":               {nil, 0},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(len(audience(c.peers, "a")), c.told) })
	}
}
