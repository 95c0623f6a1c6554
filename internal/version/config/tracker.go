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

// DefaultBootstrapPeers is the default number of peers that must report a version before a Tracker becomes ready
// without the platform.
const DefaultBootstrapPeers = 2

// Platform is the part of the platform's API that a Tracker uses.
type Platform interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]platform.Event, uint64, error)
}

// Tracker tracks the configuration in force. Set the exported fields before Run. The platform and the peers are followed
// only while Run is running. The methods are safe for concurrent use, also before Run.
type Tracker struct {
	// Name, FailureDomain and Incarnation identify the process to its peers. A zero Incarnation is replaced by a random
	// one.
	Name          string
	FailureDomain string
	Incarnation   uint64
	Platform      Platform
	// Peers are the peer addresses of entries from the settings of the process. They are used until a configuration
	// provides others. Address is the process's own peer address, if it has one; it is ignored in Peers.
	Peers   []netip.AddrPort
	Address netip.AddrPort
	// IsEntry is true in entries, which may watch the platform for their failure domain.
	IsEntry bool
	// BootstrapPeers is the number of peers that must report a version before the Tracker becomes ready while the
	// platform is unavailable. Default DefaultBootstrapPeers; at most the number of distinct other addresses in Peers.
	BootstrapPeers int
	// Marks relays the fingerprints of requests that crashed endpoints over the subscriptions. Optional.
	Marks *peer.Relay
	Log   logr.Logger
	// Dial connects to peers. Default peer.Dial.
	Dial func(context.Context, netip.AddrPort) (net.Conn, error)

	initOnce sync.Once
	readyCh  chan struct{}

	// decodeMu is locked while a version is decoded, which takes 60 ms at full size. The same version arrives by push,
	// by watch and as a delta at almost the same time; with the lock only the first copy is decoded. Lock decodeMu before
	// mu; mu stays unlocked for readers during decoding.
	decodeMu sync.Mutex

	mu sync.Mutex
	// latest is the highest valid version known. It is in force once the tracker is ready.
	latest *Snapshot
	// deltas is the chain of deltas that ends at latest.
	deltas    chain
	ready     bool
	changedCh chan struct{}
	// confirmedAt is when the platform last confirmed that latest is current, zero if never.
	confirmedAt time.Time
	// invalidVersion is the highest version received whose content was invalid.
	invalidVersion uint64
	// failedDeltaVersion is the version of the last delta that could not be applied. Its whole content is requested.
	failedDeltaVersion uint64
	// requestedVersion is the version that was last requested from a peer, at requestedAt.
	requestedVersion uint64
	requestedAt      time.Time
	// heartbeatAt is when a peer last sent a push with a version other than 0; at first it is the start of Run.
	heartbeatAt time.Time
	// platformResponded and platformFailed report whether any bootstrap read of the platform succeeded and whether any
	// failed. A missing configuration object counts as success.
	platformResponded bool
	platformFailed    bool
	// peerVersions maps the name of each peer to the version in force that it reported in its hello during bootstrap.
	peerVersions map[string]uint64

	peers peerPool
}

func (t *Tracker) init() {
	t.initOnce.Do(func() {
		t.readyCh = make(chan struct{})
		t.changedCh = make(chan struct{})
		t.peerVersions = map[string]uint64{}
	})
}

// Run keeps the configuration up to date until ctx is done. It returns after all its goroutines have ended.
func (t *Tracker) Run(ctx context.Context) error {
	t.init()
	if t.Platform == nil {
		return errors.New("config: Platform is not set")
	}
	if t.Incarnation == 0 {
		t.Incarnation = rand.Uint64()
	}
	t.mu.Lock()
	t.heartbeatAt = time.Now()
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
	return t.latest
}

// Version returns the number of the version in force, 0 until the tracker is ready.
func (t *Tracker) Version() uint64 {
	if s := t.Current(); s != nil {
		return s.Version
	}
	return 0
}

