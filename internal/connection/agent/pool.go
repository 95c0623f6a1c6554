package agent

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/wire"
)

// Loads receives the load states that arrive.
type Loads interface {
	Report(endpoint string, load wire.LoadState, now time.Time)
	Down(endpoint string, now time.Time)
}

// Config is the configuration in force at the entry.
type Config interface {
	// Version returns the version in force, 0 before there is one.
	Version() uint64
	// Wants tells whether the content of a version should be asked for now; it is true on one of many connections.
	Wants(version uint64) bool
	// Push returns the configuration with its content.
	Push() wire.ConfigPush
	// Offer takes a configuration from a peer if it is newer. One without content confirms the version.
	Offer(push wire.ConfigPush) (bool, error)
}

// Marks holds what is known of requests that ran when an endpoint crashed.
type Marks interface {
	// Add takes a mark from an agent.
	Add(mark wire.Mark, now time.Time)
	// Find returns the mark of a fingerprint, which is sent ahead of its request.
	Find(fingerprint uint64, now time.Time) (wire.Mark, bool)
}

// Target is the agent of an endpoint.
type Target struct {
	Name    string
	Address netip.AddrPort
}

// Pool holds the connections to all agents. Its exported fields are set before the first call.
type Pool struct {
	// Name, FailureDomain and Incarnation are those of the entry, for Hello.
	Name          string
	FailureDomain string
	Incarnation   uint64
	Log           logr.Logger
	Loads         Loads
	Config        Config
	// Marks may be nil.
	Marks Marks
	// Metrics receives the counters. Default: a registry of its own.
	Metrics metrics.Registry
	// Dial connects to an agent. Default TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

	// DialTimeout bounds dialing and the exchange of Hello. Default 300 ms: inside a region both take a few milliseconds, and
	// a request that waits longer for a lost failure domain misses its time to first token, while others would serve it.
	DialTimeout time.Duration
	// IdleTimeout is the time without streams after which a connection is closed. Default 30 s.
	IdleTimeout time.Duration
	// HeartbeatInterval is the silence after which a waiting connection is pinged. Default 500 ms.
	HeartbeatInterval time.Duration
	// KeepAlive is the time without a message to the agent after which it is pinged, whether or not streams are open.
	// Agents disconnect an entry that they have not heard for 30 s. Default 20 s, which is once in an idle connection.
	KeepAlive time.Duration
	// PeerTimeout is the silence after which an agent counts as down. Default 2 s.
	PeerTimeout time.Duration
	// BackoffMin and BackoffMax bound the time between two probes. Defaults 100 ms and 2 s.
	BackoffMin, BackoffMax time.Duration
	// ProbeTime is how long an agent that is down is probed before it is forgotten. The next request dials it again.
	// Default 10 min.
	ProbeTime time.Duration
	// StreamBytes bounds the buffer of a stream, counted in tokens and text. Default 256 KiB.
	StreamBytes int

	once   sync.Once
	ctx    context.Context
	cancel context.CancelFunc
	parts  sync.WaitGroup
	done   chan struct{}

	mu     sync.Mutex
	closed bool
	peers  map[string]*peer

	late, outOfTurn, slow, gaps, downs metrics.Counter
}

func (p *Pool) init() {
	p.once.Do(func() {
		p.ctx, p.cancel = context.WithCancel(context.Background())
		p.done = make(chan struct{})
		p.peers = make(map[string]*peer)
		p.DialTimeout = cmp.Or(p.DialTimeout, 300*time.Millisecond)
		p.IdleTimeout = cmp.Or(p.IdleTimeout, 30*time.Second)
		p.HeartbeatInterval = cmp.Or(p.HeartbeatInterval, 500*time.Millisecond)
		p.KeepAlive = cmp.Or(p.KeepAlive, 20*time.Second)
		p.PeerTimeout = cmp.Or(p.PeerTimeout, 2*time.Second)
		p.BackoffMin = cmp.Or(p.BackoffMin, 100*time.Millisecond)
		p.BackoffMax = cmp.Or(p.BackoffMax, 2*time.Second)
		p.ProbeTime = cmp.Or(p.ProbeTime, 10*time.Minute)
		p.StreamBytes = cmp.Or(p.StreamBytes, 256<<10)
		if p.Metrics == nil {
			p.Metrics = metrics.NewRegistry()
		}
		if p.Dial == nil {
			p.Dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", addr.String())
			}
		}
		p.late = metrics.GetOrRegisterCounter("AgentMessagesLate", p.Metrics)
		p.outOfTurn = metrics.GetOrRegisterCounter("AgentMessagesOutOfTurn", p.Metrics)
		p.slow = metrics.GetOrRegisterCounter("AgentStreamsSlowReader", p.Metrics)
		p.gaps = metrics.GetOrRegisterCounter("AgentStreamsGap", p.Metrics)
		p.downs = metrics.GetOrRegisterCounter("AgentPeersDown", p.Metrics)
	})
}

