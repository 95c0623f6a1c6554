package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/pkg/site"
)

// errOldWeights is the cause with which the context of an attempt is cancelled because it has not begun and its endpoint serves weights
// that were replaced too long ago.
var errOldWeights = errors.New("endpoint serves replaced weights")

// mayBegin returns placement.Request.MayBegin: whether the request may be sent to an endpoint, by the weights that the endpoint serves. It
// returns nil if no version of the model is named.
func (req *request) mayBegin() func(e *site.Endpoint, firstToken time.Duration) bool {
	named, ok := req.snapshot.Versions[req.meta.Model]
	if !ok {
		return nil
	}
	view := req.handler.View
	return func(e *site.Endpoint, firstToken time.Duration) bool {
		version, ok := e.Version(req.meta.Model)
		return !ok || version >= named || req.handler.Staleness.MayBegin(view.ReplacedFor(req.meta.Model, version), firstToken)
	}
}

// replaced returns placement.Request.Replaced: whether an endpoint serves weights that another version replaces. It returns nil if no version
// of the model is named.
func (req *request) replaced() func(e *site.Endpoint) bool {
	named, ok := req.snapshot.Versions[req.meta.Model]
	if !ok {
		return nil
	}
	return func(e *site.Endpoint) bool {
		version, ok := e.Version(req.meta.Model)
		return ok && version < named
	}
}

// limitInterval is the longest time between two looks at a waiting attempt: its endpoint may load other weights, and the gateway may learn
// late that a version was named.
const limitInterval = 250 * time.Millisecond

// releaseAtLimit cancels the attempt by release once no request may begin on the weights of its endpoint, unless the answer has begun. stop
// ends the wait for that.
func (a *attempt) releaseAtLimit(release context.CancelCauseFunc) (stop func() bool) {
	rule := a.req.handler.Staleness
	if rule.Limit == 0 {
		return func() bool { return true }
	}
	var timer *time.Timer
	timer = time.AfterFunc(time.Hour, func() { // The function uses timer, so that it must not run before the assignment.
		left := rule.Remaining(a.replacedFor())
		switch {
		case a.answering.Load() || a.ctx.Err() != nil:
		case left > 0:
			timer.Reset(min(left, limitInterval))
		default:
			release(errOldWeights)
		}
	})
	timer.Reset(limitInterval)
	return timer.Stop
}

// replacedFor returns the time since the weights that the endpoint of the attempt serves now were replaced, 0 if they were not.
func (a *attempt) replacedFor() time.Duration {
	view, model := a.req.handler.View, a.req.meta.Model
	snapshot := view.Current()
	version, ok := a.endpoint.Version(model)
	if !ok || version >= snapshot.Versions[model] {
		return 0
	}
	for _, e := range snapshot.Endpoints[a.req.service] {
		if e.ID == a.endpoint.ID {
			version, _ = e.Version(model)
		}
	}
	if version >= snapshot.Versions[model] {
		return 0
	}
	return view.ReplacedFor(model, version)
}

// cause returns err, or errOldWeights, errSilent or errStopping if the attempt was cancelled for that.
func (a *attempt) cause(err error) error {
	if cause := context.Cause(a.ctx); errors.IsAny(cause, errOldWeights, errSilent, errStopping) {
		return cause
	}
	return err
}
