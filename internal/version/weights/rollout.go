package weights

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/site"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Result -output=result_string.go

// Result is an endpoint's answer to an order.
type Result uint8

// The answers to an order.
const (
	// Accepted means that the order is being carried out.
	Accepted Result = iota
	// Holds means that there is nothing to do.
	Holds
	// Busy means that another order is in progress, or that the number of orders differs.
	Busy
	// Fenced means that the endpoint knows a higher token.
	Fenced
	// Refused means that the endpoint does not take the order.
	Refused
	// Moved means that another endpoint has the address.
	Moved
)

// Report is what an endpoint says of itself.
type Report struct {
	// Orders is the number of orders that it has accepted, Busy whether one is in progress.
	Orders   uint64
	Busy     bool
	Versions map[string]uint64
}

// Order asks an endpoint to load a weight version once its runs have finished.
type Order struct {
	Model   string
	Version uint64
	Holder  string
	Token   uint64
	// Expected is the number of orders that the endpoint must have accepted before.
	Expected uint64
}

// Engines calls endpoints.
type Engines interface {
	// Report asks an endpoint what it has.
	Report(ctx context.Context, e *site.Endpoint) (Report, error)
	// Order gives an order. An error means that the order may have been accepted, or may be carried out later.
	Order(ctx context.Context, e *site.Endpoint, o Order) (Result, error)
}

// View is what is known of the site.
type View interface {
	Current() *site.Snapshot
	// Rank returns the number of gateways that come before this one in the order of a name.
	Rank(name string) int
}

// Lease says whether this gateway gives the orders; lease.Lease is one.
type Lease interface {
	Acquire(ctx context.Context) (held bool, err error)
	Held() bool
	Valid() bool
	MayOrder(endpoint string) bool
	Token() uint64
	Renew(ctx context.Context, updating, ordered []string) (confirmed bool)
	Lost(reason string)
	Release(ctx context.Context)
	Wanted()
	Unwanted()
}

// Rollout orders weight versions. Its exported fields are set before Run.
type Rollout struct {
	// Name is the holder's name in orders.
	Name    string
	View    View
	Lease   Lease
	Engines Engines
	Log     logr.Logger
	// LeaseTime is how long an endpoint must not get orders from two holders. Default 3 s.
	LeaseTime time.Duration

	// updating holds the endpoints in work, by name.
	updating map[string]*update
	// confirmed holds endpoints that reported a version before the list shows it.
	confirmed map[string]uint64
	// neededAt is when there was first something to do, zero if there is nothing.
	neededAt time.Time
	// ordered holds when an endpoint last got an order, or was published as about to get one.
	ordered map[string]time.Time
}

const (
	// idlePeriod is the time between two looks at what is to be done, workPeriod the same while orders are given, and
	// acquirePeriod the time between two tries to take the lease.
	idlePeriod    = 200 * time.Millisecond
	acquirePeriod = 400 * time.Millisecond
	// contenders is the number of gateways that try to take the lease from the start. The others do so when nothing has
	// changed for quietTime: with many gateways their questions would be most of the calls to the store.
	contenders = 3
	quietTime  = 2 * time.Second
	workPeriod = 100 * time.Millisecond
	// renewPeriod is the time between two renewals, well within the validity of a lease.
	renewPeriod = 400 * time.Millisecond
	// noticeTime is how long other gateways have to read which endpoints are about to change.
	noticeTime = 30 * time.Millisecond
	// pollPeriod is the time between two questions to an endpoint that carries out an order.
	pollPeriod = 250 * time.Millisecond
	// loadTime is the time after which an endpoint that does not reach the version is tried again later.
	loadTime = 8 * time.Second
	// callTime bounds one call to an endpoint, orderTime an order: an endpoint takes or refuses it within milliseconds, and
	// one without an answer is followed by the question whether it was taken.
	callTime  = 800 * time.Millisecond
	orderTime = 300 * time.Millisecond
	// atOnceShare is the part of a service's endpoints that change at once: few enough for the others to carry the load, and
	// enough for all to be done in time.
	atOnceShare = 4
)

// need is an endpoint that lacks a version.
type need struct {
	endpoint *site.Endpoint
	model    string
	version  uint64
	atOnce   int
}

