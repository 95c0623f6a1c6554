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

// Platform is the part of the platform's object API that an owner needs. The errors are those of package platform; a
// write that fails with any other error may have taken effect.
type Platform interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, obj platform.Object) (version uint64, err error)
	Delete(ctx context.Context, kind, name string, version uint64) error
	List(ctx context.Context, kind, prefix string) ([]platform.Object, error)
}

// Service runs one call of the plain service. The error is service.ErrNotSent if the service certainly did not see the
// call; with any other error the call may have run.
type Service interface {
	Do(ctx context.Context, call wire.Call) (wire.Reply, error)
}

// maxServices bounds the services of one owner. An agent has one, and a new one only if its configuration changes.
const maxServices = 8

// Owner runs the orders of the shards that this agent owns. Set the exported fields before Run.
type Owner struct {
	Platform Platform
	Service  Service
	// Name is the endpoint's name in the configuration.
	Name string
	// Incarnation must differ between any two starts of any agent and must not be 0.
	Incarnation uint64
	// Shards is the number of claim logs of a service, the same for all agents. Default 16.
	Shards int
	// Retention is how long the outcome of an order is kept. It must be far longer than any deadline. Default 24 h.
	Retention time.Duration
	// Preferred names the preferred live owner of a shard without the unavailable ones, empty if there is none. It is
	// called for each order and must not block. Nil stands for this agent.
	Preferred func(shard int, unavailable []string) string
	// QueueLength bounds the orders in progress of one shard. Default 256.
	QueueLength int
	// MaxRecords bounds the orders that the indexes of all owned shards remember; above it new orders are refused. 100,000
	// take up to 17 MB. Default 350,000.
	MaxRecords int
	// DefaultTimeout is the deadline of an order that names none. Default 2 min.
	DefaultTimeout time.Duration
	// ReplyTimeout is how long a response of the service is awaited, even if the caller's deadline passed, because a
	// later try of the caller then gets the response. Default 5 min.
	ReplyTimeout time.Duration
	// PlatformTimeout bounds one call of the platform, which normally answers in milliseconds. Default 2 s.
	PlatformTimeout time.Duration
	// DrainTimeout bounds the time after ctx of Run ends in which orders in progress finish. Default 30 s.
	DrainTimeout time.Duration
	// CompleteDelay is how long a result waits for a claim of the same shard whose write it can join, while more than half
	// of the burst of writes is used up. If the process dies meanwhile, later tries get an unknown outcome instead of the
	// response. Default 100 ms.
	CompleteDelay time.Duration
	// WritesPerSecond and ReadsPerSecond bound the use of the platform, which bears several hundred writes and 2,000
	// reads a second from all agents. Commits that wait gather more orders. Defaults 100 and 300.
	WritesPerSecond int
	ReadsPerSecond  int
	Log             logr.Logger

	mu       sync.Mutex
	running  bool
	active   int
	idle     chan struct{}
	sequence uint64
	// records counts the orders in the indexes of all shards.
	records atomic.Int64
	// shards holds the shards of each service that had an order.
	shards  map[string][]*shard
	writers sync.WaitGroup
	flush   chan struct{}
	ended   bool
	writes  *rate.Limiter
	reads   *rate.Limiter
	// work ends when nothing of the owner may go on.
	work context.Context
}

// Run serves until ctx is done and then finishes the orders in progress. Execute refuses orders before and after.
func (o *Owner) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "order: run") }()
	if o.Platform == nil || o.Service == nil || o.Name == "" || o.Incarnation == 0 {
		return errors.New("Platform, Service, Name and Incarnation must be set")
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	o.start(work)
	event.Info(o.Log, event.OrderStarted, "shards", o.Shards, "incarnation", o.Incarnation)
	<-ctx.Done()

	limit := time.AfterFunc(o.DrainTimeout, stop)
	defer limit.Stop()
	select {
	case <-o.drain():
	case <-work.Done():
	}
	close(o.flush)
	o.mu.Lock()
	o.ended = true
	o.mu.Unlock()
	o.writers.Wait()
	stop()
	<-o.drain()
	event.Info(o.Log, event.OrderStopped, "cutOff", !limit.Stop())
	return nil
}

func (o *Owner) start(work context.Context) {
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
	// A fifth of a second's calls may go at once, so that a single order waits only for the platform.
	o.writes = rate.NewLimiter(rate.Limit(o.WritesPerSecond), max(o.WritesPerSecond/5, 1))
	o.reads = rate.NewLimiter(rate.Limit(o.ReadsPerSecond), max(o.ReadsPerSecond/5, 1))
	if o.Preferred == nil {
		o.Preferred = func(int, []string) string { return o.Name }
	}
	if o.Log.GetSink() == nil {
		o.Log = logr.Discard()
	}
	o.work, o.idle, o.flush, o.shards = work, make(chan struct{}), make(chan struct{}), map[string][]*shard{}
	o.mu.Lock()
	o.running = true
	o.mu.Unlock()
}

// shardsOf returns the shards of a service and starts them with its first order. It returns nil if the owner ended or
// serves too many services.
func (o *Owner) shardsOf(service string) []*shard {
	o.mu.Lock()
	defer o.mu.Unlock()
	if list, ok := o.shards[service]; ok || o.ended || len(o.shards) >= maxServices {
		return list
	}
	for number := range o.Shards {
		s := newShard(o, service, number)
		o.shards[service] = append(o.shards[service], s)
		o.writers.Go(func() { s.run(o.work, o.flush) })
	}
	return o.shards[service]
}

// Ready reports whether Execute takes orders.
func (o *Owner) Ready() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.running
}

// enter counts a piece of work that a drain waits for. It returns false while the owner takes no new work.
func (o *Owner) enter() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.running {
		return false
	}
	o.active++
	return true
}

// hold counts one more piece of work of somebody who entered and did not leave yet.
func (o *Owner) hold() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.active++
}

func (o *Owner) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.active--
	if !o.running && o.active == 0 {
		close(o.idle)
	}
}

// drain stops the intake and returns a channel that is closed when all work left.
func (o *Owner) drain() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running {
		o.running = false
		if o.active == 0 {
			close(o.idle)
		}
	}
	return o.idle
}

func (o *Owner) nonce() claim.Nonce {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sequence++
	return claim.Nonce{Incarnation: o.Incarnation, Sequence: o.sequence}
}

// Execute runs the order in call, at most once for its organisation and idempotency key, and returns a wire.Reply or a
// wire.Refused. An order that was not sent yet when ctx is done is not sent.
func (o *Owner) Execute(ctx context.Context, call wire.Call) (m wire.Message) {
	defer func() { m = onStream(m, call.Stream) }()
	if call.IdempotencyKey == "" {
		return refuse(wire.NotRun, wire.ReasonKeyMissing, "an order needs an idempotency key")
	}
	if !o.enter() {
		return refuse(wire.NotRun, wire.ReasonDraining, "the agent takes no orders")
	}
	defer o.leave()
	timeout := call.Timeout
	if timeout <= 0 {
		timeout = o.DefaultTimeout
	}
	shards := o.shardsOf(call.Service)
	if shards == nil {
		return refuse(wire.NotRun, wire.ReasonNoEndpoint, "the agent does not run orders of this service")
	}
	s := shards[claim.Shard(call.Organisation, call.IdempotencyKey, o.Shards)]
	return s.execute(ctx, newRequest(call, time.Now().Add(timeout)))
}