// Ready returns a channel that is closed as soon as a configuration is in force.
func (t *Tracker) Ready() <-chan struct{} {
	t.init()
	return t.readyCh
}

// Changed returns a channel that is closed when the version in force next changes. Call Changed before Current, so that
// no change is missed in between.
func (t *Tracker) Changed() <-chan struct{} {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changedCh
}

// Push returns the version in force with its whole content, or a push with Version 0 until the tracker is ready.
func (t *Tracker) Push() wire.ConfigPush {
	push, s := t.pushHeader()
	if s != nil {
		push.Content = s.stored()
	}
	return push
}

// PushSince returns the version in force for a peer that has an older version. The content is the delta from that
// version if available, and the whole content otherwise.
func (t *Tracker) PushSince(version uint64) wire.ConfigPush {
	push, s := t.pushHeader()
	if s == nil {
		return push
	}
	t.mu.Lock()
	content := []byte(nil)
	if t.latest == s && version > 0 {
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

// DeltaBase returns the base version to name in a request for a version: the latest known one, so that the peer can send a
// delta, or 0 to request the whole content.
func (t *Tracker) DeltaBase(version uint64) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latest == nil || version == t.failedDeltaVersion {
		return 0
	}
	return t.latest.Version
}

// Heartbeat returns the version in force without its content.
func (t *Tracker) Heartbeat() wire.ConfigPush {
	push, _ := t.pushHeader()
	return push
}

// pushHeader returns a push of the version in force without content, and the snapshot. Until the tracker is ready it
// returns an empty push and nil.
func (t *Tracker) pushHeader() (wire.ConfigPush, *Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ready {
		return wire.ConfigPush{}, nil
	}
	push := wire.ConfigPush{Version: t.latest.Version, ConfirmedAgo: neverConfirmed}
	if !t.confirmedAt.IsZero() {
		push.ConfirmedAgo = time.Since(t.confirmedAt)
	}
	return push, t.latest
}

// neverConfirmed is the ConfirmedAgo of a version that the platform has confirmed neither to this process nor to the
// peers that it received the version from.
const neverConfirmed = time.Duration(1<<63 - 1)

// Offer applies a push if its version is higher than the latest one and its content is valid. A push without content is
// never accepted but may confirm the latest version. A delta from a version other than the latest one is ignored. The
// error is the reason why the content is invalid.
func (t *Tracker) Offer(push wire.ConfigPush) (accepted bool, err error) {
	t.init()
	switch {
	case len(push.Content) == 0:
	case push.Base > 0:
		accepted, err = t.applyDelta(push)
	default:
		accepted, err = t.applyContent(push.Version, push.Content, "push")
	}
	if err != nil {
		return false, err
	}
	if push.ConfirmedAgo >= 0 && push.ConfirmedAgo < neverConfirmed {
		t.confirm(push.Version, time.Now().Add(-push.ConfirmedAgo))
	}
	return accepted, nil
}

// requestRetryInterval is the time after which a version that was requested but not received is requested again.
const requestRetryInterval = 500 * time.Millisecond

// StartFetch reports whether the content of a version should be requested now: the version is higher than the latest one, not
// known to be invalid, and neither it nor a higher version was requested within requestRetryInterval. If so, the request is
// recorded.
func (t *Tracker) StartFetch(version uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latest != nil && version <= t.latest.Version || version == t.invalidVersion {
		return false
	}
	if version <= t.requestedVersion && time.Since(t.requestedAt) < requestRetryInterval {
		return false
	}
	t.requestedVersion, t.requestedAt = version, time.Now()
	return version > 0
}

// applyContent decodes the whole content of a version and installs it if it is higher than the latest one.
func (t *Tracker) applyContent(version uint64, content []byte, source string) (accepted bool, err error) {
	t.decodeMu.Lock()
	defer t.decodeMu.Unlock()
	latest := t.latestSnapshot()
	if latest != nil && version <= latest.Version {
		return false, nil
	}
	s, err := decode(version, content)
	var deltas []delta
	// Agents have no subscribers and therefore need no deltas.
	if err == nil && latest != nil && t.IsEntry {
		deltas = append(deltas, delta{
			Base: latest.Version, Version: version, Sum: xxhash.Sum64(s.raw), Hunk: diff(latest.raw, s.raw),
		})
	}
	return t.install(version, s, deltas, source, err)
}

// applyDelta installs a version received as a delta from the latest one.
func (t *Tracker) applyDelta(push wire.ConfigPush) (accepted bool, err error) {
	t.decodeMu.Lock()
	defer t.decodeMu.Unlock()
	latest := t.latestSnapshot()
	if latest == nil || push.Base != latest.Version || push.Version <= latest.Version {
		// Another version arrived in the meantime. The next heartbeat triggers a new request to the peer.
		return false, nil
	}
	raw, deltas, err := applyDeltas(latest.raw, latest.Version, push.Content, push.Version)
	if err != nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.failedDeltaVersion, t.requestedVersion = push.Version, 0
		event.Error(t.Log, err, event.ConfigInvalid, "version", push.Version, "source", "delta")
		return false, err
	}
	s, err := decodeJSON(push.Version, raw, nil)
	return t.install(push.Version, s, deltas, "delta", err)
}

