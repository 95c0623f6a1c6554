package buildplan

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/version/registry"
	"primrosecourse/pkg/builds"
	"primrosecourse/pkg/site"
)

const (
	// retryInterval is the time after which a failed call is repeated first; each further time is twice as long, up to maxRetryInterval.
	retryInterval    = 250 * time.Millisecond
	maxRetryInterval = 2 * time.Second
	// rankDelay is how much longer each gateway waits before it proposes a plan than the one before it in the order.
	rankDelay = 300 * time.Millisecond
	// maxRank limits the wait of gateways late in the order.
	maxRank = 10
	// settleTime is how long the endpoints must call for another plan before it is proposed, unless streams can't begin before.
	settleTime = 700 * time.Millisecond
	// reportPatience is how long such a plan waits for gateways that have not reported on the present one.
	reportPatience = 5 * time.Second
	// firstEra is the era of a store that was never restored.
	firstEra = 1
	// coldWeight is the capacity of a cold endpoint, that of others being 1.
	coldWeight = 0.5
)

// View provides the state of the site. registry.Registry implements it.
type View interface {
	Current() *site.Snapshot
	// Rank returns the number of gateways that precede this one in the order for a name.
	Rank(name string) int
}

// Objects reads and writes the shared objects of the gateways. registry.Objects implements it.
type Objects interface {
	Get(ctx context.Context, name string) (value json.RawMessage, revision uint64, err error)
	Put(ctx context.Context, name string, revision uint64, value any) (next uint64, err error)
}

// Planner proposes plans of builds and reports the streams of this gateway. Its exported fields must be set before Run.
type Planner struct {
	// Name is the name of this gateway.
	Name    string
	View    View
	Objects Objects
	Book    *builds.Book
	Log     logr.Logger

	initOnce sync.Once
	changed  chan struct{}
	done     chan struct{}
	// revision is that of this gateway's report, 0 if there is none.
	revision uint64
	restored bool
	// failures counts the failed calls since the last one that succeeded. No call is made before retryAt.
	failures      int
	retryAt       time.Time
	confirmations confirmations
	reads         sync.WaitGroup
	eras          eras
	// wantedSince is since when the endpoints call for another plan, zero if they do not, and jitter a random part of the wait before it is
	// proposed.
	wantedSince time.Time
	jitter      time.Duration
}

func (p *Planner) init() {
	p.initOnce.Do(func() { p.changed, p.done = make(chan struct{}, 1), make(chan struct{}) })
}

// Changed tells the planner that the endpoints or the plan may have changed. It does not block.
func (p *Planner) Changed() {
	p.init()
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Done returns a channel that is closed when Run has ended.
func (p *Planner) Done() <-chan struct{} {
	p.init()
	return p.done
}

// Run plans and reports until ctx is done.
func (p *Planner) Run(ctx context.Context) error {
	p.init()
	defer close(p.done)
	defer p.reads.Wait()
	for {
		var timer <-chan time.Time
		if wait, again := p.step(ctx, time.Now()); again {
			timer = time.After(wait)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-p.changed:
		case <-timer:
		}
	}
}

// step makes the calls that are due. again is true if the next step is due after wait even if nothing changes.
func (p *Planner) step(ctx context.Context, now time.Time) (wait time.Duration, again bool) {
	if wait = p.retryAt.Sub(now); wait > 0 {
		return wait, true
	}
	if !p.restored && !p.restore(ctx) {
		return p.afterFailure(now), true
	}
	if report, due := p.Book.Due(now); due && !p.write(ctx, report) {
		return p.afterFailure(now), true
	}
	return p.plan(ctx, now)
}

// afterFailure returns the time after which a failed call is repeated.
func (p *Planner) afterFailure(now time.Time) time.Duration {
	wait := min(maxRetryInterval, retryInterval<<min(p.failures, 8))
	wait = wait/2 + rand.N(wait)
	p.failures++
	p.retryAt = now.Add(wait)
	return wait
}

// restore reads the report of an earlier incarnation of this gateway.
func (p *Planner) restore(ctx context.Context) bool {
	value, revision, err := p.Objects.Get(ctx, registry.StreamsName(p.Name))
	var report *builds.Report
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return false
	default:
		report = &builds.Report{}
		if err := json.Unmarshal(value, report); err != nil {
			event.Info(p.Log, event.ObjectUnreadable, "kind", "Shared", "name", registry.StreamsName(p.Name), "reason", err.Error())
			// Nothing is known of the streams of the earlier incarnation.
			report = &builds.Report{LongestMs: builds.MaxTakeUpTime.Milliseconds()}
		}
		if era := registry.Era(revision); era > report.Era {
			// The store came back from a copy: later plans and reports may be lost.
			report.Number, report.ListsUnplanned = 0, false
		}
	}
	number, err := p.latest(ctx)
	if err != nil {
		return false
	}
	p.restored, p.revision, p.failures = true, revision, 0
	p.Book.Require(number)
	if report == nil && number == 0 && registry.Era(revision) > firstEra {
		// The copy from which the store came back may be older than the first plan.
		p.Book.Restore(time.Now(), &builds.Report{})
		p.Book.Unstored()
	} else {
		p.Book.Restore(time.Now(), report)
	}
	return true
}

