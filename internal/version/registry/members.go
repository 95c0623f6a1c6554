package registry

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/bootclock"
	"primrosecourse/internal/process/platform"
	"primrosecourse/pkg/site"
)

// Member is the heartbeat object of a gateway. The gateways that are present share the limits of the endpoints.
type Member struct {
	Name string
	// Beat counts the heartbeats of the gateway.
	Beat uint64
	// Address is where the gateway receives the load reports of the others.
	Address       netip.AddrPort
	FailureDomain string
}

// followMembers lists the gateways periodically until ctx is done.
func (r *Registry) followMembers(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		changes, revision, err := r.Members.List(ctx)
		switch {
		case err == nil:
			r.applyMembers(changes, revision, began, time.Now())
		case ctx.Err() == nil:
			r.mu.Lock()
			r.membersFailedAt = time.Now()
			r.mu.Unlock()
		}
		sleep(ctx, membersListInterval*3/4+rand.N(membersListInterval/2))
	}
}

// applyMembers applies a list of the gateways, for which the call began at asked. A gateway counts as present while its object changes. A store that
// was restored from a copy may lack gateways until their next heartbeat, so those that are missing then stay for memberTimeout after they were
// last seen.
func (r *Registry) applyMembers(changes []Change[json.RawMessage], revision uint64, asked, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeMembersEra(revision, now)
	restored := !r.membersRestoredAt.IsZero() && now.Sub(r.membersRestoredAt) < memberTimeout
	r.membersListedAt, r.membersAskedAt = now, asked
	listed := map[string]bool{}
	for _, c := range changes {
		listed[c.Name] = true
		m := r.members[c.Name]
		if m.revision >= c.Revision {
			continue
		}
		var value Member
		err := json.Unmarshal(c.Value, &value)
		if r.unreadableMembers.observe(r.Log, "Member", c.Name, c.Revision, err); err != nil {
			continue
		}
		if !isHost(value.Address) {
			value.Address = netip.AddrPort{}
		}
		r.members[c.Name] = member{lastSeen: now, revision: c.Revision,
			gateway: site.Gateway{Address: value.Address, FailureDomain: value.FailureDomain}}
	}
	maps.DeleteFunc(r.unreadableMembers, func(name string, _ bool) bool { return !listed[name] })
	for name, m := range r.members {
		if !listed[name] && !(restored && now.Sub(m.lastSeen) <= memberTimeout) {
			delete(r.members, name)
		}
	}
	r.updateAbsent(listed, now)
	r.updateGateways(now)
}

// observeMembersEra records whether the revision of a list of the gateways shows that the store was restored. The caller must hold mu.
func (r *Registry) observeMembersEra(revision uint64, now time.Time) {
	if !r.membersListedAt.IsZero() && Era(revision) > r.membersEra {
		r.membersRestoredAt = now
	}
	r.membersEra = max(r.membersEra, Era(revision))
}

// isHost reports whether an address is that of a single host, with a port.
func isHost(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

// member is the last known state of a gateway. Registry.members also contains this gateway.
type member struct {
	// lastSeen is when its object was last seen to change.
	lastSeen time.Time
	gateway  site.Gateway
	revision uint64
}

// isPresent reports whether the gateway shares the limits of endpoints: its object changed recently, or listing the gateways
// failed at listFailed, too recently to conclude anything from the lack of a change.
func (m member) isPresent(now, listFailed time.Time) bool {
	return now.Sub(m.lastSeen) <= memberTimeout || now.Sub(listFailed) < memberTimeout
}

// Peers returns the other gateways that are present and have an address, sorted by address. The result must not be modified.
func (r *Registry) Peers() []site.Gateway {
	r.init()
	if peers := r.peers.Load(); peers != nil {
		return *peers
	}
	return nil
}

// KnowsPeers reports whether Peers returns all other gateways that were present when they were last listed: they were, and each has an address.
func (r *Registry) KnowsPeers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for name, m := range r.members {
		if name != r.Name && m.isPresent(now, r.membersFailedAt) && !m.gateway.Address.IsValid() {
			return false
		}
	}
	return !r.membersListedAt.IsZero()
}

// OtherGateways returns the names of the other gateways that are present. ok is false if the
// gateways were never listed or the last successful list is older than three list intervals.
func (r *Registry) OtherGateways() (names []string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.membersListedAt.IsZero() || now.Sub(r.membersListedAt) > 3*membersListInterval {
		return nil, false
	}
	for name, m := range r.members {
		if name != r.Name && m.isPresent(now, r.membersFailedAt) {
			names = append(names, name)
		}
	}
	return names, true
}

// IsLeader reports whether this gateway is the leader of a name: the first in the rendezvous-hash order of the gateways that
// are present.
func (r *Registry) IsLeader(name string) bool { return r.Rank(name) == 0 }

// Leaders returns the addresses of gateways that read something in place of this one, of those present with an address, in the
// rendezvous-hash order for a name. Of all gateways about n read. If that allows one for each failure domain, the readers of this
// gateway's own domain are returned, so that what they pass on stays within it. If this gateway is a reader itself, it returns no addresses
// and self is true.
func (r *Registry) Leaders(name string, n int) (addresses []netip.Addr, self bool) {
	perDomain := n / r.domainCount()
	if perDomain == 0 {
		return r.leaders(name, n, "")
	}
	return r.leaders(name, perDomain, r.FailureDomain)
}

// domainCount returns the number of failure domains with a gateway that is present.
func (r *Registry) domainCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	domains := map[string]bool{r.FailureDomain: true}
	for name, m := range r.members {
		if name != r.Name && m.isPresent(now, r.membersFailedAt) {
			domains[m.gateway.FailureDomain] = true
		}
	}
	return len(domains)
}

