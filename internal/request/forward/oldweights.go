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

// releaseAtLimit cancels the attempt by release once no request may begin on the weights of its endpoint, unless the answer has begun. stop
// ends the wait for that.
func (a *attempt) releaseAtLimit(release context.CancelCauseFunc) (stop func() bool) {
	model, view, rule := a.req.meta.Model, a.req.handler.View, a.req.handler.Staleness
	if rule.Limit == 0 {
		return func() bool { return true }
	}
	// The version may be replaced while the attempt waits.
	remaining := func() time.Duration {
		if version, ok := a.endpoint.Version(model); ok && version < view.Current().Versions[model] {
			return rule.Remaining(view.ReplacedFor(model, version))
		}
		return rule.Limit
	}
	var timer *time.Timer
	timer = time.AfterFunc(time.Hour, func() {
		left := remaining()
		switch {
		case a.begun.Load() || a.ctx.Err() != nil:
		case left > 0:
			timer.Reset(left)
		default:
			release(errOldWeights)
		}
	})
	timer.Reset(remaining())
	return timer.Stop
}

// cause returns err, or errOldWeights if the attempt was cancelled for that.
func (a *attempt) cause(err error) error {
	if cause := context.Cause(a.ctx); errors.Is(cause, errOldWeights) {
		return cause
	}
	return err
}
