package registry

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/bootclock"
	"primrosecourse/pkg/site"
)

const (
	// MissingTime is how long an endpoint that is missing after an outage of the store is kept. Its entry comes back within
	// about two seconds, if it is alive.
	MissingTime = 2 * time.Second
	// outageMemory is how long after its last failed call the store counts as just back.
	outageMemory = 3 * time.Second
	// endpointWait and configurationWait are how long a watch waits. If its answer is lost, nothing shows that until the wait is
	// over: it is less than the time after which a gateway whose path was disturbed counts as in touch again.
	endpointWait, configurationWait = 2 * time.Second, 2 * time.Second
	// evacuationWait is the same, less than the time within which a failure domain must be left.
	evacuationWait = 4 * time.Second
	// sharedWait is the same for objects that gain by being known soon, but break nothing when they are not.
	sharedWait = 5 * time.Second
	// brokenWait is the wait of a watch after a call that failed, so that the end of the disturbance shows at once.
	brokenWait = 200 * time.Millisecond
	// endpointPace and sharedPace bound the calls while many endpoints change at once. They are small against the time within
	// which a leaving endpoint must get no more work.
	endpointPace = 300 * time.Millisecond
	sharedPace   = 150 * time.Millisecond
	// longAgo is longer than any time for which a weight version that was replaced is used.
	longAgo = time.Hour
	// versionsWait is the same for weight versions, whose view must be young for KV stores to be used.
	versionsWait = 2500 * time.Millisecond
)

// Registry follows the platform's store. Its exported fields are set before Run.
type Registry struct {
	// Name is the name of this gateway, which differs from those of all others.
	Name string
	// LoadAddress is where this gateway takes the loads of others, FailureDomain where it runs.
	LoadAddress    netip.AddrPort
	FailureDomain  string
	Configurations Source[*site.Configuration]
	Endpoints      Source[*site.Endpoint]
	Evacuations    Source[struct{}]
	Versions       Source[site.ModelVersion]
	Shared         Objects
	// Members are the objects by which gateways show that they are there. Their lists may be seconds old.
	Members Objects
	Log     logr.Logger
	// Changed is called after each change of the snapshot, one call at a time. It must not block.
	Changed func(*site.Snapshot)

	current atomic.Pointer[site.Snapshot]
	done    chan struct{}
	once    sync.Once

	mu        sync.Mutex
	next      site.Snapshot
	endpoints map[string]*site.Endpoint
	// missing holds when an endpoint that disappeared after an outage is dropped.
	missing map[string]time.Time
	members map[string]member
	// membersListed is when the gateways were last listed, zero if never.
	membersListed time.Time
	// membersTrouble is when a list of the gateways last failed.
	membersTrouble time.Time
	peers          atomic.Pointer[[]site.Gateway]
	touched        map[string]touch
	// updatingToken is the highest token seen in the object of endpoints about to change.
	updatingToken uint64

	configurations *follower[*site.Configuration]
	servers        *follower[*site.Endpoint]
	shared         *follower[json.RawMessage]
	versions       *follower[site.ModelVersion]
}

func (r *Registry) init() {
	r.once.Do(func() {
		r.done = make(chan struct{})
		r.endpoints, r.missing = map[string]*site.Endpoint{}, map[string]time.Time{}
		r.members, r.touched = map[string]member{}, map[string]touch{}
		r.next = site.Snapshot{Endpoints: map[string][]*site.Endpoint{}, Evacuated: map[string]bool{},
			Versions: map[string]uint64{}, NamedAt: map[string]time.Duration{},
			UnnamedAt: map[string]time.Duration{}, Updating: map[string]bool{}, Marks: map[uint64][]string{}, Gateways: 1}
		first := r.next
		r.current.Store(&first)
		r.configurations = &follower[*site.Configuration]{kind: "Configuration", source: r.Configurations, wait: configurationWait,
			log: r.Log, apply: r.applyConfigurations}
		r.servers = &follower[*site.Endpoint]{kind: "Endpoint", source: r.Endpoints, wait: endpointWait, pace: endpointPace, log: r.Log,
			apply: r.applyEndpoints}
		r.versions = &follower[site.ModelVersion]{kind: "Version", source: r.Versions, wait: versionsWait, log: r.Log,
			apply: r.applyVersions}
		r.shared = &follower[json.RawMessage]{kind: "Shared", source: r.Shared, wait: sharedWait, pace: sharedPace, log: r.Log,
			apply: r.applyShared}
	})
}

// Current returns the snapshot in force. It is never nil and must not be changed.
func (r *Registry) Current() *site.Snapshot {
	r.init()
	return r.current.Load()
}

// Complete reports whether a configuration and the endpoints have been read.
func (r *Registry) Complete() bool {
	return r.Current().Configuration != nil && r.servers.lastContact() > 0
}

// ConfigurationAge returns how long ago the store last confirmed the configuration.
func (r *Registry) ConfigurationAge() time.Duration {
	r.init()
	return bootclock.Now() - r.configurations.lastContact()
}

// VersionsAge returns how long ago the store last confirmed the named weight versions.
func (r *Registry) VersionsAge() time.Duration {
	r.init()
	return bootclock.Now() - r.versions.lastContact()
}

// Done is closed when Run has ended.
func (r *Registry) Done() <-chan struct{} {
	r.init()
	return r.done
}