// DomainLeaders returns the addresses of the first n gateways of this gateway's failure domain, of those present with an address, in the
// rendezvous-hash order for a name, without this gateway. If this gateway is among them, only those before it are returned.
func (r *Registry) DomainLeaders(name string, n int) (addresses []netip.Addr) {
	return r.before(name, n, r.FailureDomain)
}

// OtherLeaders returns the addresses of the first n of all other gateways, of those present with an address, in the rendezvous-hash order
// for a name.
func (r *Registry) OtherLeaders(name string, n int) (addresses []netip.Addr) {
	return r.inOrder(name, n, "", 0)
}

// leaders returns the first n gateways of a failure domain, or of all if domain is empty, or self if this gateway is among them.
func (r *Registry) leaders(name string, n int, domain string) (addresses []netip.Addr, self bool) {
	if addresses = r.before(name, n, domain); len(addresses) < n {
		return nil, true
	}
	return addresses, false
}

// before returns the addresses of at most n gateways of a failure domain, or of all if domain is empty, that come before this one in the
// rendezvous-hash order for a name, the first one first.
func (r *Registry) before(name string, n int, domain string) (addresses []netip.Addr) {
	return r.inOrder(name, n, domain, xxhash.Sum64String(r.Name+"\n"+name))
}

// inOrder is before for those whose hash is above the given one.
func (r *Registry) inOrder(name string, n int, domain string, above uint64) (addresses []netip.Addr) {
	type leader struct {
		hash    uint64
		address netip.Addr
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var candidates []leader
	for other, m := range r.members {
		h := xxhash.Sum64String(other + "\n" + name)
		if other != r.Name && h > above && (domain == "" || m.gateway.FailureDomain == domain) && m.gateway.Address.IsValid() &&
			m.isPresent(now, r.membersFailedAt) {
			candidates = append(candidates, leader{h, m.gateway.Address.Addr()})
		}
	}
	slices.SortFunc(candidates, func(a, b leader) int { return cmp.Compare(b.hash, a.hash) })
	for _, l := range candidates[:min(n, len(candidates))] {
		addresses = append(addresses, l.address)
	}
	return addresses
}

// Rank returns the number of gateways present that precede this one in the rendezvous-hash order for a name.
func (r *Registry) Rank(name string) (rank int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	own, now := xxhash.Sum64String(r.Name+"\n"+name), time.Now()
	for other, m := range r.members {
		if h := xxhash.Sum64String(other + "\n" + name); other != r.Name && h > own && m.isPresent(now, r.membersFailedAt) {
			rank++
		}
	}
	return rank
}

// updateGateways derives the peers and the number of gateways from the members. The caller must hold mu.
func (r *Registry) updateGateways(now time.Time) {
	n := 1
	var peers []site.Gateway
	for name, m := range r.members {
		if name == r.Name || !m.isPresent(now, r.membersFailedAt) {
			continue
		}
		n++
		if m.gateway.Address.IsValid() {
			peers = append(peers, m.gateway)
		}
	}
	slices.SortFunc(peers, func(a, b site.Gateway) int { return a.Address.Compare(b.Address) })
	r.peers.Store(&peers)
	if r.Builds != nil {
		r.Builds.SetPresent(r.membersAskedAt, now, func(name string) bool { return r.members[name].isPresent(now, r.membersFailedAt) })
	}
	if n != r.next.Gateways {
		event.Info(r.Log, event.GatewaysCounted, "gateways", n, "before", r.next.Gateways)
		r.next.Gateways = n
		r.publish()
	}
}

// heartbeat writes the Member object of this gateway periodically, so that the others count it in sharing the limits of
// endpoints, and deletes obsolete objects. It deletes the object of this gateway when ctx is done.
func (r *Registry) heartbeat(ctx context.Context) {
	var revision uint64
	for n := uint64(1); ctx.Err() == nil; n++ {
		began := bootclock.Now()
		next, err := r.putMember(ctx, r.Name, revision, Member{Name: r.Name, Beat: n, Address: r.LoadAddress,
			FailureDomain: r.FailureDomain})
		if err == nil {
			revision = next
			r.extendPresence(began)
		}
		r.deleteObsolete(ctx, time.Now())
		delay := heartbeatInterval*3/4 + rand.N(heartbeatInterval/2)
		if err != nil {
			revision = 0
			delay /= 3
		}
		r.awaitHeartbeat(ctx, delay)
	}
	r.presence.end()
	// A planned stop returns this gateway's share of the limits to the others. The timeout limits how long an outage of the
	// store can delay the stop, of which little time may be left.
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if err := r.Members.Delete(ctx, r.Name, revision); err != nil {
		event.Info(r.Log, event.StoreWriteFailed, "name", r.Name, "reason", err.Error())
	}
}

// awaitHeartbeat waits for delay, or for a random part of restoredSpread after the store was restored.
func (r *Registry) awaitHeartbeat(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.restored:
		sleep(ctx, rand.N(restoredSpread))
	}
}

// putMember writes the object of this gateway. After a conflict it retries once with the revision in the store. If
// the store has no such object, it creates one.
func (r *Registry) putMember(ctx context.Context, name string, revision uint64, value any) (next uint64, err error) {
	next, err = r.Members.Put(ctx, name, revision, value)
	if errors.Is(err, platform.ErrConflict) {
		if _, revision, err = r.Members.Get(ctx, name); err == nil {
			next, err = r.Members.Put(ctx, name, revision, value)
		}
	}
	if errors.Is(err, platform.ErrNotFound) {
		next, err = r.Members.Put(ctx, name, 0, value)
	}
	if err != nil && ctx.Err() == nil {
		event.Info(r.Log, event.StoreWriteFailed, "name", name, "reason", err.Error())
	}
	return next, err
}
