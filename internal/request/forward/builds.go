package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosecourse/internal/connection/endpoint"
	"primrosecourse/internal/event"
	"primrosecourse/pkg/builds"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
)

const (
	// buildGonePause is after what time a caller may ask again for a stream whose build has no endpoint.
	buildGonePause = time.Second
	// minBuildPause is the shortest time after which a caller may ask again for a stream whose build is not known yet.
	minBuildPause = 200 * time.Millisecond
	// planPatience is how long a stream that is taken up waits until the plan is known, planPollInterval the time between two looks at it.
	planPatience     = 700 * time.Millisecond
	planPollInterval = 10 * time.Millisecond
	// takeUpPatience limits all that such a stream waits for, askDelay is how long it waits before the other gateways are asked which build began it.
	takeUpPatience = 800 * time.Millisecond
	askDelay       = 100 * time.Millisecond
	// reportPatience is how long after a change of the plan reports are waited for.
	reportPatience = 1500 * time.Millisecond
	// drainingUse is for how long an endpoint that begins to leave still gets streams of its build if no other endpoint has it.
	drainingUse = 500 * time.Millisecond
)

// pinning is the build to which the stream of a request is bound.
type pinning struct {
	// active is set if the stream is bound to build.
	active bool
	build  string
	stream builds.Stream
	// takenUp is set if the caller has a part of the stream already.
	takenUp bool
	// begun is set once an endpoint has brought an event.
	begun bool
	// unstated are the endpoints that brought events and whose start was not confirmed, as they were listed then.
	unstated []*site.Endpoint
}

// isTakeUp reports whether the caller has a part of the stream already.
func (m *Meta) isTakeUp() bool { return m.LastEvent != "" || m.Resumes != "" }

// origin returns the ID of the request that brought, or may bring, the first event of a stream, empty if the caller does not state it.
func (m *Meta) origin() string {
	if m.isTakeUp() {
		return m.Resumes
	}
	return m.ID
}

// pin binds a resumable stream to a build. If it returns false, it has refused the request.
func (req *request) pin(now time.Time) bool {
	if req.handler.Builds == nil || req.route.Repeat != site.Resume {
		return true
	}
	req.pinned.stream, req.pinned.takenUp = req.buildStream(), req.meta.isTakeUp()
	if req.pinned.takenUp {
		return req.pinTakeUp()
	}
	return req.pinNew(now)
}

// pinNew binds a new stream to the build of the plan.
func (req *request) pinNew(now time.Time) bool {
	p, book := &req.pinned, req.handler.Builds
	// A stream of a length that is not reported yet is served if the store does not answer.
	req.await(func() bool { return book.Covers(now, p.stream.Until) })
	if !req.await(book.Ready) {
		req.refuse(http.StatusServiceUnavailable, "BuildsNotReported", "the gateway has not reported its streams yet", minBuildPause+rand.N(minBuildPause))
		return false
	}
	// If the build has no endpoint, the next plan is under way. The stream is recorded at one build only, as the record may be reported at once.
	req.await(func() bool {
		req.snapshot = req.handler.View.Current()
		p.build, p.active = book.Planned(p.stream)
		return !p.active || !req.allowsBuild(p.build) || len(req.endpointsOfBuild(time.Now())) > 0
	})
	if p.active && !req.allowsBuild(p.build) {
		p.active = false
		req.handler.count("Rollouts.Denied." + req.service)
		req.refuse(http.StatusServiceUnavailable, "Rollout", "the build of the stream gets no requests now", minBuildPause+rand.N(minBuildPause))
		return false
	}
	p.build, p.active = book.Begin(time.Now(), p.stream)
	return true
}

// mayHaveBegunHere reports whether a stream that the plan assigns to a build began at it if it began at another service from which the route
// was moved a moment ago, by the plan of that service.
func (req *request) mayHaveBegunHere(build string) bool {
	now := time.Now()
	for _, former := range req.snapshot.FormerServices(req.route, now) {
		if former == req.service {
			continue
		}
		stream := req.pinned.stream
		stream.Service = former
		if began, k, _ := req.handler.Builds.TakeUp(now, stream); k != builds.Planned || began != build {
			return false
		}
	}
	return true
}

// await waits for a condition, for planPatience at most, and reports whether it holds.
func (req *request) await(condition func() bool) bool { return await(req.ctx, condition) }

func await(ctx context.Context, condition func() bool) bool {
	if condition() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, planPatience)
	defer cancel()
	ticker := time.NewTicker(planPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
			if condition() {
				return true
			}
		}
	}
}

