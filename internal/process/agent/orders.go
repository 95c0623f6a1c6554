package agent

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/request/order"
	"primrosecourse/pkg/claim"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// InstancePlatform is the part of the platform's API that order owners use.
type InstancePlatform interface {
	order.Platform
	Instances(ctx context.Context) ([]platform.Instance, error)
}

// OrderOwner is the Orders of an agent. It runs an order.Owner with the limits of the first configuration in force; the
// number of shards cannot change once orders have run. Its fields are set before Run.
type OrderOwner struct {
	Name          string
	Incarnation   uint64
	Platform      InstancePlatform
	Service       order.Service
	Configuration Configuration
	Log           logr.Logger

	owner atomic.Pointer[order.Owner]

	mu     sync.Mutex
	active []string // endpoints of the service that the configuration wants
	live   []string // those of them that the platform lists
}

// instancesInterval is the mean time between two reads of the platform's list. Entries tell sooner which endpoints they cannot
// reach; at 2 s, 2,000 agents beside plain services would use half of the reads that the platform bears.
const instancesInterval = 10 * time.Second

// Run serves orders until ctx is done and finishes those under way.
func (o *OrderOwner) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "orders") }()
	var d *settings.Deployment
	for d == nil {
		changed := o.Configuration.Changed()
		if s := o.Configuration.Current(); s != nil {
			d = s.Deployment
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
	owner := &order.Owner{
		Platform: o.Platform, Service: o.Service, Name: o.Name, Incarnation: o.Incarnation, Log: o.Log,
		Shards: d.Limits.ClaimShards, Retention: d.Limits.ClaimRetention, Preferred: o.preferred,
		DrainTimeout: cutGrace, // the agent has waited for the calls under way before
	}
	o.update(nil)
	o.owner.Store(owner)
	var list sync.WaitGroup
	list.Go(func() { o.list(ctx) })
	defer list.Wait()
	return owner.Run(ctx)
}

// Ready implements Orders.
func (o *OrderOwner) Ready() bool {
	owner := o.owner.Load()
	return owner != nil && owner.Ready()
}

// Execute implements Orders.
func (o *OrderOwner) Execute(ctx context.Context, call wire.Call) wire.Message {
	owner := o.owner.Load()
	if owner == nil {
		r := refused(wire.ReasonOldConfig, "no configuration is in force yet")
		return wire.Refused{Stream: call.Stream, Outcome: r.outcome, Reason: r.reason, Detail: r.detail, RetryAfter: r.retryAfter}
	}
	return owner.Execute(ctx, call)
}

// list follows the platform's list of instances and the configuration. During an outage the last list stays.
func (o *OrderOwner) list(ctx context.Context) {
	var listed map[string]bool
	var next time.Time
	for ctx.Err() == nil {
		changed := o.Configuration.Changed()
		if !time.Now().Before(next) {
			if instances, err := o.Platform.Instances(ctx); err == nil {
				listed = make(map[string]bool, len(instances))
				for _, i := range instances {
					listed[i.Name] = !i.Leaving
				}
			}
			next = time.Now().Add(instancesInterval*3/4 + rand.N(instancesInterval/2))
		}
		o.update(listed)
		timer := time.NewTimer(time.Until(next))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// update finds the endpoints of the service that the configuration wants active, and those of them that the platform
// lists.
func (o *OrderOwner) update(listed map[string]bool) {
	s := o.Configuration.Current()
	v := newView(s, o.Name)
	leaving := map[string]bool{}
	for _, domain := range s.Deployment.FailureDomains {
		leaving[domain.Name] = domain.State == settings.Leaving
	}
	var active, live []string
	for _, e := range s.Deployment.Endpoints {
		if v.endpoint == nil || e.Kind != settings.ServiceEndpoint || e.Service != v.endpoint.Service ||
			e.State == settings.Leaving || leaving[e.FailureDomain] {
			continue
		}
		active = append(active, e.Name)
		if listed[e.Name] {
			live = append(live, e.Name)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.active, o.live = active, live
}

// preferred returns the owner of a shard that is preferred among the live endpoints of the service. An endpoint counts
// as live if the configuration wants it active, the entry could reach it, and the platform lists it or lists none of the
// service at all. The platform's list lags; without the entry's word the shards of an endpoint that stops would be
// refused until the list follows. A wrong word costs a takeover: the claim log is the fence.
func (o *OrderOwner) preferred(shard int, unavailable []string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, names := range [][]string{o.live, o.active} {
		reachable := make([]string, 0, len(names))
		for _, name := range names {
			if name == o.Name || !slices.Contains(unavailable, name) {
				reachable = append(reachable, name)
			}
		}
		if owners := claim.Owners(shard, reachable); len(owners) > 0 {
			return owners[0]
		}
	}
	return o.Name
}

// logEnd logs the error of a part of the daemon that ended.
func logEnd(log logr.Logger, err error) {
	if err != nil {
		event.Error(log, err, event.AgentPartFailed)
	}
}
