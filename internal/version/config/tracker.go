package config

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"primrosecourse/internal/connection/peer"
	"primrosecourse/internal/event"
	"primrosecourse/internal/process/platform"
	"primrosecourse/pkg/wire"
)

// DefaultBootstrapPeers is the number of peers that must answer before a process starts without the platform.
const DefaultBootstrapPeers = 2

// Platform is the part of the platform's API that a Tracker uses.
type Platform interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]platform.Event, uint64, error)
}

// Tracker keeps the configuration in force. Exported fields are set before Run, which must be running for the methods
// to make progress. The methods are safe for concurrent use, also before Run.
type Tracker struct {
	// Name, FailureDomain and Incarnation identify the process to its peers. A zero Incarnation is replaced by a random
	// one.
	Name          string
	FailureDomain string
	Incarnation   uint64
	Platform      Platform
	// Peers are the peer addresses of entries known from the process's settings, used until a configuration names
	// others. Address is the process's own peer address, if it has one; it is left out of Peers.
	Peers   []netip.AddrPort
	Address netip.AddrPort
	// IsEntry is true in entries, which may watch the platform for their failure domain.
	IsEntry bool
	// BootstrapPeers is the number of peers that must answer while the platform does not. Default
	// DefaultBootstrapPeers. All of Peers, if they are fewer.
	BootstrapPeers int
	// Marks relays marks over the subscriptions; optional.
	Marks *peer.Relay
	Log   logr.Logger
	// Dial connects to peers. Default peer.Dial.
	Dial func(context.Context, netip.AddrPort) (net.Conn, error)

	once    sync.Once
	readyCh chan struct{}

	// decoding is held while a version is decoded. The same version comes by push, by watch and as a difference at almost
	// the same time; only the first is decoded, which takes 60 ms at full size. It is taken before mu, which stays free
	// for readers meanwhile.
	decoding sync.Mutex

	mu sync.Mutex
	// held is the highest valid version known; it is in force once the tracker is ready.
	held *Snapshot
	// deltas lead to held.
	deltas  chain
	ready   bool
	changed chan struct{}
	// confirmed is when the platform last said that held is current, zero if never.
	confirmed time.Time
	// invalid is the highest version whose content was invalid.
	invalid uint64
	// spoiled is the version whose delta could not be applied last; all of it is asked for instead.
	spoiled uint64
	// wanted is the version that a peer was asked for last, at wantedAt.
	wanted   uint64
	wantedAt time.Time
	// heard is when a peer's push arrived last.
	heard time.Time
	// answered and failed tell how the platform's first reads ended.
	answered bool
	failed   bool
	// answers holds the version in force at each peer that greeted, by the peer's name.
	answers map[string]uint64

	peers peerList
}

func (t *Tracker) init() {
	t.once.Do(func() {
		t.readyCh = make(chan struct{})
		t.changed = make(chan struct{})
		t.answers = map[string]uint64{}
	})
}

// Run keeps the configuration current until ctx is done. It returns after all its goroutines ended.
func (t *Tracker) Run(ctx context.Context) error {
	t.init()
	if t.Platform == nil {
		return errors.New("config: no Platform")
	}
	if t.Incarnation == 0 {
		t.Incarnation = rand.Uint64()
	}
	t.mu.Lock()
	t.heard = time.Now()
	t.mu.Unlock()
	event.Info(t.Log, event.ConfigStarted, "name", t.Name, "failureDomain", t.FailureDomain, "peers", len(t.Peers))
	var wg sync.WaitGroup
	wg.Go(func() { t.followPlatform(ctx) })
	for range max(subscriptions, t.bootstrapPeers()) {
		wg.Go(func() { t.subscribe(ctx) })
	}
	wg.Wait()
	event.Info(t.Log, event.ConfigStopped, "version", t.Version())
	return nil
}

// Current returns the version in force, nil until the tracker is ready.
func (t *Tracker) Current() *Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ready {
		return nil
	}
	return t.held
}

// Version returns the number of the version in force, 0 until the tracker is ready.
func (t *Tracker) Version() uint64 {
	if s := t.Current(); s != nil {
		return s.Version
	}
	return 0
}

// Ready returns a channel that is closed when a configuration is in force.
func (t *Tracker) Ready() <-chan struct{} {
	t.init()
	return t.readyCh
}

// Changed returns a channel that is closed when the version in force rises. Callers take it before they read Current.
func (t *Tracker) Changed() <-chan struct{} {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Push returns the version in force for a peer that is behind, with Version 0 until the tracker is ready.
func (t *Tracker) Push() wire.ConfigPush {
	push, s := t.announce()
	if s != nil {
		push.Content = s.stored()
	}
	return push
}

// PushSince returns the version in force for a peer that has an older one: the difference, if it is known, or else all
// of it.
func (t *Tracker) PushSince(version uint64) wire.ConfigPush {
	push, s := t.announce()
	if s == nil {
		return push
	}
	t.mu.Lock()
	content := []byte(nil)
	if t.held == s && version > 0 {
		content = t.deltas.since(version)
	}
	t.mu.Unlock()
	if len(content) == 0 {
		push.Content = s.stored()
		return push
	}
	push.Base, push.Content = version, content
	return push
}

// Base returns the version that the content of a version should be asked for from: the one known, or 0 for all of it.
func (t *Tracker) Base(version uint64) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held == nil || version == t.spoiled {
		return 0
	}
	return t.held.Version
}

// Heartbeat returns Push without its content.
func (t *Tracker) Heartbeat() wire.ConfigPush {
	push, _ := t.announce()
	return push
}

