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
	"primrosecourse/internal/version/config"
	"primrosecourse/pkg/claim"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// InstancePlatform is the part of the platform's API that OrderOwner uses.
type InstancePlatform interface {
	order.Platform
	Instances(ctx context.Context) ([]platform.Instance, error)
}

// OrderOwner implements Orders. It runs an order.Owner with the limits of the first configuration in force; the number
// of shards cannot change once orders have run. Its fields are set before Run.
type OrderOwner struct {
	Name          string
	Incarnation   uint64
	Platform      InstancePlatform
	Service       order.Service
	Configuration Configuration
	Log           logr.Logger

	owner atomic.Pointer[order.Owner]

	mu sync.Mutex
	// listed contains the instances of the platform's last list, with whether they are not leaving; nil before the first.
	listed map[string]bool
	// snapshot is the configuration that active and live were derived from.
	snapshot *config.Snapshot
	active   []string // endpoints of the service that are not leaving according to the configuration
	live     []string // those of active that the platform lists as not leaving
	unlisted bool     // this agent's endpoint is in active and not in the platform's list
}

// instancesInterval is the mean time between two reads of the platform's instance list. Entries report unreachable
// endpoints sooner. At 2 s, 2,000 agents of plain services would use half of the reads that the platform can serve.
const instancesInterval = 10 * time.Second

// Run serves orders until ctx is done and then lets those in progress finish for up to forcedStopTimeout.
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
		Shards: d.Limits.ClaimShards, Retention: d.Limits.ClaimRetention, Preferred: o.preferredOwner,
		DrainTimeout: forcedStopTimeout, // the agent has already waited for the calls in progress
	}
	o.updateEndpoints(nil)
	o.owner.Store(owner)
	var polling sync.WaitGroup
	polling.Go(func() { o.pollInstances(ctx) })
	defer polling.Wait()
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
		r := newRefusal(wire.ReasonOldConfig, "no configuration is in force yet")
		return wire.Refused{Stream: call.Stream, Outcome: r.outcome, Reason: r.reason, Detail: r.detail, RetryAfter: r.retryAfter}
	}
	return owner.Execute(ctx, call)
}

// pollInstances follows the platform's instance list. During an outage the last list stays.
func (o *OrderOwner) pollInstances(ctx context.Context) {
	for ctx.Err() == nil {
		if instances, err := o.Platform.Instances(ctx); err == nil {
			listed := make(map[string]bool, len(instances))
			for _, i := range instances {
				listed[i.Name] = !i.Leaving
			}
			o.updateEndpoints(listed)
		}
		timer := time.NewTimer(instancesInterval*3/4 + rand.N(instancesInterval/2))
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// updateEndpoints replaces the platform's list of instances.
func (o *OrderOwner) updateEndpoints(listed map[string]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.listed = listed
	o.deriveEndpoints(o.Configuration.Current())
}

// deriveEndpoints sets active and live from a configuration and the platform's list. The caller must hold mu.
func (o *OrderOwner) deriveEndpoints(s *config.Snapshot) {
	cfg := newLocalConfig(s, o.Name)
	leaving := map[string]bool{}
	for _, domain := range s.Deployment.FailureDomains {
		leaving[domain.Name] = domain.State == settings.Leaving
	}
	var active, live []string
	for _, e := range s.Deployment.Endpoints {
		if cfg.endpoint == nil || e.Kind != settings.ServiceEndpoint || e.Service != cfg.endpoint.Service ||
			e.State == settings.Leaving || leaving[e.FailureDomain] {
			continue
		}
		active = append(active, e.Name)
		if o.listed[e.Name] {
			live = append(live, e.Name)
		}
	}
	_, listed := o.listed[o.Name]
	o.snapshot, o.active, o.live, o.unlisted = s, active, live, !listed && slices.Contains(active, o.Name)
}

// preferredOwner returns the preferred owner of a shard among the endpoints of the service that are not leaving according
// to the configuration, that the platform lists as not leaving, and that the entry does not report as unavailable. This
// agent's own endpoint is a candidate even if it is in unavailable. If there is no candidate, the platform's list is
// ignored, and if there is still none, this agent's endpoint is the owner.
//
// The platform's list lags. This agent's own endpoint is a candidate also if the list lacks it: otherwise agents that have read the list
// before and after this one was in it would all name another one as the owner. And without the entry's report, orders for the shards of a stopping endpoint would be refused
// until the list is updated. A wrong report costs only a takeover, since the claim log fences the former owner.
//
// The configuration is the one in force at the call, which the entry that sent the order uses too.
func (o *OrderOwner) preferredOwner(shard int, unavailable []string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.Configuration.Current(); s != o.snapshot {
		o.deriveEndpoints(s)
	}
	for _, names := range [][]string{o.live, o.active} {
		reachable := make([]string, 0, len(names))
		for _, name := range names {
			if name == o.Name || !slices.Contains(unavailable, name) {
				reachable = append(reachable, name)
			}
		}
		if len(reachable) > 0 && o.unlisted && !slices.Contains(reachable, o.Name) {
			reachable = append(reachable, o.Name)
		}
		if owners := claim.Owners(shard, reachable); len(owners) > 0 {
			return owners[0]
		}
	}
	return o.Name
}

// logComponentError logs the error with which a component of the daemon ended, if any.
func logComponentError(log logr.Logger, err error) {
	if err != nil {
		event.Error(log, err, event.AgentPartFailed)
	}
}
