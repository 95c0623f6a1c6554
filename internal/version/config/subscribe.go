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
	// preferAgain is the time after which a subscription to a peer that was not the first choice looks for a better one.
	preferAgain = 30 * time.Second
	// emptyAnswer is the time that a starting process stays with a peer that has no configuration either.
	emptyAnswer     = time.Second
	maxPeerBackoff  = 10 * time.Second
	maxFailedPeers  = 1024
	idlePeersPeriod = time.Second
)

// peerList shares the peers among the subscriptions of a tracker.
type peerList struct {
	mu     sync.Mutex
	inUse  map[netip.AddrPort]bool
	failed map[netip.AddrPort]failure
}

type failure struct {
	until   time.Time
	backoff time.Duration
}

// take reserves the first peer that is not in use and did not fail just now.
func (l *peerList) take(candidates []netip.AddrPort) (addr netip.AddrPort, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, addr := range candidates {
		if !l.inUse[addr] && !time.Now().Before(l.failed[addr].until) {
			if l.inUse == nil {
				l.inUse, l.failed = map[netip.AddrPort]bool{}, map[netip.AddrPort]failure{}
			}
			l.inUse[addr] = true
			return addr, true
		}
	}
	return netip.AddrPort{}, false
}

func (l *peerList) used(addr netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inUse[addr]
}

// release gives a peer back. A peer that served is tried again at once, another one after a growing time.
func (l *peerList) release(addr netip.AddrPort, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inUse, addr)
	if served {
		delete(l.failed, addr)
		return
	}
	if len(l.failed) >= maxFailedPeers {
		clear(l.failed)
	}
	f := l.failed[addr]
	f.backoff = min(max(2*f.backoff, time.Second), maxPeerBackoff)
	f.until = time.Now().Add(f.backoff/2 + jitter(f.backoff/2))
	l.failed[addr] = f
}

// candidates returns the addresses to subscribe to, best first.
func (t *Tracker) candidates() (addrs []netip.AddrPort) {
	if s := t.Current(); s != nil {
		addrs = parents(s.Deployment, t.Name, t.FailureDomain)
		if len(addrs) > 0 {
			return slices.DeleteFunc(addrs, func(a netip.AddrPort) bool { return a == t.Address })
		}
	}
	return t.seeds()
}

// subscribe keeps one subscription until ctx is done.
func (t *Tracker) subscribe(ctx context.Context) {
	for ctx.Err() == nil {
		changed := t.Changed()
		addr, ok := t.peers.take(t.candidates())
		if !ok {
			timer := time.NewTimer(idlePeersPeriod/2 + jitter(idlePeersPeriod))
			select {
			case <-ctx.Done():
			case <-changed:
			case <-timer.C:
			}
			timer.Stop()
			continue
		}
		t.peers.release(addr, t.follow(ctx, addr))
	}
}

// follow runs one connection. It returns whether the peer should be tried again at once.
func (t *Tracker) follow(ctx context.Context, addr netip.AddrPort) (served bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	greeted := make(chan wire.Hello, 1)
	client := &peer.Client{
		Name: t.Name, FailureDomain: t.FailureDomain, Incarnation: t.Incarnation, Address: addr, Config: t,
		Marks: t.Marks, Log: t.Log, Dial: t.Dial,
		OnHello: func(h wire.Hello) {
			t.greeted(h.Name, h.ConfigVersion)
			greeted <- h
		},
		OnPush: func(push wire.ConfigPush) {
			// A peer that starts itself sends heartbeats without a version, and is no source yet.
			if push.Version > 0 {
				t.hear()
			}
		},
	}
	done := make(chan error, 1)
	go func() { done <- client.Run(ctx) }()
	var hello wire.Hello
	select {
	case hello = <-greeted:
	case err := <-done:
		event.Info(t.Log.V(1), event.PeerClosed, "address", addr.String(), "reason", err.Error())
		return false
	}
	event.Info(t.Log.V(1), event.PeerConnected, "peer", hello.Name, "version", hello.ConfigVersion)
	began := time.Now()
	served = hello.Name != t.Name
	if served {
		served = t.supervise(ctx, done, addr, hello)
	}
	cancel()
	err := <-done
	event.Info(t.Log.V(1), event.PeerClosed, "peer", hello.Name, "reason", err.Error())
	return served && time.Since(began) > peerHeartbeat
}

// supervise returns when the connection ended or another peer should be chosen. The result of the connection stays in
// done.
func (t *Tracker) supervise(ctx context.Context, done chan error, addr netip.AddrPort, hello wire.Hello) (served bool) {
	for {
		changed := t.Changed()
		candidates := t.candidates()
		place := slices.Index(candidates, addr)
		empty := t.Current() == nil && hello.ConfigVersion == 0
		var timer *time.Timer
		var expired <-chan time.Time
		switch {
		case empty:
			timer = time.NewTimer(emptyAnswer)
		case place < 0:
			return true
		case place >= subscriptions:
			timer = time.NewTimer(preferAgain/2 + jitter(preferAgain))
		}
		if timer != nil {
			expired = timer.C
		}
		select {
		case err := <-done:
			done <- err
			served = true
		case <-expired:
			served = !empty && t.reachable(ctx, candidates[:subscriptions])
			if !served && !empty {
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
		return served
	}
}

// reachable tells whether a peer that is not in use accepts connections. The connection in use stays until one does.
func (t *Tracker) reachable(ctx context.Context, addrs []netip.AddrPort) bool {
	dial := t.Dial
	if dial == nil {
		dial = peer.Dial
	}
	for _, addr := range addrs {
		if t.peers.used(addr) {
			continue
		}
		if conn, err := dial(ctx, addr); err == nil {
			_ = conn.Close()
			return true
		}
	}
	return false
}

// hear notes that a peer lives.
func (t *Tracker) hear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard = time.Now()
}
