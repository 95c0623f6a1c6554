package order

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/platform"
	"primrosecourse/pkg/claim"
	"primrosecourse/pkg/wire"
)

// Platform is the part of the platform's object API that an Owner uses. Errors are those of package platform.
// A write may have taken effect if it fails with platform.ErrUncertain or with an error that is not of that package.
type Platform interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, obj platform.Object) (version uint64, err error)
	Delete(ctx context.Context, kind, name string, version uint64) error
	List(ctx context.Context, kind, prefix string) ([]platform.Object, error)
}

// Service sends calls to the plain service. The error is service.ErrNotSent if the service certainly did not receive
// the call. After any other error the call may have run.
type Service interface {
	Do(ctx context.Context, call wire.Call) (wire.Reply, error)
}

// maxServices limits the number of services whose orders one Owner runs. An agent has one service at a time; the number
// grows only when its configuration changes.
const maxServices = 8

// Owner runs the orders of the shards that this agent owns. The exported fields must be set before Run is called.
type Owner struct {
	Platform Platform
	Service  Service
	// Name is the name of this agent's endpoint in the configuration.
	Name string
	// Incarnation identifies this start of the agent. It must not be 0 and must be unique among all starts of all agents.
	Incarnation uint64
	// Shards is the number of claim logs of each service. It must be the same for all agents. Default 16.
	Shards int
	// Retention is how long the outcome of an order is kept. It must be much longer than any deadline. Default 24 h.
	Retention time.Duration
	// Preferred returns the name of the preferred live owner of a shard, leaving out the unavailable endpoints, or ""
	// if there is none. It is called at least once for each order and must not block. If Preferred is nil, this agent
	// is always preferred.
	Preferred func(shard int, unavailable []string) string
	// QueueLength limits the concurrent calls of Execute and the orders in progress of each shard. Default 256.
	QueueLength int
	// MaxRecords limits the orders in the indexes of all owned shards together. Once it is reached, new orders are
	// refused. 100,000 orders take up to 17 MB. Default 350,000.
	MaxRecords int
	// DefaultTimeout applies to orders without a timeout. Default 2 min.
	DefaultTimeout time.Duration
	// ReplyTimeout limits the wait for a response of the service. The wait continues after the caller's deadline, so that a
	// later attempt of the caller gets the response. Default 5 min.
	ReplyTimeout time.Duration
	// PlatformTimeout limits one call to the platform, which normally responds within milliseconds. Default 2 s.
	PlatformTimeout time.Duration
	// DrainTimeout limits how long orders in progress may take to finish after the context of Run is done. Default 30 s.
	DrainTimeout time.Duration
	// CompleteDelay is how long a Completed or Abandoned record may wait to be written together with a claim of the same
	// shard. The delay applies only while more than half of the write burst is used up. If the agent dies during the
	// delay of a Completed record, later attempts get an unknown outcome instead of the response. Default 100 ms.
	CompleteDelay time.Duration
	// WritesPerSecond limits the commits and takeovers, ReadsPerSecond the reads of segments for takeovers and replays.
	// The platform sustains several hundred writes and 2,000 reads per second from all agents together. A commit that
	// waits for the limit collects more orders. Defaults 100 and 300.
	WritesPerSecond int
	ReadsPerSecond  int
	Log             logr.Logger

	mu sync.Mutex
	// running is set while new orders are accepted.
	running bool
	// activeWork is the number of calls of Execute in progress and of executions without an outcome.
	activeWork int
	// idle is closed when new orders are no longer accepted and activeWork is 0.
	idle     chan struct{}
	sequence uint64
	// indexedOrders is the number of orders in the indexes of all shards.
	indexedOrders atomic.Int64
	// shards contains, by service name, the shards of each service that has had an order.
	shards map[string][]*shard
	// writers counts the goroutines that run shards.
	writers sync.WaitGroup
	// flush is closed to make the shards write their pending records and stop.
	flush chan struct{}
	// closed is set once no more shards may be started.
	closed       bool
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	// workCtx is the context of all work. It is cancelled when the drain and the last writes have finished, at the latest
	// when DrainTimeout has passed.
	workCtx context.Context
}

// Run serves orders until ctx is done, then lets the orders in progress finish for up to DrainTimeout. Execute refuses
// orders before Run starts and after ctx is done.
func (o *Owner) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "order: run") }()
	if o.Platform == nil || o.Service == nil || o.Name == "" || o.Incarnation == 0 {
		return errors.New("Platform, Service, Name and Incarnation must be set")
	}
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	o.start(workCtx)
	event.Info(o.Log, event.OrderStarted, "shards", o.Shards, "incarnation", o.Incarnation)
	<-ctx.Done()

	drainTimer := time.AfterFunc(o.DrainTimeout, stop)
	defer drainTimer.Stop()
	select {
	case <-o.drain():
	case <-workCtx.Done():
	}
	close(o.flush)
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.writers.Wait()
	stop()
	<-o.drain()
	event.Info(o.Log, event.OrderStopped, "cutOff", !drainTimer.Stop())
	return nil
}

