package registry

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/platform"
	"primrosecourse/pkg/site"
)

// Member is the object by which a gateway shows that it shares the limits of endpoints.
type Member struct {
	Name string
	Beat uint64
	// Address is where the gateway takes the loads of others.
	Address       netip.AddrPort
	FailureDomain string
}

// followMembers lists the gateways from time to time until ctx is done.
func (r *Registry) followMembers(ctx context.Context) {
	for ctx.Err() == nil {
		changes, _, err := r.Members.List(ctx)
		switch {
		case err == nil:
			r.applyMembers(changes, time.Now())
		case ctx.Err() == nil:
			r.mu.Lock()
			r.membersTrouble = time.Now()
			r.mu.Unlock()
		}
		sleep(ctx, membersPeriod*3/4+rand.N(membersPeriod/2))
	}
}

// applyMembers takes a list of the gateways. One counts while its object changes.
func (r *Registry) applyMembers(changes []Change[json.RawMessage], now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.membersListed = now
	listed := map[string]bool{}
	for _, c := range changes {
		listed[c.Name] = true
		m := r.members[c.Name]
		if m.revision >= c.Revision {
			continue
		}
		var value Member
		if err := json.Unmarshal(c.Value, &value); err != nil {
			event.Info(r.Log, event.ObjectUnreadable, "kind", "Member", "name", c.Name, "reason", err.Error())
			continue
		}
		r.members[c.Name] = member{seen: now, revision: c.Revision,
			gateway: site.Gateway{Address: value.Address, FailureDomain: value.FailureDomain}}
	}
	for name := range r.members {
		if !listed[name] {
			delete(r.members, name)
		}
	}
	r.expireMembers(now)
}

// member is another gateway, or this one.
type member struct {
	seen     time.Time
	gateway  site.Gateway
	revision uint64
}

// counts reports whether the gateway shares limits. While the store cannot tell, all do that did before.
func (m member) counts(now, trouble time.Time) bool {
	return now.Sub(m.seen) <= memberTime || now.Sub(trouble) < memberTime
}

// Peers returns the other gateways. The result must not be changed.
func (r *Registry) Peers() []site.Gateway {
	r.init()
	if peers := r.peers.Load(); peers != nil {
		return *peers
	}
	return nil
}

// Others returns the names of the other gateways, false if they were not listed of late.
func (r *Registry) Others() (names []string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.membersListed.IsZero() || now.Sub(r.membersListed) > 3*membersPeriod {
		return nil, false
	}
	for name, m := range r.members {
		if name != r.Name && m.counts(now, r.membersTrouble) {
			names = append(names, name)
		}
	}
	return names, true
}

// First reports whether this gateway comes first of all in the order of a name, which differs from name to name.
func (r *Registry) First(name string) bool { return r.Rank(name) == 0 }

// Leaders returns the addresses of the first n gateways in the order of a name, and whether this one is among them.
func (r *Registry) Leaders(name string, n int) (addresses []netip.Addr, self bool) {
	if r.Rank(name) < n {
		return nil, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	type leader struct {
		hash    uint64
		address netip.Addr
	}
	var list []leader
	now := time.Now()
	for other, m := range r.members {
		if other != r.Name && m.gateway.Address.IsValid() && m.counts(now, r.membersTrouble) {
			list = append(list, leader{xxhash.Sum64String(other + "\n" + name), m.gateway.Address.Addr()})
		}
	}
	slices.SortFunc(list, func(a, b leader) int { return cmp.Compare(b.hash, a.hash) })
	for _, l := range list[:min(n, len(list))] {
		addresses = append(addresses, l.address)
	}
	return addresses, false
}

// Rank returns the number of gateways that come before this one in the order of a name.
func (r *Registry) Rank(name string) (rank int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	own, now := xxhash.Sum64String(r.Name+"\n"+name), time.Now()
	for other, m := range r.members {
		if h := xxhash.Sum64String(other + "\n" + name); other != r.Name && h > own && m.counts(now, r.membersTrouble) {
			rank++
		}
	}
	return rank
}

// expireMembers counts the gateways that share limits. The caller holds mu.
func (r *Registry) expireMembers(now time.Time) {
	n := 1
	var peers []site.Gateway
	for name, m := range r.members {
		if name == r.Name || !m.counts(now, r.membersTrouble) {
			continue
		}
		n++
		if m.gateway.Address.IsValid() {
			peers = append(peers, m.gateway)
		}
	}
	slices.SortFunc(peers, func(a, b site.Gateway) int { return a.Address.Compare(b.Address) })
	r.peers.Store(&peers)
	if n != r.next.Gateways {
		event.Info(r.Log, event.GatewaysCounted, "gateways", n, "before", r.next.Gateways)
		r.next.Gateways = n
		r.publish()
	}
}

// beat shows the other gateways that this one shares the limits of endpoints.
func (r *Registry) beat(ctx context.Context) {
	var revision uint64
	for n := uint64(1); ctx.Err() == nil; n++ {
		next, err := r.write(ctx, r.Name, revision, Member{Name: r.Name, Beat: n, Address: r.LoadAddress,
			FailureDomain: r.FailureDomain})
		if err == nil {
			revision = next
		}
		r.tidy(ctx, time.Now())
		pause := beatTime*3/4 + rand.N(beatTime/2)
		if err != nil {
			revision = 0
			pause /= 3
		}
		sleep(ctx, pause)
	}
	// A planned stop gives the share of this gateway back; the bound keeps an outage of the store from holding it up.
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := r.Members.Delete(ctx, r.Name, revision); err != nil {
		event.Info(r.Log, event.StoreWriteFailed, "name", r.Name, "reason", err.Error())
	}
}

// write puts the object of this gateway. After a conflict it takes the revision that the store has.
func (r *Registry) write(ctx context.Context, name string, revision uint64, value any) (next uint64, err error) {
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
