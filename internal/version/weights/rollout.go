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
	"primrosecourse/pkg/staleness"
	"primrosecourse/pkg/waves"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Result -linecomment -output=result_string.go

// Result is the response of an endpoint to an order. Its names appear in logs.
type Result uint8

// Responses to an order.
const (
	// Accepted means that the order is being carried out.
	Accepted Result = iota
	// UpToDate means that the endpoint already has the version.
	UpToDate // Holds
	// Busy means that another order is in progress, or that the number of accepted orders differs from Order.ExpectedOrders.
	Busy
	// Fenced means that the endpoint has seen a higher fencing token.
	Fenced
	// Refused means that the endpoint refused the order, or that the lease did not permit sending it.
	Refused
	// Moved means that the address now belongs to another endpoint.
	Moved
)

// Report is the state that an endpoint reports. Versions are its weight versions by model.
type Report struct {
	// AcceptedOrders is the number of orders that the endpoint has accepted. Busy reports whether one is in progress.
	AcceptedOrders uint64
	Busy           bool
	Versions       map[string]uint64
}

// Order instructs an endpoint to load a weight version once its runs have finished.
type Order struct {
	Model   string
	Version uint64
	// Holder is the gateway that sends the order and Token the fencing token of its lease.
	Holder string
	Token  uint64
	// ExpectedOrders is the number of orders that the endpoint must have accepted before this one.
	ExpectedOrders uint64
}

// Engines calls endpoints.
type Engines interface {
	// Report returns the state of an endpoint.
	Report(ctx context.Context, e *site.Endpoint) (Report, error)
	// Order sends an order. After an error the order may have been accepted already, or may still take effect later.
	Order(ctx context.Context, e *site.Endpoint, o Order) (Result, error)
}

// View provides the gateway's snapshot of the site.
type View interface {
	Current() *site.Snapshot
	// ReplacedFor returns the time since the first version of a model above the given one was named.
	ReplacedFor(model string, version uint64) time.Duration
	// Rank returns the number of gateways that precede this one in the rendezvous-hash order for a name.
	Rank(name string) int
}

// Lease determines whether this gateway may send orders. It is implemented by lease.Lease. The goroutines of orders call Abandon,
// MayOrder, Token and Valid while Run calls other methods.
type Lease interface {
	Acquire(ctx context.Context) (held bool, err error)
	// Held reports whether this gateway has the lease, which may have expired. Valid reports whether this gateway has the
	// lease and it has not expired.
	Held() bool
	Valid() bool
	// MayOrder reports whether this gateway may send an order to the endpoint now.
	MayOrder(endpoint string) bool
	// Token returns the fencing token of the last acquisition by this gateway.
	Token() uint64
	// Renew publishes the endpoints that are being updated, renews the lease and records in it these endpoints and those that
	// were ordered recently, with the time since. It reports whether the store has confirmed both.
	Renew(ctx context.Context, updating []string, sent map[string]time.Duration) (confirmed bool)
	// Abandon gives the lease up without writing to the store if its token is still the given one; Release gives it up in the
	// store, while no order is in flight, and records the endpoints that were ordered recently.
	Abandon(token uint64, reason string)
	Release(ctx context.Context, sent map[string]time.Duration)
	// MarkWanted records that this gateway has orders to send; ClearWanted records that it has none.
	MarkWanted()
	ClearWanted()
}

// Loads provides the load of endpoints, as far as it is known. It is implemented by placement.Table.
type Loads interface {
	// Held returns the number of prompt tokens of the requests in flight at an endpoint.
	Held(now time.Time, endpoint string) int
	// Wait returns the expected time until an endpoint begins to prefill another prompt.
	Wait(now time.Time, service, endpoint string) time.Duration
}

// Rollout orders endpoints to load the named weight versions. Set its exported fields before Run.
type Rollout struct {
	// Name identifies this gateway as the holder in orders.
	Name    string
	View    View
	Lease   Lease
	Engines Engines
	// Loads may be nil; the pace of the updates then does not depend on the load.
	Loads Loads
	Log   logr.Logger
	// LeaseTime is the time after an order within which no other holder may send orders to the same endpoint.
	// Default 3 s.
	LeaseTime time.Duration
	// Staleness is the rule by which requests may begin on replaced weights. Without a limit, defaultLimit is assumed.
	Staleness staleness.Rule

	// updates are the updates in progress, by endpoint ID.
	updates map[string]*endpointUpdate
	// confirmed is the version that an endpoint has reported, by confirmationKey. The snapshot may show it only later.
	confirmed map[string]uint64
	// pendingSince is when this gateway, without the lease, first saw pending updates; zero if there are none.
	pendingSince time.Time
	// orderedMu guards orderedAt: when the last order to an endpoint had been answered or given up, by endpoint ID.
	orderedMu sync.Mutex
	orderedAt map[string]time.Time
	// times are the measured times of updates.
	times waves.Times
	// withheld is the number of endpoints that the last call of admitUpdates left out because of an earlier holder.
	withheld int
}

