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

// Table holds what is known of endpoints; placement.Table is one.
type Table interface {
	// Loads returns what this process has under way and which endpoints are cold, at most limit endpoints.
	Loads(now time.Time, limit int) []placement.Load
	// PeerLoads replaces what is known of another process.
	PeerLoads(now time.Time, peer string, loads []placement.Load)
	// Urgent is readable while UrgentLoads has something new to tell: what this process has under way at some endpoints.
	Urgent() <-chan struct{}
	UrgentLoads(now time.Time) []placement.Load
	// PeerUrgentLoads takes the word of another process on some endpoints.
	PeerUrgentLoads(now time.Time, peer string, loads []placement.Load)
	// Kept returns what the endpoints that this process follows keep, at most limit parts.
	Kept(now time.Time, limit int) []placement.Kept
	// PeerKept takes the word of another process on the endpoints that it follows.
	PeerKept(now time.Time, kept []placement.Kept)
}

// Floors are the weight versions below which gateways use no parts in KV stores; tiering.Floors is one.
type Floors interface {
	Own() map[string]uint64
	Heard(peer string, incarnation uint64, floors map[string]uint64, now time.Duration)
}

// message is a datagram.
type message struct {
	Name        string
	Incarnation uint64
	// Number rises with each message of an incarnation.
	Number uint64
	// Some tells that the lists are of some endpoints only, of which others must know at once.
	Some bool `msgpack:",omitempty"`
	// The lists have the same length. They are apart since the names of fields would be most of a list of loads.
	Endpoints []string
	InFlight  []int
	Pending   []int
	// ColdMs is empty if no endpoint is cold.
	ColdMs []int64 `msgpack:",omitempty"`
	// Floors are the weight versions by model below which the sender uses no parts in KV stores.
	Floors map[string]uint64 `msgpack:",omitempty"`
	// Kept are the long parts that the endpoints that the sender follows keep, by endpoint.
	Kept map[string]keptParts `msgpack:",omitempty"`
}

// keptParts are the parts that one endpoint keeps, as two lists of the same length.
type keptParts struct {
	Keys   []uint64
	Tokens []int
}

// keep adds what endpoints keep.
func (m *message) keep(list []placement.Kept) {
	if len(list) > 0 {
		m.Kept = make(map[string]keptParts, len(list))
	}
	for _, k := range list {
		parts := keptParts{Keys: make([]uint64, len(k.Parts)), Tokens: make([]int, len(k.Parts))}
		for i, p := range k.Parts {
			parts.Keys[i], parts.Tokens[i] = p.Key, p.Tokens
		}
		m.Kept[k.Endpoint] = parts
	}
}

// kept returns what endpoints keep, false if lists do not fit together.
func (m *message) kept() (list []placement.Kept, ok bool) {
	for id, parts := range m.Kept {
		if len(parts.Keys) != len(parts.Tokens) {
			return nil, false
		}
		k := placement.Kept{Endpoint: id}
		for i, key := range parts.Keys {
			k.Parts = append(k.Parts, placement.Part{Key: key, Tokens: parts.Tokens[i]})
		}
		list = append(list, k)
	}
	return list, true
}

func newMessage(name string, incarnation, number uint64, loads []placement.Load) *message {
	m := &message{Name: name, Incarnation: incarnation, Number: number}
	if slices.ContainsFunc(loads, func(l placement.Load) bool { return l.Cold > 0 }) {
		m.ColdMs = make([]int64, len(loads))
		for i, l := range loads {
			m.ColdMs[i] = l.Cold.Milliseconds()
		}
	}
	for _, l := range loads {
		m.Endpoints = append(m.Endpoints, l.Endpoint)
		m.InFlight = append(m.InFlight, l.InFlight)
		m.Pending = append(m.Pending, l.Pending)
	}
	return m
}

// loads returns the loads of the message, false if its lists do not fit together.
func (m *message) loads() (list []placement.Load, ok bool) {
	cold := m.ColdMs
	if len(cold) == 0 {
		cold = make([]int64, len(m.Endpoints))
	}
	if len(m.InFlight) != len(m.Endpoints) || len(m.Pending) != len(m.Endpoints) || len(cold) != len(m.Endpoints) {
		return nil, false
	}
	for i, id := range m.Endpoints {
		list = append(list, placement.Load{Endpoint: id, InFlight: m.InFlight[i], Pending: m.Pending[i],
			Cold: time.Duration(cold[i]) * time.Millisecond})
	}
	return list, true
}

const (
	// shortestInterval is the time between two messages of a gateway among few, manyPeers the number of others from which it
	// grows.
	shortestInterval = 50 * time.Millisecond
	manyPeers        = 5
	// maxPeers is the number of others up to which all are told: at the interval for that number, a word is renewed just
	// before it counts for nothing.
	maxPeers = 100
	// urgentInterval is the least time between two messages on some endpoints.
	urgentInterval = 5 * time.Millisecond
	// idleInterval is the time between two messages when nothing has changed.
	idleInterval = 500 * time.Millisecond
	// maxLoads bounds the endpoints of a message, so that it fits into one packet.
	maxLoads = 40
	// maxKept bounds the parts of a message for the same reason. A key and a length take up 12 bytes.
	maxKept = 60
	// maxMessage bounds a datagram that is read.
	maxMessage = 4096
)

