package registry

import (
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
	"primrosecourse/pkg/builds"
	"primrosecourse/pkg/quarantine"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/staleness"
)

const (
	// MissingTime is how long after the end of an outage of the store a ready endpoint that is missing is kept. The object of a live
	// endpoint is written again within about two seconds, of which a gateway misses some. It is shorter than the time for which an
	// endpoint serves after its removal, so that a removal just before the end of the outage is obeyed in time, too.
	MissingTime = 1750 * time.Millisecond
	// endpointWatchTimeout and configurationWatchTimeout are how long a watch waits for a change. A lost response goes unnoticed
	// until then, so both are shorter than the time after which a gateway counts as connected again once its network path to
	// the store has recovered.
	endpointWatchTimeout, configurationWatchTimeout = 2 * time.Second, 2 * time.Second
	// evacuationWatchTimeout is how long a watch of evacuations waits. It is shorter than the time within which a failure domain
	// must be left.
	evacuationWatchTimeout = 4 * time.Second
	// sharedWatchTimeout is how long a watch of shared objects waits. They are useful when known soon, but a delay breaks
	// nothing.
	sharedWatchTimeout = 5 * time.Second
	// recoveryWatchTimeout is how long a watch waits after a failed call. It is short so that the end of the disruption is
	// detected at once.
	recoveryWatchTimeout = 200 * time.Millisecond
	// endpointSettleTime is how long a list of a restored store does not replace the known endpoints. The object of an endpoint that has left is
	// removed three heartbeats after the return of the store.
	endpointSettleTime = 5 * time.Second
	// departureRetention is how long it is remembered that an endpoint has left, or that a failure domain is no longer evacuated, so that a
	// restored store does not undo it. It exceeds the age of a copy.
	departureRetention = time.Minute
	// endpointMinInterval and sharedMinInterval limit the rate of calls while many endpoints change at once. They are much
	// shorter than the time within which a leaving endpoint must stop receiving work.
	endpointMinInterval = 300 * time.Millisecond
	sharedMinInterval   = 150 * time.Millisecond
	// unnamedBeforeBoot is how long before the boot of the machine a weight version that the first read found is assumed to have
	// been still unnamed (see site.Naming). It is longer than any time for which a replaced weight version is used.
	unnamedBeforeBoot = time.Hour
	// versionsWatchTimeout is how long a watch of weight versions waits. KV stores are used only while the versions were
	// confirmed recently.
	versionsWatchTimeout = 2500 * time.Millisecond
)

// Registry follows the platform's store and publishes snapshots of the site. Its exported fields must be set before Run.
type Registry struct {
	// Name is the name of this gateway, unique among all gateways.
	Name string
	// LoadAddress is where this gateway receives the load reports of the others; FailureDomain is where it runs.
	LoadAddress    netip.AddrPort
	FailureDomain  string
	Configurations Source[*site.Configuration]
	Endpoints      Source[*site.Endpoint]
	Evacuations    Source[struct{}]
	Versions       Source[site.ModelVersion]
	// Rollouts are the orders to move services to other builds. It may be nil.
	Rollouts Source[*site.Rollout]
	Shared   Objects
	// Ages counts the time since weight versions were named. Default: a new staleness.Ages.
	Ages *staleness.Ages
	// Builds is told the plan of builds and the reports of the gateways. It may be nil.
	Builds *builds.Book
	// Members are the heartbeat objects of the gateways. Their lists may be seconds old.
	Members Objects
	// CurrentMembers lists the same objects, up to date. It may be nil; GatewaysAt then returns none.
	CurrentMembers Source[json.RawMessage]
	Log            logr.Logger
	// Changed is called after each change of the snapshot, one call at a time. It must not block or call Rank, IsLeader,
	// Leaders, OtherGateways or GatewaysAt, because the registry is locked meanwhile.
	Changed func(*site.Snapshot)

	current  atomic.Pointer[site.Snapshot]
	done     chan struct{}
	initOnce sync.Once

	mu sync.Mutex
	// next is the snapshot that publish makes current.
	next      site.Snapshot
	endpoints map[string]*site.Endpoint
	// restored receives a value when the store was restored from a copy, unless an earlier value has not been read yet.
	restored chan struct{}
	// missingUntil maps each endpoint that disappeared after an outage to the time at which it is dropped.
	missingUntil map[string]time.Time
	// missingChanged receives a value when an endpoint is added to missingUntil.
	missingChanged chan struct{}
	// departed holds the endpoints that have left, by ID, and reinstated the failure domains that are no longer evacuated, with the time.
	departed   map[string]departure
	reinstated map[string]time.Time
	members    map[string]member
	// membersListedAt is when the gateways were last listed, zero if never.
	membersListedAt time.Time
	// membersAskedAt is when the call began that listed them. absentSince is since when the gateways are absent that have a report of streams.
	membersAskedAt time.Time
	absentSince    map[string]time.Time
	// membersEra is the era of the last list, and membersRestoredAt when a list first showed the last restore.
	membersEra        uint64
	membersRestoredAt time.Time
	// membersFailedAt is when listing the gateways last failed, zero if never.
	membersFailedAt time.Time
	presence        presence // of this gateway
	// currentGateways is the last list that was up to date, nil if there is none that is certain to be complete; listSignal receives a value when
	// another one is to be made.
	currentGateways *currentGateways
	listSignal      chan struct{}
	peers           atomic.Pointer[[]site.Gateway]
	// sharedChanges holds the last change of each shared object. rewrites are those that a restored store lost or has an older state of, and
	// that this gateway may write again.
	sharedChanges map[string]observedChange
	rewrites      []rewrite
	rewriteSignal chan struct{}
	// unreadableShared and unreadableMembers are the shared objects and those of gateways that cannot be decoded.
	unreadableShared, unreadableMembers unreadable
	// storedRollouts and rolloutReports are what the store has of the states of rollouts, by service, and the reports of the gateways.
	storedRollouts map[string]StoredRollout
	rolloutReports map[string]RolloutReport
	// heldBuilds are the builds whose endpoints are not used until the rollouts have been confirmed, with the time since when.
	heldBuilds map[build]time.Time
	// endpointsListedAt is when the endpoints were listed for the first time. rolloutsConfirmed is set once the rollouts have been confirmed by a
	// call that began after it.
	endpointsListedAt time.Time
	rolloutsConfirmed atomic.Bool
	// updatingToken is the highest fencing token seen in the Updating object.
	updatingToken uint64

	configurationFollower *follower[*site.Configuration]
	endpointFollower      *follower[*site.Endpoint]
	sharedFollower        *follower[json.RawMessage]
	versionFollower       *follower[site.ModelVersion]
	rolloutFollower       *follower[*site.Rollout]
}