const (
	// idleInterval is the interval between checks for pending updates, acquireInterval the interval between attempts to acquire
	// the lease.
	idleInterval    = 200 * time.Millisecond
	acquireInterval = 400 * time.Millisecond
	// primaryContenders is the number of gateways that try to acquire the lease at once. The others try only
	// once takeoverDelay has passed both since they first saw pending updates and since the updating endpoints last
	// changed: with many gateways, their attempts would make up most of the calls to the store.
	primaryContenders = 3
	takeoverDelay     = 2 * time.Second
	// workInterval is the interval between checks for pending updates while this gateway holds the lease.
	workInterval = 100 * time.Millisecond
	// renewInterval is the interval between renewals of the lease, well below its validity.
	renewInterval = 400 * time.Millisecond
	// noticeDelay is the time that other gateways have to read the published list of endpoints before the first order.
	noticeDelay = 30 * time.Millisecond
	// pollInterval is the interval between reports requested from an endpoint that is being updated.
	pollInterval = 250 * time.Millisecond
	// loadTimeout is the time after which an update that has not reached the version ends. The endpoint is tried again
	// later.
	loadTimeout = 8 * time.Second
	// callTimeout limits a report, releaseTimeout the final release of the lease in a stop, of which little time may be left, and
	// orderTimeout an order. An endpoint accepts or refuses
	// an order within milliseconds. After an unanswered order, a report shows whether it was accepted.
	callTimeout    = 800 * time.Millisecond
	orderTimeout   = 300 * time.Millisecond
	releaseTimeout = 300 * time.Millisecond
	// defaultLimit is the shortest limit of the platform's sites.
	defaultLimit = 8 * time.Second
)

// Run updates endpoints, whenever it holds the lease, until ctx is done. It then releases the lease and waits for its
// goroutines.
func (r *Rollout) Run(ctx context.Context) error {
	r.updates, r.confirmed, r.orderedAt = map[string]*endpointUpdate{}, map[string]uint64{}, map[string]time.Time{}
	var updaters sync.WaitGroup
	var renewedAt time.Time
	for {
		r.collectResults() // before the pending updates are listed, as an endpoint that has just ended its update is not pending
		pending := r.pendingUpdates()
		interval := idleInterval
		switch {
		case len(pending) == 0 && len(r.updates) == 0:
			r.Lease.ClearWanted()
			r.Lease.Release(ctx, r.recentOrders())
			r.pendingSince = time.Time{}
		case !r.Lease.Held():
			r.Lease.MarkWanted()
			interval = acquireInterval
			if !r.competesForLease(time.Now()) {
				break
			}
			if held, err := r.Lease.Acquire(ctx); err != nil {
				event.Info(r.Log, event.StoreWriteFailed, "name", "Lease", "reason", err.Error())
			} else if held {
				renewedAt = time.Now()
				continue
			}
		default:
			interval = workInterval
			admitted := r.admitUpdates(pending)
			if len(admitted) > 0 || time.Since(renewedAt) > renewInterval {
				renewedAt = time.Now()
				if !r.Lease.Renew(ctx, r.updatingIDs(), r.recentOrders()) {
					r.removeUpdates(admitted)
					break
				}
			}
			for _, u := range admitted {
				updaters.Go(func() { u.result <- r.updateEndpoint(ctx, u) })
			}
		}
		select {
		case <-ctx.Done():
			updaters.Wait()
			if r.Lease.Held() {
				releaseCtx, cancelRelease := context.WithTimeout(context.Background(), releaseTimeout)
				defer cancelRelease()
				r.Lease.Release(releaseCtx, r.recentOrders())
			}
			return nil
		case <-time.After(interval):
		}
	}
}

// competesForLease reports whether this gateway should try to acquire the lease now.
func (r *Rollout) competesForLease(now time.Time) bool {
	if r.pendingSince.IsZero() {
		r.pendingSince = now
	}
	if r.View.Rank("Orders") < primaryContenders {
		return true
	}
	since := r.pendingSince
	if changed := r.View.Current().UpdatingAt; changed.After(since) {
		since = changed
	}
	return now.Sub(since) >= takeoverDelay
}

// confirmationKey identifies a model on one incarnation of an endpoint.
func confirmationKey(e *site.Endpoint, model string) string {
	return e.ID + "/" + e.StartedAt.String() + "/" + model
}

// removeUpdates removes admitted updates that have not been started.
func (r *Rollout) removeUpdates(admitted []*endpointUpdate) {
	for _, u := range admitted {
		delete(r.updates, u.endpoint.ID)
	}
}

// recordOrder records that an order to an endpoint has been answered or given up.
func (r *Rollout) recordOrder(id string) {
	r.orderedMu.Lock()
	defer r.orderedMu.Unlock()
	r.orderedAt[id] = time.Now()
}

// recentOrders returns the time since the last order to each endpoint that was ordered within the last LeaseTime.
func (r *Rollout) recentOrders() map[string]time.Duration {
	r.orderedMu.Lock()
	defer r.orderedMu.Unlock()
	now, sent := time.Now(), map[string]time.Duration{}
	for id, at := range r.orderedAt {
		if now.Sub(at) > cmp.Or(r.LeaseTime, 3*time.Second) {
			delete(r.orderedAt, id)
			continue
		}
		sent[id] = now.Sub(at)
	}
	return sent
}

// updatingIDs returns the sorted IDs of the endpoints with an update in progress.
func (r *Rollout) updatingIDs() (list []string) {
	for id := range r.updates {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// sleep waits for d and reports whether it elapsed before ctx was done.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