// Exchange sends and receives loads. Its exported fields are set before Run.
type Exchange struct {
	Name        string
	Incarnation uint64
	Address     netip.AddrPort
	// Domain is the failure domain of this process.
	Domain string
	Peers  Peers
	Table  Table
	// Floors takes the weight versions that gateways have given up; it may be nil.
	Floors Floors
	Log    logr.Logger

	unreadable atomic.Int64
	mu         sync.Mutex
	seen       map[string]message
}

// Unreadable returns the number of datagrams that could not be read.
func (e *Exchange) Unreadable() int64 { return e.unreadable.Load() }

// Run exchanges loads until ctx is done.
func (e *Exchange) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "exchange of loads") }()
	e.seen = map[string]message{}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(e.Address))
	if err != nil {
		return err
	}
	var receiver sync.WaitGroup
	receiver.Go(func() { e.receive(conn) })
	e.send(ctx, conn)
	_ = conn.Close()
	receiver.Wait()
	return nil
}

// send tells the peers what is under way here until ctx is done.
func (e *Exchange) send(ctx context.Context, conn *net.UDPConn) {
	var number uint64
	var sent time.Time
	quiet := false
	for {
		peers := audience(e.Peers.Peers(), e.Domain)
		interval := shortestInterval * time.Duration(max(1, len(peers)/manyPeers))
		loads := e.Table.Loads(time.Now(), maxLoads)
		idle := len(loads) == 0
		if len(peers) > 0 && (!idle || !quiet || time.Since(sent) >= idleInterval) {
			number++
			m := newMessage(e.Name, e.Incarnation, number, loads)
			if e.Floors != nil {
				m.Floors = e.Floors.Own()
			}
			m.keep(e.Table.Kept(time.Now(), maxKept))
			e.tell(conn, peers, m)
			sent, quiet = time.Now(), idle
		}
		number = e.sendUrgent(ctx, conn, peers, number, interval)
		if ctx.Err() != nil {
			return
		}
	}
}

// sendUrgent tells the peers of endpoints whose load changes by much, until d is over or ctx is done. number is that of the last message;
// the result is the new one.
func (e *Exchange) sendUrgent(ctx context.Context, conn *net.UDPConn, peers []site.Gateway, number uint64, d time.Duration) uint64 {
	over := time.After(d)
	urgent := e.Table.Urgent()
	var pause <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return number
		case <-over:
			return number
		case <-pause:
			urgent = e.Table.Urgent()
		case <-urgent:
			number++
			m := newMessage(e.Name, e.Incarnation, number, e.Table.UrgentLoads(time.Now()))
			m.Some = true
			e.tell(conn, peers, m)
			urgent, pause = nil, time.After(urgentInterval)
		}
	}
}

// audience returns the gateways that are told: all of them, or those of the same failure domain where there are so many that
// each would hear from the others less often than its word counts.
func audience(peers []site.Gateway, domain string) []site.Gateway {
	if len(peers) <= maxPeers {
		return peers
	}
	near := slices.DeleteFunc(slices.Clone(peers), func(p site.Gateway) bool { return p.FailureDomain != domain })
	if len(near) == 0 {
		return peers
	}
	return near
}

func (e *Exchange) tell(conn *net.UDPConn, peers []site.Gateway, m *message) {
	b, err := msgpack.Marshal(m)
	if err != nil {
		event.Error(e.Log, err, event.LoadsNotSent)
		return
	}
	for _, p := range peers {
		// A datagram that cannot be sent is as good as lost; the next one replaces it.
		_, _ = conn.WriteToUDPAddrPort(b, p.Address)
	}
}

func (e *Exchange) receive(conn *net.UDPConn) {
	buffer := make([]byte, maxMessage)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		e.take(buffer[:n], time.Now())
	}
}

// take applies a datagram. One that was overtaken by a later one is dropped.
func (e *Exchange) take(b []byte, now time.Time) {
	var m message
	err := msgpack.Unmarshal(b, &m)
	loads, ok := m.loads()
	kept, keptOk := m.kept()
	if err != nil || !ok || !keptOk || m.Name == "" || m.Name == e.Name {
		e.unreadable.Add(1)
		return
	}
	e.mu.Lock()
	last, known := e.seen[m.Name]
	overtaken := known && last.Incarnation == m.Incarnation && m.Number <= last.Number
	if !overtaken {
		e.seen[m.Name] = message{Incarnation: m.Incarnation, Number: m.Number}
	}
	e.mu.Unlock()
	switch {
	case overtaken:
	case m.Some:
		e.Table.PeerUrgentLoads(now, m.Name, loads)
	default:
		e.Table.PeerLoads(now, m.Name, loads)
		e.Table.PeerKept(now, kept)
		if e.Floors != nil {
			e.Floors.Heard(m.Name, m.Incarnation, m.Floors, bootclock.Now())
		}
	}
}