// Run keeps the pool until ctx is done, then closes every connection and waits for the goroutines of the pool. Requests
// may be made before Run.
func (p *Pool) Run(ctx context.Context) error {
	p.init()
	<-ctx.Done()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.parts.Wait()
	close(p.done)
	return nil
}

// Done is closed when Run has ended.
func (p *Pool) Done() <-chan struct{} {
	p.init()
	return p.done
}

// start runs f unless the pool is closed.
func (p *Pool) start(f func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.parts.Go(f)
	return true
}

// Retain forgets the agents for which keep returns false. Their open streams go on; they are not probed any more.
func (p *Pool) Retain(keep func(name string) bool) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, peer := range p.peers {
		if !keep(name) {
			peer.forget()
			delete(p.peers, name)
		}
	}
}

// Submit sends a prompt to an agent. It sets s.Stream and s.ConfigVersion unless the latter is set. The stream must be
// read to its end or cancelled. Submit returns before the agent answered; an error is marked ErrNotSent, or
// ErrMayHaveArrived if the connection broke in the meantime.
func (p *Pool) Submit(ctx context.Context, to Target, s wire.Submit) (*Stream, error) {
	return p.open(ctx, to, len(s.Given), func(id uint64) []wire.Message {
		s.Stream = id
		s.ConfigVersion = cmp.Or(s.ConfigVersion, p.Config.Version())
		if p.Marks != nil {
			if mark, ok := p.Marks.Find(s.Fingerprint, time.Now()); ok {
				return []wire.Message{mark, s}
			}
		}
		return []wire.Message{s}
	})
}

// Call sends a call to an agent and waits for its Reply or Refused. When ctx ends first, the call is cancelled, which stops
// it only if the agent did not send it on; the error then tells whether it may have arrived.
func (p *Pool) Call(ctx context.Context, to Target, c wire.Call) (m wire.Message, err error) {
	stream, err := p.open(ctx, to, isCall, func(id uint64) []wire.Message {
		c.Stream = id
		c.ConfigVersion = cmp.Or(c.ConfigVersion, p.Config.Version())
		return []wire.Message{c}
	})
	if err != nil {
		return nil, err
	}
	defer stream.Cancel()
	return stream.Next(ctx)
}

func (p *Pool) open(ctx context.Context, to Target, given int, messages func(id uint64) []wire.Message) (_ *Stream, err error) {
	p.init()
	defer func() { err = errors.Wrapf(err, "request to %s", to.Name) }()
	for attempt := 0; ; attempt++ {
		c, err := p.peer(to).connect(ctx)
		if err != nil {
			return nil, notSent(err)
		}
		s, err := c.open(given, messages)
		// A connection that ends just now, for example because it was idle, says nothing about the agent.
		if err == nil || attempt > 0 || !errors.Is(err, errUnusable) {
			return s, err
		}
	}
}

func (p *Pool) peer(to Target) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	got, ok := p.peers[to.Name]
	if ok && got.target.Address != to.Address {
		// The old connection goes on with its streams; the new address gets the new ones.
		got.forget()
		ok = false
	}
	if !ok {
		got = newPeer(p, to)
		p.peers[to.Name] = got
	}
	return got
}

// report passes a load state on. Agents leave the state unknown where they have none to tell.
func (p *Pool) report(endpoint string, load wire.LoadState) {
	if load.State != wire.StateUnknown {
		p.Loads.Report(endpoint, load, time.Now())
	}
}

func (p *Pool) logDown(t Target, err error) {
	p.downs.Inc(1)
	p.Loads.Down(t.Name, time.Now())
	event.Info(p.Log, event.AgentUnreachable, "endpoint", t.Name, "address", t.Address.String(), "cause", err.Error())
}
