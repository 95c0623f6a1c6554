package loads

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"primrosecourse/internal/process/bootclock"
	"primrosecourse/pkg/bounded"
	"primrosecourse/pkg/intake"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/staleness"
	"primrosecourse/pkg/tiering"
)

// Peers lists the other gateways.
type Peers interface {
	// Peers returns the other gateways. The result must not be changed.
	Peers() []site.Gateway
}

// View provides the endpoints of the site; registry.Registry implements it.
type View interface {
	Current() *site.Snapshot
}

// Table records the state of endpoints; placement.Table implements it.
type Table interface {
	// SumLoads returns the loads that this gateway and the named others cause together, for at most limit endpoints, and SumLoadsAt
	// those at the given endpoints.
	SumLoads(now time.Time, limit int, peers map[string]bool) []placement.Load
	SumLoadsAt(now time.Time, endpoints []string, peers map[string]bool) []placement.Load
	// GroupCaches returns the cached parts that this gateway and the named others reported themselves, at most limit parts, those that
	// were returned longest ago first.
	GroupCaches(now time.Time, limit int, peers map[string]bool) []placement.CachedParts
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
	SetPeerCaches(now time.Time, peer string, caches []placement.CachedParts)
}

// Floors records, for each gateway and model, the lowest weight version whose parts in KV stores the gateway still uses;
// tiering.Floors implements it.
type Floors interface {
	// Own returns the floors of this gateway by model.
	Own() map[string]uint64
	// SetPeer records the floors that an incarnation of another gateway reported. now is the time since the start of the machine.
	SetPeer(peer string, incarnation uint64, floors map[string]uint64, now time.Duration)
	// Peer returns what was last recorded for another gateway.
	Peer(peer string) (incarnation uint64, floors map[string]uint64)
}

const (
	// minInterval is the time between two full messages of a gateway with few peers in its domain. The interval grows in proportion to
	// their number: minInterval for each full peersAtMinInterval of them, and at least minInterval.
	minInterval        = 50 * time.Millisecond
	peersAtMinInterval = 5
	// maxInterval is the longest such time. It is half of the age from which placement.Table ignores a report, so that one lost message
	// does no harm.
	maxInterval = 500 * time.Millisecond
	// summaryInterval is the minimum time between two full summaries of a domain, urgentSummaryInterval that between two urgent ones.
	summaryInterval       = 100 * time.Millisecond
	urgentSummaryInterval = 20 * time.Millisecond
	// minUrgentInterval is the minimum time between two urgent messages without a full message between them.
	minUrgentInterval = 5 * time.Millisecond
	// idleInterval is the minimum time between two full messages while there is neither a load nor a cold endpoint to report.
	idleInterval = 500 * time.Millisecond
	// maxLoads limits the endpoints in a full message, so that the message fits into one packet. Urgent messages are not limited.
	maxLoads = 40
	// maxSummaryLoads limits the endpoints in a summary, and maxSummaryParts the cached parts, of which each summary has others.
	maxSummaryLoads = 128
	maxSummaryParts = 60
	// maxSaves limits the saves of parts in a message of a gateway and maxSummarySaves those in a summary.
	maxSaves        = 48
	maxSummarySaves = 160
	// cachePeriod is the time between two messages or summaries with cached parts and floors.
	cachePeriod = 300 * time.Millisecond
	// maxCachedParts limits the cached parts in a full message for the same reason. The key and the length of a part take up 12 bytes.
	maxCachedParts = 60
	// maxDatagramBytes is the size of the receive buffer; longer datagrams are truncated.
	maxDatagramBytes = 8192
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

	// Intake holds the requests sent to endpoints that state the rate that they take; it may be nil.
	Intake Intake
	// Ages holds the ages of weight versions to exchange; it may be nil.
	Ages *staleness.Ages
	// Links holds the delays of stores to exchange; it may be nil.
	Links *tiering.Links
	// Saves holds the saves of parts to exchange; it may be nil.
	Saves *tiering.Saves
	// Plan returns the number of the plan of builds that this gateway knows; it may be nil.
	Plan func() uint64
	// Delayed is called after each wait for the next message with how much later than planned it ended, which shows how busy this process is. It
	// may be nil.
	Delayed func(time.Duration)
	// View provides the endpoints that the keys in messages stand for.
	View View

	unreadable atomic.Int64
	mu         sync.Mutex
	// latest holds the last accepted message of each sender with only Incarnation and Number set.
	latest map[string]message
	// speakers and members describe this gateway's domain: members are the names of the other gateways of it that sent a message.
	speakers speakers
	members  map[string]bool
	// ids maps the keys of the endpoints of a snapshot to their IDs.
	ids   map[uint32]string
	idsOf *site.Snapshot
	// pendingUrgent are the endpoints with an urgent change that the next urgent summary reports; a value on urgentSummary starts it.
	pendingUrgent map[string]bool
	urgentSummary chan struct{}
}