// Run follows the store until ctx is done. It returns once all its goroutines ended.
func (r *Registry) Run(ctx context.Context) error {
	r.init()
	defer close(r.done)
	evacuations := r.evacuationsFollower()
	renew := []func(time.Time){r.configurations.renew, r.servers.renew, r.shared.renew, r.versions.renew, evacuations.renew}
	disturbed := func(since time.Time) {
		for _, f := range renew {
			f(since)
		}
	}
	r.configurations.disturbed, r.servers.disturbed, r.shared.disturbed = disturbed, disturbed, disturbed
	r.versions.disturbed, evacuations.disturbed = disturbed, disturbed
	var parts sync.WaitGroup
	for _, run := range []func(context.Context){r.configurations.run, r.servers.run, r.shared.run, evacuations.run, r.versions.run,
		r.beat, r.sweep, r.followMembers} {
		parts.Go(func() { run(ctx) })
	}
	parts.Wait()
	return nil
}

func (r *Registry) evacuationsFollower() *follower[struct{}] {
	return &follower[struct{}]{kind: "Evacuation", source: r.Evacuations, wait: evacuationWait, log: r.Log,
		apply: r.applyEvacuations}
}

// publish makes the next snapshot the current one. The caller holds mu and has replaced, not changed, what differs.
func (r *Registry) publish() {
	published := r.next
	r.current.Store(&published)
	if r.Changed != nil {
		r.Changed(&published)
	}
}

func (r *Registry) applyConfigurations(changes []Change[*site.Configuration]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range changes {
		if c.Removed || c.Err != nil {
			continue
		}
		if old := r.next.Configuration; old != nil && c.Value.Version <= old.Version {
			event.Info(r.Log, event.ConfigurationIgnored, "version", c.Value.Version, "inForce", old.Version)
			continue
		}
		r.next.Configuration = c.Value
		event.Info(r.Log, event.ConfigurationApplied, "version", c.Value.Version, "revision", c.Revision,
			"routes", len(c.Value.Routes), "organisations", len(c.Value.Organisations))
		r.publish()
	}
}

func (r *Registry) applyEndpoints(changes []Change[*site.Endpoint]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	recent := now.Sub(r.servers.lastTrouble()) < outageMemory
	for _, c := range changes {
		old := r.endpoints[c.Name]
		switch {
		case c.Removed && old != nil && recent && old.State == site.Ready:
			r.missing[c.Name] = now.Add(MissingTime)
			event.Info(r.Log, event.EndpointMissing, "endpoint", c.Name, "revision", c.Revision)
		case c.Removed || c.Err != nil:
			delete(r.endpoints, c.Name)
			delete(r.missing, c.Name)
			event.Info(r.Log, event.EndpointRemoved, "endpoint", c.Name, "revision", c.Revision)
		default:
			delete(r.missing, c.Name)
			r.endpoints[c.Name] = c.Value
			if old == nil || old.State != c.Value.State || !old.Born.Equal(c.Value.Born) || c.Value.ColdRemaining > 0 {
				event.Info(r.Log, event.EndpointListed, "endpoint", c.Name, "service", c.Value.Service, "state", c.Value.State.String(),
					"failureDomain", c.Value.FailureDomain, "coldMs", c.Value.ColdRemaining.Milliseconds(), "revision", c.Revision)
			}
		}
	}
	if len(changes) > 0 {
		r.publishEndpoints()
	}
}

func (r *Registry) publishEndpoints() {
	byService := map[string][]*site.Endpoint{}
	for _, e := range r.endpoints {
		byService[e.Service] = append(byService[e.Service], e)
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b *site.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	r.next.Endpoints = byService
	r.publish()
}

// sweep drops endpoints that stayed missing and members that fell silent.
func (r *Registry) sweep(ctx context.Context) {
	ticker := time.NewTicker(250 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.sweepOnce(now)
		}
	}
}

func (r *Registry) sweepOnce(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	dropped := false
	for id, until := range r.missing {
		if now.Before(until) {
			continue
		}
		delete(r.missing, id)
		delete(r.endpoints, id)
		dropped = true
		event.Info(r.Log, event.EndpointRemoved, "endpoint", id, "reason", "missing after an outage of the store")
	}
	if dropped {
		r.publishEndpoints()
	}
}

func (r *Registry) applyEvacuations(changes []Change[struct{}]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(changes) == 0 {
		return
	}
	evacuated := maps.Clone(r.next.Evacuated)
	for _, c := range changes {
		delete(evacuated, c.Name)
		if !c.Removed {
			evacuated[c.Name] = true
		}
		event.Info(r.Log, event.DomainEvacuated, "failureDomain", c.Name, "evacuated", !c.Removed, "revision", c.Revision)
	}
	r.next.Evacuated = evacuated
	r.publish()
}

func (r *Registry) applyVersions(changes []Change[site.ModelVersion]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range changes {
		if c.Removed || c.Err != nil || c.Value.Version <= r.next.Versions[c.Value.Model] {
			continue
		}
		versions, named, unnamed := maps.Clone(r.next.Versions), maps.Clone(r.next.NamedAt), maps.Clone(r.next.UnnamedAt)
		// The call that brought the version is not counted as contact yet.
		versions[c.Value.Model], named[c.Value.Model] = c.Value.Version, bootclock.Now()
		unnamed[c.Value.Model] = r.versions.lastContact()
		if unnamed[c.Value.Model] == 0 {
			// It was there when the store was first read and may have been named at any time before.
			unnamed[c.Value.Model] = -longAgo
		}
		r.next.Versions, r.next.NamedAt, r.next.UnnamedAt = versions, named, unnamed
		event.Info(r.Log, event.WeightVersionNamed, "model", c.Value.Model, "version", c.Value.Version, "revision", c.Revision)
		r.publish()
	}
}
