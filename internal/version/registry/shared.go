package registry

import (
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
)

// The names of shared objects begin with what they are.
const (
	memberPrefix = "Gateway."
	markPrefix   = "Mark."
	leaseName    = "Lease.Orders"
)

const (
	// beatTime is the time between two signs of a gateway, memberTime how long it counts after the last one.
	beatTime   = 6 * time.Second
	memberTime = 20 * time.Second
	// forgetTime is how long the object of a silent gateway is kept, markTime how long a mark is.
	forgetTime = time.Minute
	markTime   = 15 * time.Minute
)

// Member is the object by which a gateway shows that it shares the limits of endpoints.
type Member struct {
	Name string
	Beat uint64
	// Address is where the gateway takes the loads of others.
	Address netip.AddrPort
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
	// Updating are the endpoints that are about to change their weights, Ordered those that got an order within the lease
	// time, or may get one.
	Updating []string
	Ordered  []string
}

// CurrentLease returns the lease as last seen, and when it last changed.
func (r *Registry) CurrentLease() (lease Lease, changed time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease, r.leaseAt
}

// LeaseName is the name of the lease object.
func LeaseName() string { return leaseName }

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
		case strings.HasPrefix(c.Name, memberPrefix):
			err = r.applyMember(c, now)
		case strings.HasPrefix(c.Name, markPrefix):
			err = r.applyMark(c)
		case c.Name == leaseName:
			err = r.applyLease(c, now)
		}
		if err != nil {
			event.Info(r.Log, event.ObjectUnreadable, "kind", "Shared", "name", c.Name, "reason", err.Error())
		}
	}
	if len(changes) > 0 {
		r.publish()
	}
}

func (r *Registry) applyMember(c Change[json.RawMessage], now time.Time) error {
	name := strings.TrimPrefix(c.Name, memberPrefix)
	delete(r.members, name)
	defer r.countMembers()
	if c.Removed {
		return nil
	}
	var m Member
	if err := json.Unmarshal(c.Value, &m); err != nil {
		return err
	}
	r.members[name] = member{seen: now, address: m.Address}
	return nil
}

// member is another gateway, or this one.
type member struct {
	seen    time.Time
	address netip.AddrPort
}

// Peers returns the addresses of the other gateways. The result must not be changed.
func (r *Registry) Peers() []netip.AddrPort {
	r.init()
	if peers := r.peers.Load(); peers != nil {
		return *peers
	}
	return nil
}

// publishPeers makes the members that take loads the current peers. The caller holds mu.
func (r *Registry) publishPeers() {
	var peers []netip.AddrPort
	for name, m := range r.members {
		if name != r.Name && m.address.IsValid() {
			peers = append(peers, m.address)
		}
	}
	slices.SortFunc(peers, netip.AddrPort.Compare)
	r.peers.Store(&peers)
}

// First reports whether this gateway comes first of all in the order of a name, which differs from name to name.
func (r *Registry) First(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := xxhash.Sum64String(r.Name + "\n" + name)
	for member := range r.members {
		if h := xxhash.Sum64String(member + "\n" + name); member != r.Name && h > own {
			return false
		}
	}
	return true
}

func (r *Registry) countMembers() {
	r.publishPeers()
	n := len(r.members)
	if _, listed := r.members[r.Name]; !listed {
		n++
	}
	if n != r.next.Gateways {
		event.Info(r.Log, event.GatewaysCounted, "gateways", n, "before", r.next.Gateways)
		r.next.Gateways = n
	}
}

// expireMembers drops gateways that fell silent while the store could tell of them.
func (r *Registry) expireMembers(now time.Time) {
	if now.Sub(r.shared.lastTrouble()) < memberTime {
		return
	}
	before := r.next.Gateways
	for name, m := range r.members {
		if name != r.Name && now.Sub(m.seen) > memberTime {
			delete(r.members, name)
		}
	}
	r.countMembers()
	if r.next.Gateways != before {
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

func (r *Registry) applyLease(c Change[json.RawMessage], now time.Time) error {
	var lease Lease
	if !c.Removed {
		if err := json.Unmarshal(c.Value, &lease); err != nil {
			return err
		}
	}
	r.lease, r.leaseAt = lease, now
	updating := make(map[string]bool, len(lease.Updating))
	for _, id := range lease.Updating {
		updating[id] = true
	}
	r.next.Updating = updating
	return nil
}

// beat shows the other gateways that this one shares the limits of endpoints.
func (r *Registry) beat(ctx context.Context) {
	name := memberPrefix + r.Name
	var revision uint64
	for n := uint64(1); ctx.Err() == nil; n++ {
		next, err := r.write(ctx, name, revision, Member{Name: r.Name, Beat: n, Address: r.LoadAddress})
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
	if err := r.Shared.Delete(ctx, name, revision); err != nil {
		event.Info(r.Log, event.StoreWriteFailed, "name", name, "reason", err.Error())
	}
}

// write puts an object that only this gateway writes. After a conflict it takes the revision that the store has.
func (r *Registry) write(ctx context.Context, name string, revision uint64, value any) (next uint64, err error) {
	next, err = r.Shared.Put(ctx, name, revision, value)
	if errors.Is(err, ErrConflict) {
		if _, revision, err = r.Shared.Get(ctx, name); err == nil {
			next, err = r.Shared.Put(ctx, name, revision, value)
		}
	}
	if errors.Is(err, ErrNotFound) {
		next, err = r.Shared.Put(ctx, name, 0, value)
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
		case errors.Is(getErr, ErrNotFound):
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
		if _, err = r.Shared.Put(ctx, name, revision, m); !errors.Is(err, ErrConflict) {
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
	for name, t := range r.outdated(now) {
		if !r.First(name) {
			continue
		}
		if err := r.Shared.Delete(ctx, name, t.revision); err != nil && ctx.Err() == nil {
			event.Info(r.Log, event.StoreWriteFailed, "name", name, "reason", err.Error())
		}
	}
}

func (r *Registry) outdated(now time.Time) map[string]touch {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := map[string]touch{}
	if now.Sub(r.shared.lastTrouble()) < forgetTime {
		return old
	}
	for name, t := range r.touched {
		member := strings.HasPrefix(name, memberPrefix) && name != memberPrefix+r.Name
		mark := strings.HasPrefix(name, markPrefix)
		if (member && now.Sub(t.at) > forgetTime) || (mark && now.Sub(t.at) > markTime) {
			old[name] = t
		}
	}
	return old
}