// Unreadable returns the number of datagrams that were dropped because they could not be decoded, were malformed, or had the
// name of this gateway as their sender.
func (e *Exchange) Unreadable() int64 { return e.unreadable.Load() }

// Run exchanges loads until ctx is done.
func (e *Exchange) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "load exchange") }()
	e.init()
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

func (e *Exchange) init() {
	e.latest, e.members, e.pendingUrgent = map[string]message{}, map[string]bool{}, map[string]bool{}
	e.urgentSummary = make(chan struct{}, 1)
	e.speakers.own = e.Address
}

func (e *Exchange) receive(conn *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if passOn := e.handle(buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), time.Now()); passOn != nil {
			same, _ := split(e.Peers.Peers(), e.Domain)
			e.broadcast(conn, same, passOn)
		}
	}
}

// endpointIDs returns the IDs of the endpoints of the current snapshot by their keys. The result must not be changed.
func (e *Exchange) endpointIDs() map[uint32]string {
	snapshot := e.View.Current()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !snapshot.HasEndpointsOf(e.idsOf) {
		ids := map[uint32]string{}
		for _, endpoints := range snapshot.Endpoints {
			for _, endpoint := range endpoints {
				ids[endpointKey(endpoint.ID)] = endpoint.ID
			}
		}
		e.ids = ids
	}
	e.idsOf = snapshot
	return e.ids
}

// handle decodes a datagram and applies it to the table and the floors. A datagram is dropped if its number is not higher than that
// of the last accepted one of the same sender and incarnation. It returns the message that is to be passed on to the domain, nil if
// there is none.
func (e *Exchange) handle(b []byte, from netip.AddrPort, now time.Time) (passOn *message) {
	var m message
	err := bounded.Unmarshal(b, &m)
	ids := e.endpointIDs()
	loads, loadsOK := m.loads(ids)
	cached, cachedOK := m.cached(ids)
	var intakes []intake.Report
	intakeOK := true
	if m.Intake != nil {
		intakes, intakeOK = m.Intake.reports(ids)
	}
	saves, savesOK := m.saves()
	if err != nil || !loadsOK || !cachedOK || !intakeOK || !savesOK || m.Name == "" || m.Name == e.Name {
		e.unreadable.Add(1)
		return nil
	}
	if !e.accept(&m, from, now) {
		return nil
	}
	source := m.Name
	if m.Domain != "" {
		source = domainSource(m.Domain)
		if !m.PassedOn {
			passOn = &m
			passOn.PassedOn = true
		}
	}
	switch {
	case m.Some:
		e.Table.UpdatePeerLoads(now, source, loads)
		if m.Domain == "" {
			e.queueSummary(loads)
		}
	default:
		e.Table.SetPeerLoads(now, source, loads)
	}
	if len(cached) > 0 {
		e.Table.SetPeerCaches(now, source, cached)
	}
	if e.Intake != nil && m.Intake != nil {
		e.Intake.SetPeer(now, source, m.Intake.Gateways, intakes)
	}
	if e.Links != nil && len(m.Links) > 0 {
		e.Links.SetPeer(now, source, m.links())
	}
	if e.Saves != nil {
		incarnation := m.Incarnation
		if m.Domain != "" {
			incarnation = 0
		}
		e.Saves.SetPeer(now, source, incarnation, saves)
	}
	if e.Ages != nil {
		for model, list := range m.Ages {
			for _, a := range list {
				e.Ages.SetPeer(model, staleness.Age{Version: a.Version, Age: time.Duration(a.AgeMs) * time.Millisecond}, bootclock.Now())
			}
		}
	}
	if e.Floors != nil {
		if m.Floors != nil {
			e.Floors.SetPeer(m.Name, m.Incarnation, m.Floors, bootclock.Now())
		}
		for name, f := range m.GroupFloors {
			if name != e.Name {
				e.Floors.SetPeer(name, f.Incarnation, f.Floors, bootclock.Now())
			}
		}
	}
	return passOn
}

// domainSource is the name under which the table records the loads of a whole domain.
func domainSource(domain string) string { return "Domain " + domain }

// accept reports whether a message is newer than the last one of its sender, and records it. A summary of this gateway's own domain is
// not accepted, since its gateways are known themselves.
func (e *Exchange) accept(m *message, from netip.AddrPort, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.Domain == e.Domain && m.Domain != "" {
		return false
	}
	last, seen := e.latest[m.Name]
	if seen && last.Incarnation == m.Incarnation && m.Number <= last.Number {
		return false
	}
	e.latest[m.Name] = message{Incarnation: m.Incarnation, Number: m.Number}
	if m.Domain == "" {
		e.members[m.Name] = true
		e.speakers.hear(from, now)
	}
	return true
}
