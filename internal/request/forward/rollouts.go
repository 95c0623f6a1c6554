package forward

import (
	"bytes"
	"slices"
	"time"

	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/rollout"
	"primrosecourse/pkg/site"
)

// Rollouts limits what is sent to the targets of rollouts. rollout.Controller implements it.
type Rollouts interface {
	// Ready reports whether the orders are known, so that requests may be sent.
	Ready() bool
	// Side returns where a new request of a route may be sent, the target of the service's order and, if that is limited, the endpoints of
	// the target.
	Side(service, route string) (side rollout.Side, target string, endpoints []string)
	// Allows reports whether a stream that is bound to a build may be sent there now.
	Allows(service, build string) bool
	// Begin records that a request is sent to an endpoint of a build, the first time if first is set. bound is set if it must go to this
	// build. It returns false if it may not be sent there now; otherwise end must be called once when the answer has ended.
	Begin(service, route, build string, first, bound bool) (end func(rollout.Result), ok bool)
}

const (
	// maxDenied is how often a request may be placed anew since the build of its endpoint may get no request any more.
	maxDenied = 4
	// usualFirst is the time to which times to first tokens are scaled: those of prompts differ by what is cached. firstMargin is added to the
	// expected times, since the network and the engine take some time for any prompt.
	usualFirst  = 100 * time.Millisecond
	firstMargin = 20 * time.Millisecond
)

// turn is where a request may be sent by the rollout of its service.
type turn struct {
	// drawn is set once side, target and endpoints are known for the next attempt.
	drawn     bool
	side      rollout.Side
	target    string
	endpoints []string
	// atTarget is set once the request was sent to the target; it is then sent to the old builds while these may get requests.
	atTarget bool
	// counted is set once the request was counted, denied counts the placements that came to nothing.
	counted bool
	denied  int
}

// draw determines where the next attempt may be sent.
func (t *turn) draw(r Rollouts, service, route string) {
	if t.drawn {
		return
	}
	t.drawn = true
	t.side, t.target, t.endpoints = r.Side(service, route)
	if t.atTarget && t.side == rollout.Target {
		t.side = rollout.Old
	}
}

// leaveTarget makes a request go to the old builds for which the endpoints of the target have no room, and reports whether it may.
func (t *turn) leaveTarget() bool {
	if !t.drawn || t.side != rollout.Target || t.atTarget {
		return false
	}
	t.atTarget, t.drawn = true, false
	return true
}

// turnRing returns the endpoints to which the request may be sent by the rollout of its service.
func (req *request) turnRing() *serviceRing {
	h := req.handler
	all := ringName{service: req.service}
	if h.Rollouts == nil {
		return h.namedRing(req.snapshot, all)
	}
	t := &req.turn
	t.draw(h.Rollouts, req.service, req.route.Name)
	old := ringName{service: req.service, build: t.target, selects: otherBuilds}
	target := ringName{service: req.service, build: t.target, selects: oneBuild}
	switch t.side {
	case rollout.Any:
		return h.namedRing(req.snapshot, all)
	case rollout.Old:
		return h.namedRing(req.snapshot, old)
	case rollout.Target, rollout.TargetOnly:
	}
	r := h.namedRing(req.snapshot, target)
	switch {
	case len(r.eligible) == 0:
		return h.namedRing(req.snapshot, old)
	case len(t.endpoints) == 0:
		return r
	}
	return r.limit(t.endpoints)
}

// limit returns the ring with only the given endpoints, or r if it has none of them.
func (r *serviceRing) limit(ids []string) *serviceRing {
	limited := &serviceRing{snapshot: r.snapshot, ring: r.ring}
	for _, e := range r.eligible {
		if slices.Contains(ids, e.ID) {
			limited.eligible = append(limited.eligible, e)
		}
	}
	if len(limited.eligible) == 0 {
		return r
	}
	return limited
}

// allowsBuild reports whether a stream that is bound to a build may be sent there now.
func (req *request) allowsBuild(build string) bool {
	return req.handler.Rollouts == nil || req.handler.Rollouts.Allows(req.service, build)
}

// beginTurn records that the attempt is sent to an endpoint. If it returns false, the request must be placed anew.
func (req *request) beginTurn(e *site.Endpoint) (end func(rollout.Result), ok bool) {
	t := &req.turn
	t.drawn = false
	if req.handler.Rollouts == nil {
		return func(rollout.Result) {}, true
	}
	end, ok = req.handler.Rollouts.Begin(req.service, req.route.Name, e.Build, !t.counted, req.pinned.active)
	if !ok {
		t.denied++
		req.handler.count("Rollouts.Denied." + req.service)
		return nil, false
	}
	t.counted = true
	if t.target != "" && e.Build == t.target {
		t.atTarget = true
		req.handler.count("Rollouts.Sent." + req.service)
	}
	return end, true
}

// observed is what an attempt tells about the build of its endpoint.
type observed struct {
	outcome placement.Outcome
	status  int
	// events is the number of complete events, the first of which arrived at firstAt.
	events  int
	firstAt time.Time
}

// countEvents counts the events of an answer.
func (a *attempt) countEvents(complete []byte) {
	if a.observed.firstAt.IsZero() {
		a.observed.firstAt = time.Now()
	}
	a.observed.events += bytes.Count(complete, []byte("\n\n"))
}

// result returns how the answer ended, at a time.
func (a *attempt) result(now time.Time) rollout.Result {
	o := a.observed
	r := rollout.Result{}
	switch o.outcome {
	case placement.Full, placement.Misdirected, placement.Abandoned:
		return rollout.Result{Ignored: true}
	case placement.Answered:
		r.Failed = o.status >= 500
	default:
		r.Failed = true
	}
	if o.firstAt.IsZero() {
		o.firstAt = now
	}
	r.First = max(1, o.firstAt.Sub(a.started))
	if a.expectedFirst > 0 {
		r.First = max(1, time.Duration(float64(r.First)*float64(usualFirst)/float64(a.expectedFirst+firstMargin)))
	}
	if o.events > 1 {
		r.Pace = now.Sub(o.firstAt) / time.Duration(o.events-1)
	}
	return r
}
