package rollout

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"primrosecourse/internal/version/registry"
	"primrosecourse/pkg/rollout"
	"primrosecourse/pkg/site"
)

const (
	// defaultRollbackTime applies if RollbackTime is not set.
	defaultRollbackTime = 5 * time.Second
	// grantPart is the part of RollbackTime for which requests are sent to a target after the state of its order was last confirmed, and
	// reportPart that after the last stored report of this gateway. The rest is for the decision.
	grantPart  = 0.4
	reportPart = 0.4
	// marginPart is added to grantPart for what is under way when a grant ends.
	marginPart = 0.1
	// tickInterval is the time between two looks at what is due.
	tickInterval = 50 * time.Millisecond
)

// View provides the state of the site. registry.Registry implements it.
type View interface {
	Current() *site.Snapshot
	// Rank returns the number of gateways that precede this one in the order for a name.
	Rank(name string) int
	// OtherGateways returns the other gateways that are present, or false if they are not known.
	OtherGateways() (names []string, ok bool)
	// SharedAge returns how long ago the store last confirmed the shared objects.
	SharedAge() time.Duration
	KnowsRollouts() bool
	StoredRollout(service string) registry.StoredRollout
	RolloutReports() map[string]registry.RolloutReport
}

// Objects reads and writes the shared objects of the gateways. registry.Objects implements it.
type Objects interface {
	Get(ctx context.Context, name string) (value json.RawMessage, revision uint64, err error)
	Put(ctx context.Context, name string, revision uint64, value any) (next uint64, err error)
}

// Status records on the platform how rollouts stand.
type Status interface {
	// Get reads a rollout.
	Get(ctx context.Context, name string) (*site.Rollout, error)
	// Put records the state of a rollout if its object still has the revision of r.
	Put(ctx context.Context, r *site.Rollout, state site.RolloutState) error
}

// Controller follows the orders of all services. Its exported fields must be set before Run and before the first call of another method.
type Controller struct {
	// Name is the name of this gateway.
	Name    string
	View    View
	Objects Objects
	Status  Status
	Bounds  rollout.Bounds
	// RollbackTime is the time after the 50th bad answer of a target within which the last request is sent to it. Default 5 s.
	RollbackTime time.Duration
	Log          logr.Logger

	initOnce sync.Once
	done     chan struct{}
	ledger   *rollout.Ledger
	reporter reporter
	decider  decider

	mu sync.Mutex
	// known is set once the rollouts have been read. An order that was there before is joined.
	known bool
	// seenAt is when this gateway saw each order first.
	seenAt map[rollout.Order]time.Time
}

func (c *Controller) init() {
	c.initOnce.Do(func() {
		c.done, c.ledger = make(chan struct{}), &rollout.Ledger{Name: c.Name}
		c.seenAt = map[rollout.Order]time.Time{}
		c.RollbackTime = cmp.Or(c.RollbackTime, defaultRollbackTime)
		c.reporter = reporter{Controller: c}
		c.decider = decider{Controller: c, services: map[string]*progress{}, cold: map[string]coldEntry{}}
	})
}

// Done returns a channel that is closed when Run has ended.
func (c *Controller) Done() <-chan struct{} {
	c.init()
	return c.done
}

// Run reports and decides until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	c.init()
	defer close(c.done)
	var tasks sync.WaitGroup
	for _, step := range []func(context.Context){c.reporter.step, c.decider.step} {
		tasks.Go(func() {
			for ctx.Err() == nil {
				step(ctx)
				wait(ctx, tickInterval/2+rand.N(tickInterval))
			}
		})
	}
	tasks.Wait()
	return nil
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Changed makes a new snapshot of the site take effect. It does not block.
func (c *Controller) Changed(s *site.Snapshot) {
	c.init()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, r := range s.Rollouts {
		o := r.Order()
		if _, ok := c.seenAt[o]; !ok {
			c.seenAt[o] = now
		}
		c.ledger.Follow(o, s.RolloutState(r), !c.known)
		if r.State == site.RolloutCompleted {
			c.ledger.Complete(r.Service)
		}
	}
	for o := range c.seenAt {
		if r := s.Rollouts[o.Service]; r == nil || r.Order() != o {
			delete(c.seenAt, o)
		}
	}
	c.ledger.Retain(func(service string) bool { return s.Rollouts[service] != nil })
	c.known = c.known || c.View.KnowsRollouts()
}

// firstSeen returns since when this gateway knows an order.
func (c *Controller) firstSeen(o rollout.Order, now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, ok := c.seenAt[o]; ok {
		return at
	}
	return now
}

// fresh reports whether requests may be sent to targets: the store has confirmed the states of the orders, and has what this gateway counted,
// a short time ago.
func (c *Controller) fresh() bool {
	return c.View.SharedAge() < part(c.RollbackTime, grantPart) && c.reporter.age() < part(c.RollbackTime, reportPart)
}

func part(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }

// Ready reports whether the orders are known, so that requests may be sent.
func (c *Controller) Ready() bool {
	c.init()
	return c.View.KnowsRollouts()
}

// Side returns where a new request of a route may be sent, the target of the service's order and, if that is limited, the endpoints of the
// target.
func (c *Controller) Side(service, route string) (side rollout.Side, target string, endpoints []string) {
	c.init()
	return c.ledger.Side(service, route, c.fresh(), rand.Float64())
}

// Allows reports whether a stream that is bound to a build may be sent there now.
func (c *Controller) Allows(service, build string) bool {
	c.init()
	return c.ledger.Allows(service, build, c.fresh())
}

// Begin records that a request is sent to an endpoint of a build, the first time if first is set. bound is set if it is a stream that must go to
// this build. It returns false if it may not be sent there now; otherwise end must be called once when the answer has ended.
func (c *Controller) Begin(service, route, build string, first, bound bool) (end func(rollout.Result), ok bool) {
	c.init()
	return c.ledger.Begin(service, route, build, first, bound, c.fresh())
}

// active returns the orders that are not recorded as decided.
func active(s *site.Snapshot) (list []*site.Rollout) {
	for _, r := range s.Rollouts {
		if r.State == site.RolloutActive {
			list = append(list, r)
		}
	}
	return list
}