// message returns the text of an error, empty for nil.
func message(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// buildStream returns how the stream of the request is identified. Long prompts keep to one build, so that their cached parts are of use.
func (req *request) buildStream() builds.Stream {
	s := builds.Stream{Service: req.service, Until: req.started.Add(req.waiting())}
	if id := req.meta.origin(); id != "" {
		s.ID = streamID(id)
		s.Key, s.KeyKnown = s.ID, true
	}
	if len(req.sharedParts()) > 0 && req.meta.PromptTokens > shortPromptTokens {
		s.Key, s.KeyKnown = req.ringKey(), true
	}
	return s
}

// streamID returns the hash of a request ID. It is never 0.
func streamID(id string) uint64 { return max(1, xxhash.Sum64String(id)) }

// waiting returns for how long the caller waits, which may be longer than the route allows.
func (req *request) waiting() time.Duration {
	if req.meta.Timeout > 0 {
		return req.meta.Timeout
	}
	return defaultTimeout
}

// endpointsOfBuild returns the eligible endpoints of the build to which the stream is bound. If there are none, it returns those that began
// to leave a moment ago. It returns none if the rollout of the service does not allow the build.
func (req *request) endpointsOfBuild(now time.Time) []*site.Endpoint {
	if !req.allowsBuild(req.pinned.build) {
		return nil
	}
	r := req.handler.serviceRing(req.snapshot, req.service, &req.pinned.build)
	if len(r.eligible) > 0 {
		return r.eligible
	}
	var leaving []*site.Endpoint
	for _, e := range req.snapshot.Endpoints[req.service] {
		if e.Build == req.pinned.build && e.State == site.Draining && now.Sub(e.DrainingSince) < drainingUse &&
			!req.snapshot.Evacuated[e.FailureDomain] {
			leaving = append(leaving, e)
		}
	}
	return leaving
}

// bind binds a stream that no plan covers to the build of the endpoint to which it is to be sent first. It returns false if the stream may not begin,
// since it could not be reported before.
func (req *request) bind(e *site.Endpoint) bool {
	book := req.handler.Builds
	if book == nil || req.route.Repeat != site.Resume || req.pinned.active {
		return true
	}
	req.pinned.active, req.pinned.build = true, e.Build
	number := book.Begun(time.Now(), req.pinned.stream, e.Build)
	return req.await(func() bool { return book.ReportsUnplanned(number) })
}

// incarnation returns the incarnation to which a resumable stream may be sent, zero for any: the entry states the build of that one only, and may
// lag behind an endpoint that has started again, with another build, under its ID. If an entry states no start, a stream may begin there, but is
// resumed only if the endpoint states none either.
func (req *request) incarnation(e *site.Endpoint) time.Time {
	if !req.pinned.active || (!e.StatesStart() && !req.pinned.takenUp && !req.w.Started()) {
		return time.Time{}
	}
	return e.StartedAt
}

// handleOtherIncarnation handles an attempt that was not sent since the endpoint is another incarnation than the listed one.
func (a *attempt) handleOtherIncarnation(err *endpoint.IncarnationError) {
	a.req.logBuildLost(a.endpoint, err.StartedAt)
	a.req.handler.count("Builds.NotCurrent")
	a.recordOutcome(placement.Abandoned)
}

func (req *request) logBuildLost(e *site.Endpoint, startedAt time.Time) {
	event.Info(req.handler.Log, event.StreamBuildLost, "request", req.meta.ID, "endpoint", e.ID, "build", req.pinned.build,
		"listed", e.StartedAt, "startedAt", startedAt, "entry", e.Revision)
}

// recordSource records that the endpoint of the attempt brings events, and reports whether its build is certain: if its start was not confirmed,
// its entry may lag behind one that has started again under its ID.
func (a *attempt) recordSource(answer *endpoint.Answer) bool {
	req := a.req
	if !req.pinned.active {
		return true
	}
	if !req.pinned.begun && !req.pinned.takenUp {
		req.handler.Builds.Brought(req.pinned.stream.ID)
	}
	req.pinned.begun = true
	if !answer.Incarnation().IsZero() && a.endpoint.StatesStart() || slices.Contains(req.pinned.unstated, a.endpoint) {
		return true
	}
	req.pinned.unstated = append(req.pinned.unstated, a.endpoint)
	if !req.pinned.takenUp {
		req.handler.Builds.BroughtBy(req.pinned.stream.ID, a.endpoint.ID)
	}
	return req.sourcesAreListed()
}

// sourcesAreListed reports whether no endpoint that brought events without a confirmed start is listed with another build by now.
func (req *request) sourcesAreListed() bool {
	listed := req.handler.View.Current().Endpoints[req.service]
	for _, source := range req.pinned.unstated {
		for _, e := range listed {
			if e.ID == source.ID && e.Build != req.pinned.build {
				req.doubtBuild(source, e.StartedAt)
				return false
			}
		}
	}
	return true
}

// doubtBuild records that it is not certain which incarnation of an endpoint brought events.
func (req *request) doubtBuild(e *site.Endpoint, startedAt time.Time) {
	req.logBuildLost(e, startedAt)
	req.handler.count("Builds.Lost")
	if !req.pinned.takenUp {
		req.handler.Builds.Doubt(time.Now(), req.pinned.stream)
	}
}

// releaseStream forgets the stream if no event of it was sent to the caller.
func (req *request) releaseStream() {
	p := &req.pinned
	if p.active && !p.takenUp && req.handler.Builds != nil && !p.begun {
		req.handler.Builds.Forget(p.stream)
	}
}
