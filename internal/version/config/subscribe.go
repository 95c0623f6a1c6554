package config

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"primrosecourse/internal/connection/peer"
	"primrosecourse/internal/event"
	"primrosecourse/pkg/wire"
)

const (
	peerHeartbeat = peer.HeartbeatInterval
	// preferredPeerCheckInterval is the base interval at which a subscription to a peer outside the preferred ones checks
	// whether a preferred peer is reachable. The actual wait is 50% to 150% of it.
	preferredPeerCheckInterval = 30 * time.Second
	// emptyPeerTimeout is the time that a starting process stays connected to a peer that has no configuration either.
	emptyPeerTimeout = time.Second
	maxPeerBackoff   = 10 * time.Second
	// maxRecordedFailures limits the peers with a recorded back-off. When it is reached, all records are dropped.
	maxRecordedFailures = 1024
	// noPeerRetryInterval is the mean time after which a subscription without an available peer looks for one again.
	noPeerRetryInterval = time.Second
)

// peerPool assigns peers to the subscriptions of a tracker, so that no two use the same peer. It records recent failures.
type peerPool struct {
	mu     sync.Mutex
	inUse  map[netip.AddrPort]bool
	failed map[netip.AddrPort]peerFailure
}

// peerFailure is the back-off state of a peer.
type peerFailure struct {
	retryAt time.Time
	backoff time.Duration
}

// acquire reserves the first candidate that is neither in use nor in back-off.
func (p *peerPool) acquire(candidates []netip.AddrPort) (addr netip.AddrPort, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range candidates {
		if !p.inUse[addr] && !time.Now().Before(p.failed[addr].retryAt) {
			if p.inUse == nil {
				p.inUse, p.failed = map[netip.AddrPort]bool{}, map[netip.AddrPort]peerFailure{}
			}
			p.inUse[addr] = true
			return addr, true
		}
	}
	return netip.AddrPort{}, false
}

func (p *peerPool) isInUse(addr netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse[addr]
}

// release returns a peer to the pool. A usable peer may be acquired again at once, any other after an exponential
// back-off.
func (p *peerPool) release(addr netip.AddrPort, usable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inUse, addr)
	if usable {
		delete(p.failed, addr)
		return
	}
	if len(p.failed) >= maxRecordedFailures {
		clear(p.failed)
	}
	f := p.failed[addr]
	f.backoff = min(max(2*f.backoff, time.Second), maxPeerBackoff)
	f.retryAt = time.Now().Add(f.backoff/2 + jitter(f.backoff/2))
	p.failed[addr] = f
}

// candidates returns the addresses that the process may subscribe to, in order of preference.
func (t *Tracker) candidates() (addrs []netip.AddrPort) {
	if s := t.Current(); s != nil {
		addrs = upstreams(s.Deployment, t.Name, t.FailureDomain)
		if len(addrs) > 0 {
			return slices.DeleteFunc(addrs, func(a netip.AddrPort) bool { return a == t.Address })
		}
	}
	return t.seeds()
}

// subscribe maintains one subscription until ctx is done, and chooses another peer when the connection ends.
func (t *Tracker) subscribe(ctx context.Context) {
	for ctx.Err() == nil {
		changed := t.Changed()
		addr, ok := t.peers.acquire(t.candidates())
		if !ok {
			timer := time.NewTimer(noPeerRetryInterval/2 + jitter(noPeerRetryInterval))
			select {
			case <-ctx.Done():
			case <-changed:
			case <-timer.C:
			}
			timer.Stop()
			continue
		}
		t.peers.release(addr, t.runSubscription(ctx, addr))
	}
}

// runSubscription runs one connection to a peer. It reports whether the peer may be tried again at once.
func (t *Tracker) runSubscription(ctx context.Context, addr netip.AddrPort) (usable bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hellos := make(chan wire.Hello, 1)
	client := &peer.Client{
		Name: t.Name, FailureDomain: t.FailureDomain, Incarnation: t.Incarnation, Address: addr, Config: t,
		Marks: t.Marks, Log: t.Log, Dial: t.Dial,
		OnHello: func(h wire.Hello) {
			t.recordPeerVersion(h.Name, h.ConfigVersion)
			hellos <- h
		},
		OnPush: func(push wire.ConfigPush) {
			// A peer that is still starting sends heartbeats with version 0, which do not count.
			if push.Version > 0 {
				t.recordHeartbeat()
			}
		},
	}
	done := make(chan error, 1)
	go func() { done <- client.Run(ctx) }()
	var hello wire.Hello
	select {
	case hello = <-hellos:
	case err := <-done:
		event.Info(t.Log.V(1), event.PeerClosed, "address", addr.String(), "reason", err.Error())
		return false
	}
	event.Info(t.Log.V(1), event.PeerConnected, "peer", hello.Name, "version", hello.ConfigVersion)
	connectedAt := time.Now()
	usable = hello.Name != t.Name
	if usable {
		usable = t.supervise(ctx, done, addr, hello)
	}
	cancel()
	err := <-done
	event.Info(t.Log.V(1), event.PeerClosed, "peer", hello.Name, "reason", err.Error())
	return usable && time.Since(connectedAt) > peerHeartbeat
}

// supervise returns when the connection has ended or another peer should be chosen, and reports whether the peer may be
// tried again at once. The error of an ended connection is put back into done for the caller.
func (t *Tracker) supervise(ctx context.Context, done chan error, addr netip.AddrPort, hello wire.Hello) (usable bool) {
	for {
		changed := t.Changed()
		candidates := t.candidates()
		preference := slices.Index(candidates, addr)
		bothEmpty := t.Current() == nil && hello.ConfigVersion == 0
		var timer *time.Timer
		var expired <-chan time.Time
		switch {
		case bothEmpty:
			timer = time.NewTimer(emptyPeerTimeout)
		case preference < 0:
			return true
		case preference >= subscriptions:
			timer = time.NewTimer(preferredPeerCheckInterval/2 + jitter(preferredPeerCheckInterval))
		}
		if timer != nil {
			expired = timer.C
		}
		select {
		case err := <-done:
			done <- err
			usable = true
		case <-expired:
			usable = !bothEmpty && t.anyReachable(ctx, candidates[:subscriptions])
			if !usable && !bothEmpty {
				continue
			}
		case <-changed:
			if timer != nil {
				timer.Stop()
			}
			continue
		}
		if timer != nil {
			timer.Stop()
		}
		return usable
	}
}

// anyReachable reports whether any of the addresses that are not in use accepts a connection. The caller keeps its
// current connection until one does.
func (t *Tracker) anyReachable(ctx context.Context, addrs []netip.AddrPort) bool {
	dial := t.Dial
	if dial == nil {
		dial = peer.Dial
	}
	for _, addr := range addrs {
		if t.peers.isInUse(addr) {
			continue
		}
		if netConn, err := dial(ctx, addr); err == nil {
			_ = netConn.Close()
			return true
		}
	}
	return false
}

// recordHeartbeat records that a push with a version other than 0 has just arrived from a peer.
func (t *Tracker) recordHeartbeat() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heartbeatAt = time.Now()
}
