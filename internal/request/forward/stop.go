package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/site"
)

// Stop is a planned stop of the gateway.
type Stop struct {
	// EndBy is when each request has its final answer at the latest, or is broken off if its answer has begun.
	EndBy time.Time
	// LateFrom is the time from which a stream whose deadline is after EndBy is refused, so that its caller gets it elsewhere.
	LateFrom time.Time
}

// errStopping is the cause with which the context of a request is cancelled at the end of a planned stop.
var errStopping = errors.New("gateway stops")

const (
	// stopRetryAfter is the Retry-After of a request that is refused at a stop: another gateway can take it at once.
	stopRetryAfter = 100 * time.Millisecond
	// typicalQuantile is the quantile of the times of earlier requests up to which a request is expected to take during a stop, and
	// onceQuantile that of one that may not be repeated: its caller can come back after a refusal, but not after an unknown outcome.
	typicalQuantile = 0.9
	onceQuantile    = 0.99
)

// Stop makes the handler end all requests by s.EndBy and refuse those that cannot end by then. It must not be called more than once.
func (h *Handler) Stop(s Stop) {
	_, cancel := h.stopContext()
	h.stopping.Store(&s)
	h.clearQueues()
	time.AfterFunc(time.Until(s.EndBy), func() { cancel(errStopping) })
}

// stopContext returns the context that ends with the stop, and its cancel function.
func (h *Handler) stopContext() (ctx context.Context, cancel context.CancelCauseFunc) {
	h.stopOnce.Do(func() { h.stopCtx, h.stopCancel = context.WithCancelCause(context.Background()) })
	return h.stopCtx, h.stopCancel
}

// withStop returns a context that is also cancelled, with the cause errStopping, at the end of a stop.
func (h *Handler) withStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stopCtx, _ := h.stopContext()
	release := context.AfterFunc(stopCtx, func() { cancel(errStopping) })
	return ctx, func() {
		release()
		cancel(nil)
	}
}

// boundByStop moves the deadline of the request forward to the end of a stop.
func (req *request) boundByStop() {
	if s := req.handler.stopping.Load(); s != nil && s.EndBy.Before(req.deadline) {
		req.deadline = s.EndBy
	}
}

// endedByStop reports whether the request has been cancelled by a stop.
func (req *request) endedByStop() bool { return errors.Is(context.Cause(req.ctx), errStopping) }

// giveUpLate ends a request whose deadline has passed or which a stop has cancelled.
func (req *request) giveUpLate() {
	if !req.endedByStop() {
		req.giveUp("Deadline", 0)
		return
	}
	req.logStop("Ended")
	req.giveUp("Stopping", stopRetryAfter)
}

// fitsStop reports whether the request can end before a stop does: probably, or certainly if it is a late stream, which cannot be answered
// otherwise once it has begun. If it cannot, it is refused, so that its caller can send it to another gateway.
func (req *request) fitsStop() bool {
	s := req.handler.stopping.Load()
	if s == nil || !req.deadline.After(s.EndBy) {
		return true
	}
	now := time.Now()
	left, expected := s.EndBy.Sub(now), req.expectedTime()
	// How long earlier streams took does not bound a late one: it may be longer, and any endpoint may pause.
	lateStream := req.route.Streaming && !now.Before(s.LateFrom)
	if left > 0 && expected <= left && !lateStream {
		return true
	}
	req.logStop("Refused", "expectedMs", expected.Milliseconds(), "lateStream", lateStream, "allowedMs", req.deadline.Sub(now).Milliseconds())
	req.refuse(http.StatusServiceUnavailable, "Stopping", "the gateway stops before the request can end", stopRetryAfter)
	return false
}

// expectedTime returns how long the request probably takes, by the answers to earlier ones of its kind of route and service, or 0 if there
// were none.
func (req *request) expectedTime() time.Duration {
	if req.handler.Metrics == nil {
		return 0
	}
	took, ok := req.handler.Metrics.Get(req.metricName("Took", endAnswered.String())).(metrics.Histogram)
	if !ok {
		return 0
	}
	quantile := typicalQuantile
	if req.route.Repeat == site.Never && !req.route.Streaming {
		quantile = onceQuantile
	}
	return time.Duration(took.Percentile(quantile)) * time.Microsecond
}

// logStop logs what a stop means for the request.
func (req *request) logStop(decision string, keysAndValues ...any) {
	s := req.handler.stopping.Load()
	if s == nil {
		return
	}
	event.Info(req.handler.Log, event.RequestAtStop, append([]any{"request", req.meta.ID, "decision", decision, "sent", req.attempts,
		"ran", req.possibleRuns, "begun", req.w.Started(), "leftMs", time.Until(s.EndBy).Milliseconds()}, keysAndValues...)...)
}
