package loads

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/vmihailenco/msgpack/v5"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/bootclock"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
)

// Peers lists the other gateways.
type Peers interface {
	// Peers returns the other gateways. The result must not be changed.
	Peers() []site.Gateway
}

// Table records the state of endpoints; placement.Table implements it.
type Table interface {
	// Loads returns the loads that this gateway causes at endpoints and how much longer endpoints are cold, for at most limit endpoints.
	Loads(now time.Time, limit int) []placement.Load
	// SetPeerLoads replaces all loads recorded for another gateway.
	SetPeerLoads(now time.Time, peer string, loads []placement.Load)
	// Urgent returns a channel that becomes readable when UrgentLoads has a new change to report.
	Urgent() <-chan struct{}
	// UrgentLoads returns the loads of the endpoints at which the prefill of a long prompt has started or ended since the last call.
	UrgentLoads(now time.Time) []placement.Load
	// UpdatePeerLoads replaces the loads recorded for another gateway on the given endpoints only.
	UpdatePeerLoads(now time.Time, peer string, loads []placement.Load)
	// LocalCaches returns the long prompt parts cached by the endpoints that this gateway follows, at most limit parts in all.
	LocalCaches(now time.Time, limit int) []placement.CachedParts
	// SetPeerCaches records the prompt parts cached by the endpoints that another gateway follows.
	SetPeerCaches(now time.Time, caches []placement.CachedParts)
}

// Floors records, for each gateway and model, the lowest weight version whose parts in KV stores the gateway still uses;
// tiering.Floors implements it.
type Floors interface {
	// Own returns the floors of this gateway by model.
	Own() map[string]uint64
	// SetPeer records the floors that an incarnation of another gateway reported. now is the time since the start of the machine.
	SetPeer(peer string, incarnation uint64, floors map[string]uint64, now time.Duration)
}

// message is the content of a datagram. The field names are those of its msgpack encoding.
type message struct {
	Name        string
	Incarnation uint64
	// Number increases with each message of an incarnation.
	Number uint64
	// Some is set if the message is an urgent one: its lists cover only the endpoints with an urgent change.
	Some bool `msgpack:",omitempty"`
	// Endpoints, InFlight, Pending and Held have the same length. They are separate lists because field names would take up most of an
	// encoded list of structs.
	Endpoints []string
	InFlight  []int
	Pending   []int
	Held      []int
	// ColdMs is how much longer each endpoint stays cold, in milliseconds. It is empty if no endpoint is cold.
	ColdMs []int64 `msgpack:",omitempty"`
	// HeardMs is how long ago each endpoint last sent anything to the sender, in milliseconds, 0 if that is not known; -1 means that
	// the sender has just found the endpoint silent. It is empty if all are 0.
	HeardMs []int64 `msgpack:",omitempty"`
	// Floors is, by model, the lowest weight version whose parts in KV stores the sender still uses.
	Floors map[string]uint64 `msgpack:",omitempty"`
	// Kept lists, by endpoint, the long prompt parts cached by the endpoints that the sender follows.
	Kept map[string]cachedParts `msgpack:",omitempty"`
}

// cachedParts lists the prompt parts cached by one endpoint, as two lists of the same length.
type cachedParts struct {
	Keys   []uint64
	Tokens []int
}

// setCached fills Kept from list.
func (m *message) setCached(list []placement.CachedParts) {
	if len(list) > 0 {
		m.Kept = make(map[string]cachedParts, len(list))
	}
	for _, c := range list {
		parts := cachedParts{Keys: make([]uint64, len(c.Parts)), Tokens: make([]int, len(c.Parts))}
		for i, p := range c.Parts {
			parts.Keys[i], parts.Tokens[i] = p.Key, p.Tokens
		}
		m.Kept[c.Endpoint] = parts
	}
}

// cached returns the content of Kept, and false if lists that belong together differ in length.
func (m *message) cached() (list []placement.CachedParts, ok bool) {
	for id, parts := range m.Kept {
		if len(parts.Keys) != len(parts.Tokens) {
			return nil, false
		}
		c := placement.CachedParts{Endpoint: id}
		for i, key := range parts.Keys {
			c.Parts = append(c.Parts, placement.Part{Key: key, Tokens: parts.Tokens[i]})
		}
		list = append(list, c)
	}
	return list, true
}

// silentMark stands in HeardMs for an endpoint that the sender has just found silent.
const silentMark = -1