func (r *Registry) init() {
	r.initOnce.Do(func() {
		r.done = make(chan struct{})
		r.unreadableShared, r.unreadableMembers = unreadable{}, unreadable{}
		if r.Ages == nil {
			r.Ages = &staleness.Ages{}
		}
		r.endpoints, r.missingUntil = map[string]*site.Endpoint{}, map[string]time.Time{}
		r.missingChanged = make(chan struct{}, 1)
		r.departed, r.reinstated = map[string]departure{}, map[string]time.Time{}
		r.storedRollouts, r.rolloutReports, r.heldBuilds = map[string]StoredRollout{}, map[string]RolloutReport{}, map[build]time.Time{}
		r.members, r.sharedChanges = map[string]member{}, map[string]observedChange{}
		r.restored, r.rewriteSignal, r.listSignal = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
		r.next = site.Snapshot{Endpoints: map[string][]*site.Endpoint{}, Evacuated: map[string]bool{},
			Versions: map[string]uint64{}, Namings: map[string]site.Namings{},
			Updating: map[string]bool{}, Marks: map[uint64]quarantine.Evidence{}, Gateways: 1}
		first := r.next
		r.current.Store(&first)
		r.configurationFollower = &follower[*site.Configuration]{kind: "Configuration", source: r.Configurations,
			watchTimeout: configurationWatchTimeout, log: r.Log, apply: r.applyConfigurations, onRestored: r.signalRestored}
		r.endpointFollower = &follower[*site.Endpoint]{kind: "Endpoint", source: r.Endpoints,
			watchTimeout: endpointWatchTimeout, minInterval: endpointMinInterval, settleTime: endpointSettleTime, log: r.Log,
			apply: r.applyEndpoints}
		r.versionFollower = &follower[site.ModelVersion]{kind: "Version", source: r.Versions,
			watchTimeout: versionsWatchTimeout, log: r.Log, apply: r.applyVersions,
			onLost:     func() { r.Ages.StoreLost(bootclock.Now()) },
			onRegained: func() { r.Ages.StoreRegained(bootclock.Now()) }}
		r.sharedFollower = &follower[json.RawMessage]{kind: "Shared", source: r.Shared,
			watchTimeout: sharedWatchTimeout, minInterval: sharedMinInterval, log: r.Log, apply: r.applyShared}
		if r.rolloutFollower = r.newRolloutFollower(); r.rolloutFollower != nil {
			r.sharedFollower.timeout = r.sharedTimeout
		}
	})
}

// Current returns the current snapshot. It is never nil and must not be modified.
func (r *Registry) Current() *site.Snapshot {
	r.init()
	return r.current.Load()
}

// Complete reports whether a configuration, the endpoints, the weight versions and the rollouts have been read.
func (r *Registry) Complete() bool {
	return r.Current().Configuration != nil && r.endpointFollower.lastComplete() > 0 && r.versionFollower.lastComplete() > 0 &&
		r.KnowsRollouts()
}

// ConfigurationAge returns how long ago the store last confirmed the configuration, or the time since the boot of the machine
// if it never did.
func (r *Registry) ConfigurationAge() time.Duration {
	r.init()
	return bootclock.Now() - r.configurationFollower.lastComplete()
}

// VersionsAge returns how long ago the store last confirmed the weight versions, or the time since the boot of the machine if
// it never did.
func (r *Registry) VersionsAge() time.Duration {
	r.init()
	return bootclock.Now() - r.versionFollower.lastComplete()
}