// write stores the report of this gateway.
func (p *Planner) write(ctx context.Context, report *builds.Report) bool {
	name := registry.StreamsName(p.Name)
	report.Era = registry.Era(p.revision)
	next, err := p.Objects.Put(ctx, name, p.revision, report)
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
		var revision uint64
		if _, revision, err = p.Objects.Get(ctx, name); err == nil || errors.Is(err, platform.ErrNotFound) {
			report.Era = registry.Era(revision)
			next, err = p.Objects.Put(ctx, name, revision, report)
		}
	}
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	event.Info(p.Log, event.StreamsReported, "number", report.Number, "streams", len(report.Streams), "unlistedFrom", report.UnlistedFrom,
		"unlistedMs", report.UnlistedMs, "reason", reason)
	if err != nil {
		p.Book.Failed()
		return false
	}
	p.revision, p.failures = next, 0
	if registry.Era(next) != report.Era {
		// The era of a first report is known only once it has been stored.
		p.Book.Outdated()
		p.Changed()
	}
	if report.UnlistedMs > 0 {
		time.AfterFunc(time.Duration(report.UnlistedMs)*time.Millisecond+rand.N(time.Second), p.Changed)
	}
	// Gateways that know a later plan then also know this report.
	number, err := p.latest(ctx)
	if err != nil {
		p.Book.Failed()
		return false
	}
	p.Book.Stored(number)
	return true
}

// plan proposes the next plan if it is due.
func (p *Planner) plan(ctx context.Context, now time.Time) (wait time.Duration, again bool) {
	snapshot := p.View.Current()
	supply := supplyOf(snapshot)
	if supply == nil {
		return 0, false
	}
	next, changed, urgent := builds.Next(p.Book.Plan(), supply)
	if p.Book.Disputed() {
		changed, urgent = true, true
	}
	if !changed {
		p.wantedSince = time.Time{}
		return 0, false
	}
	if p.wantedSince.IsZero() {
		p.wantedSince, p.jitter = now, rand.N(rankDelay)
	}
	delay := time.Duration(min(maxRank, p.View.Rank(registry.BuildPlanName()))) * rankDelay
	if delay > 0 || p.Book.Plan() == nil {
		delay += p.jitter
	}
	if !urgent && !isMoving(snapshot, supply) {
		delay += settleTime
		if !p.Book.AllReported() {
			delay += reportPatience - settleTime
		}
	}
	if wait = p.wantedSince.Add(delay).Sub(now); wait > 0 {
		return min(wait, retryInterval), true
	}
	if !p.propose(ctx, next, supply) {
		return p.afterFailure(now), true
	}
	p.failures = 0
	// If the plan does not take effect, it is proposed again.
	p.wantedSince = time.Now()
	return retryInterval, true
}