func newMessage(name string, incarnation, number uint64, loads []placement.Load) *message {
	m := &message{Name: name, Incarnation: incarnation, Number: number}
	if slices.ContainsFunc(loads, func(l placement.Load) bool { return l.Cold > 0 }) {
		m.ColdMs = make([]int64, len(loads))
		for i, l := range loads {
			m.ColdMs[i] = l.Cold.Milliseconds()
		}
	}
	if slices.ContainsFunc(loads, func(l placement.Load) bool { return l.HeardAgo > 0 || l.Silent }) {
		m.HeardMs = make([]int64, len(loads))
		for i, l := range loads {
			if m.HeardMs[i] = l.HeardAgo.Milliseconds(); l.Silent {
				m.HeardMs[i] = silentMark
			}
		}
	}
	for _, l := range loads {
		m.Endpoints = append(m.Endpoints, l.Endpoint)
		m.InFlight = append(m.InFlight, l.InFlight)
		m.Pending = append(m.Pending, l.Pending)
		m.Held = append(m.Held, l.Held)
	}
	return m
}

// loads returns the loads of the message, and false if its lists differ in length.
func (m *message) loads() (list []placement.Load, ok bool) {
	cold := m.ColdMs
	if len(cold) == 0 {
		cold = make([]int64, len(m.Endpoints))
	}
	heard := m.HeardMs
	if len(heard) == 0 {
		heard = make([]int64, len(m.Endpoints))
	}
	if len(m.InFlight) != len(m.Endpoints) || len(m.Pending) != len(m.Endpoints) || len(m.Held) != len(m.Endpoints) || len(cold) != len(m.Endpoints) ||
		len(heard) != len(m.Endpoints) {
		return nil, false
	}
	for i, id := range m.Endpoints {
		list = append(list, placement.Load{Endpoint: id, InFlight: m.InFlight[i], Pending: m.Pending[i], Held: m.Held[i],
			Cold:     time.Duration(cold[i]) * time.Millisecond,
			HeardAgo: time.Duration(max(0, heard[i])) * time.Millisecond, Silent: heard[i] == silentMark})
	}
	return list, true
}

const (
	// minInterval is the time between two full messages of a gateway with few peers. The interval grows in proportion to the number
	// of peers to which the messages go: minInterval for each full peersAtMinInterval of them, and at least minInterval.
	minInterval        = 50 * time.Millisecond
	peersAtMinInterval = 5
	// maxBroadcastPeers is the number of peers up to which messages go to all of them. With that number the interval is 1 s, which is
	// also the age from which placement.Table ignores a report; with a longer interval, reports would expire before they are renewed.
	maxBroadcastPeers = 100
	// minUrgentInterval is the minimum time between two urgent messages without a full message between them.
	minUrgentInterval = 5 * time.Millisecond
	// idleInterval is the minimum time between two full messages while there is neither a load nor a cold endpoint to report.
	idleInterval = 500 * time.Millisecond
	// maxLoads limits the endpoints in a full message, so that the message fits into one packet. Urgent messages are not limited.
	maxLoads = 40
	// maxCachedParts limits the cached parts in a full message for the same reason. The key and the length of a part take up 12 bytes.
	maxCachedParts = 60
	// maxDatagramBytes is the size of the receive buffer; longer datagrams are truncated.
	maxDatagramBytes = 4096
)

// Exchange sends and receives loads. Its exported fields must be set before Run is called.
type Exchange struct {
	// Name is the name of this gateway. Incarnation must differ after each of its starts.
	Name        string
	Incarnation uint64
	// Address is the UDP address at which this gateway receives messages and from which it sends them.
	Address netip.AddrPort
	// Domain is the failure domain of this gateway.
	Domain string
	Peers  Peers
	Table  Table
	// Floors holds the weight version floors to exchange; it may be nil.
	Floors Floors
	Log    logr.Logger

	unreadable atomic.Int64
	mu         sync.Mutex
	// latest holds the last accepted message of each sender with only Incarnation and Number set.
	latest map[string]message
}

// Unreadable returns the number of datagrams that were dropped because they could not be decoded, were malformed, or had the
// name of this gateway as their sender.
func (e *Exchange) Unreadable() int64 { return e.unreadable.Load() }