// Run gives orders until ctx is done.
func (r *Rollout) Run(ctx context.Context) error {
	r.updating, r.confirmed, r.ordered = map[string]*update{}, map[string]uint64{}, map[string]time.Time{}
	var work sync.WaitGroup
	defer work.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var renewed time.Time
	for {
		needs := r.needs()
		period := idlePeriod
		switch {
		case len(needs) == 0 && len(r.updating) == 0:
			r.Lease.Unwanted()
			r.Lease.Release(ctx)
			r.neededAt = time.Time{}
		case !r.Lease.Held():
			r.Lease.Wanted()
			period = acquirePeriod
			if !r.contends(time.Now()) {
				break
			}
			if held, err := r.Lease.Acquire(ctx); err != nil {
				event.Info(r.Log, event.StoreWriteFailed, "name", "Lease", "reason", err.Error())
			} else if held {
				renewed = time.Now()
				continue
			}
		default:
			period = workPeriod
			r.collect()
			began := r.begin(needs)
			if len(began) > 0 || time.Since(renewed) > renewPeriod {
				renewed = time.Now()
				if !r.Lease.Renew(ctx, r.names(), r.recent()) {
					r.forget(began)
					break
				}
			}
			for _, u := range began {
				work.Go(func() { u.ended <- r.update(ctx, u) })
			}
		}
		select {
		case <-ctx.Done():
			if r.Lease.Held() {
				last, stop := context.WithTimeout(context.Background(), callTime)
				defer stop()
				r.Lease.Release(last)
			}
			return nil
		case <-time.After(period):
		}
	}
}

// contends reports whether this gateway tries to take the lease.
func (r *Rollout) contends(now time.Time) bool {
	if r.neededAt.IsZero() {
		r.neededAt = now
	}
	if r.View.Rank("Orders") < contenders {
		return true
	}
	at := r.neededAt
	if changed := r.View.Current().UpdatingAt; changed.After(at) {
		at = changed
	}
	return now.Sub(at) >= quietTime
}

// needs lists the endpoints that lack a named version, cold and loaded ones alike, in a fixed order.
func (r *Rollout) needs() (list []need) {
	view := r.View.Current()
	if view.Configuration == nil {
		return nil
	}
	for _, service := range view.Configuration.Services {
		if service.Engine == nil {
			continue
		}
		endpoints := view.Endpoints[service.Name]
		for _, e := range endpoints {
			if e.State != site.Ready {
				continue
			}
			for _, m := range e.Models {
				named := view.Versions[m.Model]
				if named <= m.Version || r.confirmed[confirmation(e, m.Model)] >= named {
					continue
				}
				list = append(list, need{endpoint: e, model: m.Model, version: named,
					atOnce: max(2, (len(endpoints)+atOnceShare-1)/atOnceShare)})
			}
		}
	}
	slices.SortFunc(list, func(a, b need) int { return cmp.Compare(a.endpoint.ID, b.endpoint.ID) })
	return list
}

func confirmation(e *site.Endpoint, model string) string {
	return e.ID + "/" + e.Born.String() + "/" + model
}

// collect takes the results of updates that ended.
func (r *Rollout) collect() {
	for id, u := range r.updating {
		select {
		case version := <-u.ended:
			delete(r.updating, id)
			if version > 0 {
				r.confirmed[confirmation(u.endpoint, u.model)] = version
			}
		default:
		}
	}
}

// begin adds endpoints to those in work, as many as may change at once.
func (r *Rollout) begin(needs []need) (began []*update) {
	if !r.Lease.Valid() {
		return nil
	}
	now, changing := time.Now(), 0
	for _, u := range r.updating {
		if u.changes(now) {
			changing++
		}
	}
	for _, n := range needs {
		if changing >= n.atOnce || len(r.updating) >= 2*n.atOnce {
			break
		}
		if r.updating[n.endpoint.ID] != nil || !r.Lease.MayOrder(n.endpoint.ID) {
			continue
		}
		u := &update{endpoint: n.endpoint, model: n.model, begun: now, ended: make(chan uint64, 1)}
		r.updating[n.endpoint.ID] = u
		changing++
		began = append(began, u)
	}
	return began
}

func (r *Rollout) forget(began []*update) {
	for _, u := range began {
		delete(r.updating, u.endpoint.ID)
	}
}

// recent lists the endpoints that got an order within the lease time, or are about to.
func (r *Rollout) recent() (list []string) {
	now := time.Now()
	for id := range r.updating {
		r.ordered[id] = now
	}
	for id, at := range r.ordered {
		if now.Sub(at) > cmp.Or(r.LeaseTime, 3*time.Second) {
			delete(r.ordered, id)
			continue
		}
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

func (r *Rollout) names() (list []string) {
	for id := range r.updating {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