// propose writes a plan unless the store has a later one than the present. It takes effect when the registry reads it: gateways must learn of
// plans and reports in the order in which these were written.
func (p *Planner) propose(ctx context.Context, next *builds.Plan, supply builds.Supply) bool {
	number, revision, err := p.stored(ctx)
	disputed := p.Book.Disputed()
	if err == nil && number >= next.Number && !disputed {
		return true
	}
	if disputed {
		next = builds.Reissue(next, max(next.Number, number+1))
	}
	if err == nil {
		_, err = p.Objects.Put(ctx, registry.BuildPlanName(), revision, next)
	}
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	event.Info(p.Log, event.BuildPlanProposed, "number", next.Number, "supply", supply, "waitedMs", time.Since(p.wantedSince).Milliseconds(),
		"reason", reason)
	return err == nil || errors.Is(err, platform.ErrConflict)
}

// stored returns the number of the plan in the store and the revision of its object, 0 if there is none. An object that is no plan has the
// number 0.
func (p *Planner) stored(ctx context.Context) (number, revision uint64, err error) {
	value, revision, err := p.Objects.Get(ctx, registry.BuildPlanName())
	if errors.Is(err, platform.ErrNotFound) {
		return 0, revision, nil
	}
	if err != nil {
		return 0, 0, err
	}
	plan := &builds.Plan{}
	if json.Unmarshal(value, plan) != nil || plan.Validate() != nil {
		return 0, revision, nil
	}
	return plan.Number, revision, nil
}

// errRestored means that the store was restored a moment ago, so that a later plan may not have been written again yet.
var errRestored = errors.New("the store was restored")

// latest returns the number of the plan in the store. Errors: those of the store, errRestored.
func (p *Planner) latest(ctx context.Context) (number uint64, err error) {
	number, revision, err := p.stored(ctx)
	if err != nil {
		return 0, err
	}
	if !p.eras.settled(registry.Era(revision), time.Now()) {
		return 0, errRestored
	}
	return number, nil
}

// supplyOf returns the capacity of each build of the services with resumable streams, nil if there is no configuration.
func supplyOf(s *site.Snapshot) builds.Supply {
	if s.Configuration == nil {
		return nil
	}
	supply := builds.Supply{}
	for i := range s.Configuration.Routes {
		route := &s.Configuration.Routes[i]
		if route.Repeat != site.Resume {
			continue
		}
		for _, share := range route.Shares {
			if supply[share.Service] == nil {
				supply[share.Service] = capacities(s, share.Service)
			}
		}
	}
	return supply
}

func capacities(s *site.Snapshot, service string) map[string]float64 {
	capacity := map[string]float64{}
	for _, e := range s.Endpoints[service] {
		switch {
		case e.State != site.Ready || s.Evacuated[e.FailureDomain]:
		case e.ColdRemaining > 0:
			capacity[e.Build] += coldWeight
		default:
			capacity[e.Build]++
		}
	}
	limitTarget(capacity, s, service)
	return capacity
}

// limitTarget gives the target of a service's rollout its share of the capacity. The old builds keep the streams if the target has no
// endpoints, and the target gets all if it is the only build, unless it must not get any.
func limitTarget(capacity map[string]float64, s *site.Snapshot, service string) {
	target, share, ok := s.TargetShare(service)
	if !ok {
		return
	}
	olds := 0.0
	for build, n := range capacity {
		if build != target {
			olds += n
		}
	}
	switch {
	case capacity[target] == 0:
	case share == 0:
		delete(capacity, target)
	case share >= 1:
		for build := range capacity {
			if build != target {
				delete(capacity, build)
			}
		}
	case olds > 0:
		// In steps, so that few plans follow each other, and at least a bucket.
		buckets := min(max(1, math.Exp2(math.Round(math.Log2(share*builds.Buckets)))), builds.Buckets/2)
		capacity[target] = olds * buckets / (builds.Buckets - buckets)
	}
}

// isMoving reports whether a rollout of a service with resumable streams is not decided. Its plans follow the stage at once.
func isMoving(s *site.Snapshot, supply builds.Supply) bool {
	for service := range supply {
		if r := s.Rollouts[service]; r != nil && r.State == site.RolloutActive {
			return true
		}
	}
	return false
}