// Run exchanges loads until ctx is done.
func (e *Exchange) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "load exchange") }()
	e.latest = map[string]message{}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(e.Address))
	if err != nil {
		return err
	}
	var receiver sync.WaitGroup
	receiver.Go(func() { e.receive(conn) })
	e.sendLoop(ctx, conn)
	_ = conn.Close()
	receiver.Wait()
	return nil
}

// sendLoop sends the state of this gateway to its peers until ctx is done.
func (e *Exchange) sendLoop(ctx context.Context, conn *net.UDPConn) {
	var number uint64
	var lastSent time.Time
	lastIdle := false
	for {
		peers := recipients(e.Peers.Peers(), e.Domain)
		interval := minInterval * time.Duration(max(1, len(peers)/peersAtMinInterval))
		loads := e.Table.Loads(time.Now(), maxLoads)
		idle := len(loads) == 0
		if len(peers) > 0 && (!idle || !lastIdle || time.Since(lastSent) >= idleInterval) {
			number++
			m := newMessage(e.Name, e.Incarnation, number, loads)
			if e.Floors != nil {
				m.Floors = e.Floors.Own()
			}
			m.setCached(e.Table.LocalCaches(time.Now(), maxCachedParts))
			e.broadcast(conn, peers, m)
			lastSent, lastIdle = time.Now(), idle
		}
		number = e.sendUrgent(ctx, conn, peers, number, interval)
		if ctx.Err() != nil {
			return
		}
	}
}

// sendUrgent sends urgent load changes to peers until duration has passed or ctx is done. It takes the number of the last message
// sent and returns the new one.
func (e *Exchange) sendUrgent(ctx context.Context, conn *net.UDPConn, peers []site.Gateway, number uint64, duration time.Duration) uint64 {
	end := time.After(duration)
	urgent := e.Table.Urgent()
	var pause <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return number
		case <-end:
			return number
		case <-pause:
			urgent = e.Table.Urgent()
		case <-urgent:
			number++
			m := newMessage(e.Name, e.Incarnation, number, e.Table.UrgentLoads(time.Now()))
			m.Some = true
			e.broadcast(conn, peers, m)
			urgent, pause = nil, time.After(minUrgentInterval)
		}
	}
}

// recipients returns the peers to send to: all of them, or only those of the same failure domain if with all of them the interval
// would exceed the age at which a report expires. If no peer is in the same failure domain, it returns all of them.
func recipients(peers []site.Gateway, domain string) []site.Gateway {
	if len(peers) <= maxBroadcastPeers {
		return peers
	}
	sameDomain := slices.DeleteFunc(slices.Clone(peers), func(p site.Gateway) bool { return p.FailureDomain != domain })
	if len(sameDomain) == 0 {
		return peers
	}
	return sameDomain
}

func (e *Exchange) broadcast(conn *net.UDPConn, peers []site.Gateway, m *message) {
	b, err := msgpack.Marshal(m)
	if err != nil {
		event.Error(e.Log, err, event.LoadsNotSent)
		return
	}
	for _, p := range peers {
		// A datagram that cannot be sent counts as lost; the next one replaces it.
		_, _ = conn.WriteToUDPAddrPort(b, p.Address)
	}
}

func (e *Exchange) receive(conn *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		e.handle(buffer[:n], time.Now())
	}
}

// handle decodes a datagram and applies it to the table and the floors. A datagram is dropped if its number is not higher than that
// of the last accepted one of the same sender and incarnation.
func (e *Exchange) handle(b []byte, now time.Time) {
	var m message
	err := msgpack.Unmarshal(b, &m)
	loads, loadsOK := m.loads()
	cached, cachedOK := m.cached()
	if err != nil || !loadsOK || !cachedOK || m.Name == "" || m.Name == e.Name {
		e.unreadable.Add(1)
		return
	}
	e.mu.Lock()
	last, seen := e.latest[m.Name]
	outdated := seen && last.Incarnation == m.Incarnation && m.Number <= last.Number
	if !outdated {
		e.latest[m.Name] = message{Incarnation: m.Incarnation, Number: m.Number}
	}
	e.mu.Unlock()
	switch {
	case outdated:
	case m.Some:
		e.Table.UpdatePeerLoads(now, m.Name, loads)
	default:
		e.Table.SetPeerLoads(now, m.Name, loads)
		e.Table.SetPeerCaches(now, cached)
		if e.Floors != nil {
			e.Floors.SetPeer(m.Name, m.Incarnation, m.Floors, bootclock.Now())
		}
	}
}