// ReplacedFor returns the time since the first version of a model above the given one was named, as staleness.Ages counts it.
func (r *Registry) ReplacedFor(model string, version uint64) time.Duration {
	r.init()
	return r.Ages.ReplacedFor(model, version, bootclock.Now())
}

// Done returns a channel that is closed when Run has ended.
func (r *Registry) Done() <-chan struct{} {
	r.init()
	return r.done
}

// Run follows the store until ctx is done. It returns nil once all its goroutines have ended.
func (r *Registry) Run(ctx context.Context) error {
	r.init()
	defer close(r.done)
	evacuations := r.newEvacuationFollower()
	restartWatches := []func(time.Time){r.configurationFollower.restartWatch, r.endpointFollower.restartWatch,
		r.sharedFollower.restartWatch, r.versionFollower.restartWatch, evacuations.restartWatch}
	onDisruption := func(before time.Time) {
		for _, restart := range restartWatches {
			restart(before)
		}
	}
	r.configurationFollower.onDisruption, r.endpointFollower.onDisruption, r.sharedFollower.onDisruption =
		onDisruption, onDisruption, onDisruption
	r.versionFollower.onDisruption, evacuations.onDisruption = onDisruption, onDisruption
	var tasks sync.WaitGroup
	if r.rolloutFollower != nil {
		r.rolloutFollower.onDisruption = onDisruption
		restartWatches = append(restartWatches, r.rolloutFollower.restartWatch)
		tasks.Go(func() { r.rolloutFollower.run(ctx) })
	}
	if r.CurrentMembers != nil {
		tasks.Go(func() { r.listCurrent(ctx) })
	}
	for _, run := range []func(context.Context){r.configurationFollower.run, r.endpointFollower.run, r.sharedFollower.run,
		evacuations.run, r.versionFollower.run, r.heartbeat, r.dropMissing, r.followMembers, r.rewriteLost} {
		tasks.Go(func() { run(ctx) })
	}
	tasks.Wait()
	return nil
}

func (r *Registry) newEvacuationFollower() *follower[struct{}] {
	return &follower[struct{}]{kind: "Evacuation", source: r.Evacuations, watchTimeout: evacuationWatchTimeout, log: r.Log,
		apply: r.applyEvacuations}
}

// signalRestored makes the heartbeat write the object of this gateway again at once, and list the gateways.
func (r *Registry) signalRestored() {
	select {
	case r.restored <- struct{}{}:
	default:
	}
}

// publish makes next the current snapshot. The caller must hold mu, and must have replaced the maps and slices that differ rather
// than modified them, since published snapshots share them.
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
		if old := r.next.Configuration; old != nil {
			now := time.Now()
			moved := slices.DeleteFunc(slices.Clone(r.next.Moved), func(m site.MovedRoute) bool { return now.Sub(m.At) > site.MovedTime })
			r.next.Moved = append(moved, old.Moved(c.Value, now)...)
		}
		r.next.Configuration = c.Value
		event.Info(r.Log, event.ConfigurationApplied, "version", c.Value.Version, "revision", c.Revision,
			"routes", len(c.Value.Routes), "organisations", len(c.Value.Organisations), "headerBytes", c.Value.Limits.HeaderBytes,
			"bodyBytes", c.Value.Limits.BodyBytes, "headerTimeoutMs", c.Value.Limits.HeaderTimeout.Milliseconds(),
			"idleTimeoutMs", c.Value.Limits.IdleTimeout.Milliseconds())
		r.publish()
	}
}

func (r *Registry) applyEvacuations(changes []Change[struct{}]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(changes) == 0 {
		return
	}
	now := time.Now()
	evacuated := maps.Clone(r.next.Evacuated)
	for _, c := range changes {
		if at, ok := r.reinstated[c.Name]; c.Copied && (c.Removed || (ok && now.Sub(at) < departureRetention)) {
			continue
		}
		delete(evacuated, c.Name)
		delete(r.reinstated, c.Name)
		if c.Removed {
			r.reinstated[c.Name] = now
		}
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
		versions, namings := maps.Clone(r.next.Versions), maps.Clone(r.next.Namings)
		// The results of the calls before this one did not have this version.
		now, unnamedAt := bootclock.Now(), r.versionFollower.lastComplete()
		naming := site.Naming{Version: c.Value.Version, NamedAt: now, UnnamedAt: unnamedAt}
		r.Ages.Named(c.Value.Model, c.Value.Version, now, unnamedAt != 0)
		if unnamedAt == 0 {
			// The first read of the store returned the version, so it may have been named at any earlier time.
			naming.UnnamedAt = -unnamedBeforeBoot
		}
		versions[c.Value.Model], namings[c.Value.Model] = c.Value.Version, namings[c.Value.Model].Add(naming)
		r.next.Versions, r.next.Namings = versions, namings
		unnamed := time.Duration(-1) * time.Millisecond
		if unnamedAt != 0 {
			unnamed = now - unnamedAt
		}
		event.Info(r.Log, event.WeightVersionNamed, "model", c.Value.Model, "version", c.Value.Version, "revision", c.Revision,
			"unnamedMs", unnamed.Milliseconds())
		r.publish()
	}
}