func (t *Tracker) announce() (wire.ConfigPush, *Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ready {
		return wire.ConfigPush{}, nil
	}
	push := wire.ConfigPush{Version: t.held.Version, ConfirmedAgo: neverConfirmed}
	if !t.confirmed.IsZero() {
		push.ConfirmedAgo = time.Since(t.confirmed)
	}
	return push, t.held
}

// neverConfirmed is the ConfirmedAgo of a version that no platform confirmed to this process or its peers.
const neverConfirmed = time.Duration(1<<63 - 1)

// Offer takes a push if its version is higher than the one known and its content is valid. A push without content
// confirms the version known, and is never accepted. The error tells why the content is invalid.
func (t *Tracker) Offer(push wire.ConfigPush) (accepted bool, err error) {
	t.init()
	switch {
	case len(push.Content) == 0:
	case push.Base > 0:
		accepted, err = t.takeDelta(push)
	default:
		accepted, err = t.take(push.Version, push.Content, "push")
	}
	if err != nil {
		return false, err
	}
	if push.ConfirmedAgo >= 0 && push.ConfirmedAgo < neverConfirmed {
		t.confirm(push.Version, time.Now().Add(-push.ConfirmedAgo))
	}
	return accepted, nil
}

// wantAgain is the time after which a version that was asked for in vain is asked for again.
const wantAgain = 500 * time.Millisecond

// Wants tells whether the content of a version should be asked for now: the version is higher than the one known, and
// no other peer was just asked for it.
func (t *Tracker) Wants(version uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held != nil && version <= t.held.Version || version == t.invalid {
		return false
	}
	if version <= t.wanted && time.Since(t.wantedAt) < wantAgain {
		return false
	}
	t.wanted, t.wantedAt = version, time.Now()
	return version > 0
}

// take puts a version in force, or holds it until the tracker is ready.
func (t *Tracker) take(version uint64, content []byte, source string) (accepted bool, err error) {
	t.decoding.Lock()
	defer t.decoding.Unlock()
	held := t.holds()
	if held != nil && version <= held.Version {
		return false, nil
	}
	s, err := decode(version, content)
	var deltas []delta
	// Agents have no subscribers and need no deltas.
	if err == nil && held != nil && t.IsEntry {
		deltas = append(deltas, delta{
			Base: held.Version, Version: version, Sum: xxhash.Sum64(s.raw), Hunk: diff(held.raw, s.raw),
		})
	}
	return t.enter(version, s, deltas, source, err)
}

// takeDelta puts a version in force that came as the difference from the one known.
func (t *Tracker) takeDelta(push wire.ConfigPush) (accepted bool, err error) {
	t.decoding.Lock()
	defer t.decoding.Unlock()
	held := t.holds()
	if held == nil || push.Base != held.Version || push.Version <= held.Version {
		// Another version came in between. The next heartbeat makes the peer be asked again.
		return false, nil
	}
	raw, deltas, err := patchAll(held.raw, held.Version, push.Content, push.Version)
	if err != nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.spoiled, t.wanted = push.Version, 0
		event.Error(t.Log, err, event.ConfigInvalid, "version", push.Version, "source", "delta")
		return false, err
	}
	s, err := decodeRaw(push.Version, raw, nil)
	return t.enter(push.Version, s, deltas, "delta", err)
}

func (t *Tracker) holds() *Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held
}

// enter puts a decoded version in force if it is still higher, or notes that it is invalid.
func (t *Tracker) enter(version uint64, s *Snapshot, deltas []delta, source string, err error) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		if version > t.invalid {
			t.invalid = version
			event.Error(t.Log, err, event.ConfigInvalid, "version", version, "source", source)
		}
		return false, err
	}
	if t.held != nil && version <= t.held.Version {
		return false, nil
	}
	t.held = s
	if len(deltas) == 0 {
		t.deltas = nil
	}
	t.deltas = t.deltas.add(deltas...)
	t.confirmed = time.Time{}
	event.Info(t.Log, event.ConfigAccepted, "version", version, "source", source, "bytes", len(s.raw))
	if t.ready {
		t.signal()
	} else {
		t.checkReady()
	}
	return true, nil
}

// confirm notes that a version was current at the platform at a time.
func (t *Tracker) confirm(version uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held != nil && t.held.Version == version && at.After(t.confirmed) {
		t.confirmed = at
	}
}

// signal closes the channel of Changed. The lock is held.
func (t *Tracker) signal() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// checkReady puts the version held in force once enough is known. The lock is held.
func (t *Tracker) checkReady() {
	if t.ready || t.held == nil {
		return
	}
	source := "platform"
	if !t.answered {
		told := 0
		for _, version := range t.answers {
			if version <= t.held.Version {
				told++
			}
		}
		if need := t.bootstrapPeers(); !t.failed || need == 0 || told < need {
			return
		}
		source = "peers"
	}
	t.ready = true
	event.Info(t.Log, event.ConfigReady, "version", t.held.Version, "source", source)
	close(t.readyCh)
	t.signal()
}

// bootstrapPeers is the number of peers that must answer, 0 if there are none.
func (t *Tracker) bootstrapPeers() int {
	n := t.BootstrapPeers
	if n <= 0 {
		n = DefaultBootstrapPeers
	}
	return min(n, len(t.seeds()))
}

// seeds returns the distinct addresses of other entries from the settings.
func (t *Tracker) seeds() (addrs []netip.AddrPort) {
	seen := map[netip.AddrPort]bool{t.Address: true}
	for _, addr := range t.Peers {
		if !seen[addr] {
			seen[addr] = true
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// greeted notes the version in force at a peer. A peer without a version has no answer to give.
func (t *Tracker) greeted(name string, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ready || version == 0 || name == t.Name {
		return
	}
	t.answers[name] = version
	t.checkReady()
}