// latestSnapshot returns the latest version, whether or not it is in force yet.
func (t *Tracker) latestSnapshot() *Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest
}

// install makes a decoded version the latest one if it is still higher. If err is not nil, it records the version as
// invalid and returns err.
func (t *Tracker) install(version uint64, s *Snapshot, deltas []delta, source string, err error) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		if version > t.invalidVersion {
			t.invalidVersion = version
			event.Error(t.Log, err, event.ConfigInvalid, "version", version, "source", source)
		}
		return false, err
	}
	if t.latest != nil && version <= t.latest.Version {
		return false, nil
	}
	t.latest = s
	if len(deltas) == 0 {
		t.deltas = nil
	}
	t.deltas = t.deltas.add(deltas...)
	t.confirmedAt = time.Time{}
	event.Info(t.Log, event.ConfigAccepted, "version", version, "source", source, "bytes", len(s.raw))
	if t.ready {
		t.notifyChanged()
	} else {
		t.checkReady()
	}
	return true, nil
}

// confirm records that a version was current at the platform at the given time.
func (t *Tracker) confirm(version uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latest != nil && t.latest.Version == version && at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
}

// notifyChanged closes the channel returned by Changed and replaces it. The caller must hold mu.
func (t *Tracker) notifyChanged() {
	close(t.changedCh)
	t.changedCh = make(chan struct{})
}

// checkReady puts the latest version in force once the platform has responded or, if it failed, once enough peers have
// reported a version that is not higher. The caller must hold mu.
func (t *Tracker) checkReady() {
	if t.ready || t.latest == nil {
		return
	}
	source := "platform"
	if !t.platformResponded {
		confirming := 0
		for _, version := range t.peerVersions {
			if version <= t.latest.Version {
				confirming++
			}
		}
		if required := t.bootstrapPeers(); !t.platformFailed || required == 0 || confirming < required {
			return
		}
		source = "peers"
	}
	t.ready = true
	event.Info(t.Log, event.ConfigReady, "version", t.latest.Version, "source", source)
	close(t.readyCh)
	t.notifyChanged()
}

// bootstrapPeers returns the number of peers that must report a version, 0 if there are no peers.
func (t *Tracker) bootstrapPeers() int {
	n := t.BootstrapPeers
	if n <= 0 {
		n = DefaultBootstrapPeers
	}
	return min(n, len(t.seeds()))
}

// seeds returns the distinct addresses in Peers other than the process's own.
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

// recordPeerVersion records the version in force at a peer during bootstrap. Peers without a version are ignored.
func (t *Tracker) recordPeerVersion(name string, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ready || version == 0 || name == t.Name {
		return
	}
	t.peerVersions[name] = version
	t.checkReady()
}