// start sets the defaults and begins to accept orders.
func (o *Owner) start(workCtx context.Context) {
	o.Shards = cmp.Or(o.Shards, 16)
	o.Retention = cmp.Or(o.Retention, 24*time.Hour)
	o.QueueLength = cmp.Or(o.QueueLength, 256)
	o.MaxRecords = cmp.Or(o.MaxRecords, 350_000)
	o.DefaultTimeout = cmp.Or(o.DefaultTimeout, 2*time.Minute)
	o.ReplyTimeout = cmp.Or(o.ReplyTimeout, 5*time.Minute)
	o.PlatformTimeout = cmp.Or(o.PlatformTimeout, 2*time.Second)
	o.DrainTimeout = cmp.Or(o.DrainTimeout, 30*time.Second)
	o.CompleteDelay = cmp.Or(o.CompleteDelay, 100*time.Millisecond)
	o.WritesPerSecond = cmp.Or(o.WritesPerSecond, 100)
	o.ReadsPerSecond = cmp.Or(o.ReadsPerSecond, 300)
	// The burst is a fifth of the calls of one second, so that a single order is not delayed by the rate limit.
	o.writeLimiter = rate.NewLimiter(rate.Limit(o.WritesPerSecond), max(o.WritesPerSecond/5, 1))
	o.readLimiter = rate.NewLimiter(rate.Limit(o.ReadsPerSecond), max(o.ReadsPerSecond/5, 1))
	if o.Preferred == nil {
		o.Preferred = func(int, []string) string { return o.Name }
	}
	if o.Log.GetSink() == nil {
		o.Log = logr.Discard()
	}
	o.workCtx, o.idle, o.flush, o.shards = workCtx, make(chan struct{}), make(chan struct{}), map[string][]*shard{}
	o.mu.Lock()
	o.running = true
	o.mu.Unlock()
}

// shardsOf returns the shards of a service and starts them on the first call for that service. It returns nil if they
// are not started and the owner has closed or already has maxServices services.
func (o *Owner) shardsOf(service string) []*shard {
	o.mu.Lock()
	defer o.mu.Unlock()
	if shards, ok := o.shards[service]; ok || o.closed || len(o.shards) >= maxServices {
		return shards
	}
	for number := range o.Shards {
		s := newShard(o, service, number)
		o.shards[service] = append(o.shards[service], s)
		o.writers.Go(func() { s.run(o.workCtx, o.flush) })
	}
	return o.shards[service]
}

// Ready reports whether Execute accepts orders.
func (o *Owner) Ready() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.running
}

// beginWork registers work that a drain waits for, until endWork is called. It returns false, and registers nothing, if
// the owner does not accept new work.
func (o *Owner) beginWork() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.running {
		return false
	}
	o.activeWork++
	return true
}

// addWork registers further work, also during a drain. The caller must itself be between beginWork and endWork, so that
// idle is not closed yet.
func (o *Owner) addWork() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.activeWork++
}

func (o *Owner) endWork() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.activeWork--
	if !o.running && o.activeWork == 0 {
		close(o.idle)
	}
}

// drain stops the admission of new orders and returns a channel that is closed when all registered work has ended.
func (o *Owner) drain() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running {
		o.running = false
		if o.activeWork == 0 {
			close(o.idle)
		}
	}
	return o.idle
}

func (o *Owner) nextNonce() claim.Nonce {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sequence++
	return claim.Nonce{Incarnation: o.Incarnation, Sequence: o.sequence}
}

// Execute runs the order in call, at most once for its organisation and idempotency key, and returns a wire.Reply or a
// wire.Refused. If ctx is done before the order is sent, the order is not sent, unless an earlier attempt with the same
// key started its execution.
func (o *Owner) Execute(ctx context.Context, call wire.Call) (m wire.Message) {
	defer func() { m = withStream(m, call.Stream) }()
	if call.IdempotencyKey == "" {
		return refusal(wire.NotRun, wire.ReasonKeyMissing, "an order needs an idempotency key")
	}
	if !o.beginWork() {
		return refusal(wire.NotRun, wire.ReasonDraining, "the agent takes no orders")
	}
	defer o.endWork()
	timeout := call.Timeout
	if timeout <= 0 {
		timeout = o.DefaultTimeout
	}
	shards := o.shardsOf(call.Service)
	if shards == nil {
		return refusal(wire.NotRun, wire.ReasonNoEndpoint, "the agent does not run orders of this service")
	}
	s := shards[claim.Shard(call.Organisation, call.IdempotencyKey, o.Shards)]
	return s.execute(ctx, newRequest(call, time.Now().Add(timeout)))
}
