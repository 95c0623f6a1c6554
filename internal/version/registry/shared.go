package registry

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/platform"
	"primrosecourse/pkg/site"
)

// The names of shared objects begin with what they are.
const (
	markPrefix   = "Mark."
	updatingName = "Updating"
)

const (
	// beatTime is the time between two signs of a gateway, memberTime how long it counts after the last one.
	beatTime   = 10 * time.Second
	memberTime = 32 * time.Second
	// membersPeriod is the time between two lists of the gateways. A watch would wake each gateway with each sign of another.
	membersPeriod = 4 * time.Second
	// forgetTime is how long the object of a silent gateway is kept, markTime how long a mark is.
	forgetTime = time.Minute
	markTime   = 15 * time.Minute
)

// Member is the object by which a gateway shows that it shares the limits of endpoints.
type Member struct {
	Name string
	Beat uint64
	// Address is where the gateway takes the loads of others.
	Address       netip.AddrPort
	FailureDomain string
}

// Mark is the object of a request that crashed endpoints.
type Mark struct {
	// Endpoints lists the endpoints that crashed while it ran there.
	Endpoints []string
}

// Lease is the object that says which gateway gives orders to endpoints.
type Lease struct {
	// Holder is empty while nobody needs the lease; Last is who held it last.
	Holder string
	Last   string
	// Token rises with each change of holder.
	Token uint64
	// Renewal changes with each renewal.
	Renewal uint64
	// Ordered are the endpoints that got an order within the lease time, or may get one.
	Ordered []string
}

// Updating is the object that names the endpoints that are about to change their weights. It is apart from the lease, since
// all gateways watch it and the lease changes often.
type Updating struct {
	// Token is that of the holder who wrote it; an object with a lower one than seen before is ignored.
	Token     uint64
	Endpoints []string
}

// UpdatingName is the name of the object that names the endpoints about to change.
func UpdatingName() string { return updatingName }

func (r *Registry) applyShared(changes []Change[json.RawMessage]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, c := range changes {
		r.touched[c.Name] = touch{at: now, revision: c.Revision}
		if c.Removed {
			delete(r.touched, c.Name)
		}
		var err error
		switch {
		case strings.HasPrefix(c.Name, markPrefix):
			err = r.applyMark(c)
		case c.Name == updatingName:
			err = r.applyUpdating(c)
		}
		if err != nil {
			event.Info(r.Log, event.ObjectUnreadable, "kind", "Shared", "name", c.Name, "reason", err.Error())
		}
	}
	if len(changes) > 0 {
		r.publish()
	}
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

func (r *Registry) applyMark(c Change[json.RawMessage]) error {
	fingerprint, err := strconv.ParseUint(strings.TrimPrefix(c.Name, markPrefix), 16, 64)
	if err != nil {
		return err
	}
	marks := maps.Clone(r.next.Marks)
	delete(marks, fingerprint)
	if !c.Removed {
		var m Mark
		if err := json.Unmarshal(c.Value, &m); err != nil {
			return err
		}
		marks[fingerprint] = m.Endpoints
	}
	r.next.Marks = marks
	return nil
}

func (r *Registry) applyUpdating(c Change[json.RawMessage]) error {
	var u Updating
	if !c.Removed {
		if err := json.Unmarshal(c.Value, &u); err != nil {
			return err
		}
	}
	if u.Token < r.updatingToken {
		return nil
	}
	r.updatingToken = u.Token
	updating := make(map[string]bool, len(u.Endpoints))
	for _, id := range u.Endpoints {
		updating[id] = true
	}
	r.next.Updating, r.next.UpdatingAt = updating, time.Now()
	return nil
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

// crashTries bounds the writes of one mark: several gateways may write it at once.
const crashTries = 4

// Crashed records that a request crashed an endpoint, for all gateways.
func (r *Registry) Crashed(ctx context.Context, fingerprint uint64, endpoint string) (err error) {
	defer func() { err = errors.Wrapf(err, "mark of request %016x", fingerprint) }()
	name := fmt.Sprintf("%s%016x", markPrefix, fingerprint)
	for range crashTries {
		var m Mark
		value, revision, getErr := r.Shared.Get(ctx, name)
		switch {
		case errors.Is(getErr, platform.ErrNotFound):
		case getErr != nil:
			return getErr
		default:
			if err := json.Unmarshal(value, &m); err != nil {
				return err
			}
		}
		if slices.Contains(m.Endpoints, endpoint) {
			return nil
		}
		m.Endpoints = append(m.Endpoints, endpoint)
		if _, err = r.Shared.Put(ctx, name, revision, m); !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return err
}

// touch is when this gateway saw an object change, and to which revision.
type touch struct {
	at       time.Time
	revision uint64
}

// tidy deletes objects that nobody needs any more, since the store keeps everything. The first gateway in an object's order
// does it.
func (r *Registry) tidy(ctx context.Context, now time.Time) {
	members, marks := r.outdated(now)
	r.deleteAll(ctx, r.Members, members)
	r.deleteAll(ctx, r.Shared, marks)
}

func (r *Registry) deleteAll(ctx context.Context, objects Objects, old map[string]uint64) {
	for name, revision := range old {
		if !r.First(name) {
			continue
		}
		if err := objects.Delete(ctx, name, revision); err != nil && ctx.Err() == nil {
			event.Info(r.Log, event.StoreWriteFailed, "name", name, "reason", err.Error())
		}
	}
}

// outdated returns silent gateways and old marks with their revisions.
func (r *Registry) outdated(now time.Time) (members, marks map[string]uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	members, marks = map[string]uint64{}, map[string]uint64{}
	if now.Sub(r.shared.lastTrouble()) < forgetTime || now.Sub(r.membersTrouble) < forgetTime {
		return members, marks
	}
	for name, m := range r.members {
		if name != r.Name && now.Sub(m.seen) > forgetTime {
			members[name] = m.revision
		}
	}
	for name, t := range r.touched {
		if strings.HasPrefix(name, markPrefix) && now.Sub(t.at) > markTime {
			marks[name] = t.revision
		}
	}
	return members, marks
}
