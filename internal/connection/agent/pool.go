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

// Loads receives the load states of the endpoints.
type Loads interface {
	// Report records a load state that an agent sent. The zero state replaces Down when the agent responds again or is
	// no longer probed.
	Report(endpoint string, load wire.LoadState, now time.Time)
	// Down records that the agent does not respond.
	Down(endpoint string, now time.Time)
}

// Config is the configuration in force at the entry.
type Config interface {
	// Version returns the version in force, 0 before there is one.
	Version() uint64
	// StartFetch reports whether the content of a version should be requested now. To avoid requesting it on every
	// connection, it returns true to one of many callers.
	StartFetch(version uint64) bool
	// Push returns the configuration with its content.
	Push() wire.ConfigPush
	// Offer applies a configuration from a peer if it is newer, and reports whether it did. A push without content
	// confirms the version.
	Offer(push wire.ConfigPush) (bool, error)
}

// CrashMarks stores crash marks: fingerprints of requests that ran when an endpoint crashed.
type CrashMarks interface {
	// Add stores a mark that an agent sent.
	Add(mark wire.Mark, now time.Time)
	// Find returns the mark of a fingerprint, if there is one. The mark is sent before a request with that fingerprint.
	Find(fingerprint uint64, now time.Time) (wire.Mark, bool)
}

// Target identifies the agent of an endpoint.
type Target struct {
	Name    string
	Address netip.AddrPort
}

// Pool maintains the connections to all agents. Its exported fields must be set before the first call.
type Pool struct {
	// Name, FailureDomain and Incarnation describe the entry in its Hello.
	Name          string
	FailureDomain string
	Incarnation   uint64
	Log           logr.Logger
	Loads         Loads
	Config        Config
	// Marks may be nil; no marks are exchanged then.
	Marks CrashMarks
	// Metrics receives the counters. Default: a new registry.
	Metrics metrics.Registry
	// Dial connects to an agent. Default: TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

	// DialTimeout bounds dialing and the exchange of Hello together. Default 300 ms: inside a region both take a few
	// milliseconds, and a request that waits longer for a lost failure domain misses its time to first token, while
	// other endpoints could serve it.
	DialTimeout time.Duration
	// IdleTimeout is the time without streams after which a connection is closed. Default 30 s.
	IdleTimeout time.Duration
	// HeartbeatInterval is the silence after which the agent is pinged while streams are open. Default 500 ms.
	HeartbeatInterval time.Duration
	// KeepAlive is the time without a message to the agent after which it is pinged, whether or not streams are open.
	// Agents disconnect an entry that has sent nothing for 30 s. Default 20 s, which gives one ping before IdleTimeout
	// closes an idle connection.
	KeepAlive time.Duration
	// PeerTimeout is the time after which an agent is considered down if it sends nothing while streams are open, or
	// accepts no bytes. Default 2 s.
	PeerTimeout time.Duration
	// BackoffMin and BackoffMax bound the delay before the next probe, which doubles with each probe. Defaults 100 ms
	// and 2 s.
	BackoffMin, BackoffMax time.Duration
	// ProbeTime is how long an agent that is down is probed. Afterwards it no longer counts as down, and the next
	// request dials it again. Default 10 min.
	ProbeTime time.Duration
	// StreamBytes bounds the tokens and text that wait in the buffer of a stream, except that a single message may exceed
	// it. Default 256 KiB.
	StreamBytes int

	initOnce   sync.Once
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	done       chan struct{}

	mu     sync.Mutex
	closed bool
	peers  map[string]*peer

	lateMessages, outOfTurnMessages, slowReaders, gaps, peersDown metrics.Counter
}

func (p *Pool) init() {
	p.initOnce.Do(func() {
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
		p.lateMessages = metrics.GetOrRegisterCounter("AgentMessagesLate", p.Metrics)
		p.outOfTurnMessages = metrics.GetOrRegisterCounter("AgentMessagesOutOfTurn", p.Metrics)
		p.slowReaders = metrics.GetOrRegisterCounter("AgentStreamsSlowReader", p.Metrics)
		p.gaps = metrics.GetOrRegisterCounter("AgentStreamsGap", p.Metrics)
		p.peersDown = metrics.GetOrRegisterCounter("AgentPeersDown", p.Metrics)
	})
}

// Run blocks until ctx is done, then closes every connection and waits for the goroutines of the pool. Requests may be
// made before Run is called.
func (p *Pool) Run(ctx context.Context) error {
	p.init()
	<-ctx.Done()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.goroutines.Wait()
	close(p.done)
	return nil
}

// Done is closed when Run has ended.
func (p *Pool) Done() <-chan struct{} {
	p.init()
	return p.done
}

// start runs f in a goroutine that Run waits for. It returns false if the pool is closed.
func (p *Pool) start(f func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.goroutines.Go(f)
	return true
}

// Retain removes the agents for which keep returns false. Open streams of these agents continue, but the agents are no
// longer probed.
func (p *Pool) Retain(keep func(name string) bool) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, peer := range p.peers {
		if !keep(name) {
			peer.stopProbing()
			delete(p.peers, name)
		}
	}
}

// Submit sends a prompt to an agent. It sets s.Stream, and s.ConfigVersion if that is 0. The caller must read the
// stream to its end or cancel it. Submit waits for a connection, but not for a response to the prompt; an error is
// marked ErrNotSent.
func (p *Pool) Submit(ctx context.Context, to Target, s wire.Submit) (*Stream, error) {
	return p.openStream(ctx, to, len(s.Given), func(id uint64) []wire.Message {
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

// Call sends a call to an agent and waits for its Reply or Refused. When ctx ends first, the call is cancelled, which
// has an effect only if the agent has not yet sent it to the service. An error is marked ErrNotSent or
// ErrMayHaveArrived.
func (p *Pool) Call(ctx context.Context, to Target, c wire.Call) (m wire.Message, err error) {
	stream, err := p.openStream(ctx, to, callStream, func(id uint64) []wire.Message {
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

func (p *Pool) openStream(
	ctx context.Context, to Target, givenTokens int, messages func(id uint64) []wire.Message,
) (_ *Stream, err error) {
	p.init()
	defer func() { err = errors.Wrapf(err, "request to %s", to.Name) }()
	for attempt := 0; ; attempt++ {
		c, err := p.peer(to).connect(ctx)
		if err != nil {
			return nil, notSent(err)
		}
		s, err := c.openStream(givenTokens, messages)
		// The connection may have been closed in the meantime, for example because it was idle. One retry on a new
		// connection shows whether the agent is available.
		if err == nil || attempt > 0 || !errors.Is(err, errUnusable) {
			return s, err
		}
	}
}

func (p *Pool) peer(to Target) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.peers[to.Name]
	if ok && found.target.Address != to.Address {
		// The streams on the old connection continue; new streams go to the new address.
		found.stopProbing()
		ok = false
	}
	if !ok {
		found = newPeer(p, to)
		p.peers[to.Name] = found
	}
	return found
}

// reportLoad passes on a load state, unless it is unknown: some messages of agents carry no load state.
func (p *Pool) reportLoad(endpoint string, load wire.LoadState) {
	if load.State != wire.StateUnknown {
		p.Loads.Report(endpoint, load, time.Now())
	}
}

func (p *Pool) reportDown(t Target, err error) {
	p.peersDown.Inc(1)
	p.Loads.Down(t.Name, time.Now())
	event.Info(p.Log, event.AgentUnreachable, "endpoint", t.Name, "address", t.Address.String(), "cause", err.Error())
}
