package forward

import (
	"net/http"
	"strconv"
	"time"

	"primrosecourse/internal/event"
)

// giveUp ends a request that is not retried further. The status of a generated answer shows whether the request may have
// run: 503 if it did not, 504 or 502 if it may have.
func (req *request) giveUp(reason string, retryAfter time.Duration) {
	switch {
	case req.caller.Err() != nil:
		req.abandon()
	case req.w.Started():
		req.reason = reason
		req.w.Abort()
	case req.fallback != nil:
		req.reason = reason
		req.deliver(req.fallback)
	case req.possibleRuns == 0:
		req.refuse(http.StatusServiceUnavailable, reason, "", retryAfter)
	case req.ctx.Err() != nil:
		req.refuse(http.StatusGatewayTimeout, reason, "", 0)
	default:
		req.refuse(http.StatusBadGateway, reason, "", 0)
	}
}

// abandon ends a request whose caller disconnected.
func (req *request) abandon() {
	req.reason = "CallerLeft"
	req.w.Abort()
	event.Info(req.handler.Log, event.RequestAbandoned, "request", req.meta.ID, "sent", req.attempts, "closeUnread", req.incoming.CloseWasUnread(),
		"afterMs", time.Since(req.started).Milliseconds())
}

// refuse sends an answer that the gateway itself generates.
func (req *request) refuse(status int, reason, detail string, retryAfter time.Duration) {
	req.status, req.reason, req.generated = status, reason, true
	event.Info(req.handler.Log, event.RequestDenied, append([]any{"request", req.meta.ID, "status", status, "reason", reason, "detail", detail,
		"notAdmitted", req.notAdmitted, "sent", req.attempts, "ran", req.possibleRuns, "retryAfterMs", retryAfter.Milliseconds(), "afterMs", time.Since(req.started).Milliseconds()},
		req.queueState()...)...)
	body := `{"reason":` + strconv.Quote(reason) + `,"outcome":` + strconv.Quote(req.outcome()) + "}\n"
	// An error means that the caller disconnected or that an answer has already begun. The front server then closes the connection.
	_ = req.w.Answer(status, req.handler.Codec.Refusal(req.meta.ID, retryAfter), []byte(body))
}

// outcome returns what the body of a refusal states about the runs of the request.
func (req *request) outcome() string {
	if req.possibleRuns == 0 {
		return "not run"
	}
	return "outcome unknown"
}

// finish records the metrics of the request and logs how it ended.
func (req *request) finish() {
	req.releaseStream()
	req.memory.Release()
	req.hedgeMemory.Release()
	duration := time.Since(req.started)
	route := "None"
	if req.route != nil {
		route = req.route.Name
	}
	req.recordMetrics(duration)
	log := req.handler.Log
	if req.reason == "" && req.status < 400 {
		log = log.V(1)
	}
	event.Info(log, event.RequestAnswered, "request", req.meta.ID, "route", route, "status", req.status, "reason", req.reason,
		"sent", req.attempts, "tookMs", duration.Milliseconds(), "firstMs", req.firstPieceMillis())
}

// firstPieceMillis returns the time to the first part of an endpoint's answer in milliseconds, or -1 if there was none.
func (req *request) firstPieceMillis() int64 {
	if req.firstPiece.IsZero() {
		return -1
	}
	return req.firstPiece.Sub(req.started).Milliseconds()
}
