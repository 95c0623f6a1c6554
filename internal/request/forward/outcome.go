package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/placement"
)

// recordOutcome reports the end of the attempt to the placement table and logs a change of the endpoint's suspect state.
func (a *attempt) recordOutcome(o placement.Outcome) {
	now := time.Now()
	becameSuspect, becameTrusted := a.req.handler.Table.Ended(now, a.endpoint, a.placed, a.prefillTokens, o)
	a.prefillTokens, a.observed.outcome = 0, o
	a.recordRoomFreed(now)
	a.saves.recordOutcome(now, o)
	if o == placement.Full {
		a.req.handler.Hedging.Refused(now, a.req.service)
	}
	switch {
	case becameSuspect:
		event.Info(a.req.handler.Log, event.EndpointSuspect, "endpoint", a.endpoint.ID, "outcome", o.String(), "request", a.req.meta.ID)
	case becameTrusted:
		event.Info(a.req.handler.Log, event.EndpointTrusted, "endpoint", a.endpoint.ID, "outcome", o.String(), "request", a.req.meta.ID)
	}
}

// minLateness is the time from the choice of an endpoint to the first byte from which on that is logged, and minTimeLeft the share of the
// caller's time below which it is logged that no more is left.
const (
	minLateness = 100 * time.Millisecond
	minTimeLeft = 0.1
)

// recordSent logs that the first byte of the request is written late.
func (a *attempt) recordSent(at time.Time) {
	req := a.req
	late, left := at.Sub(a.started), req.deadline.Sub(at)
	if late < minLateness && left >= time.Duration(minTimeLeft*float64(req.timeout)) {
		return
	}
	event.Info(req.handler.Log, event.RequestSentLate, "request", req.meta.ID, "endpoint", a.endpoint.ID, "attempt", a.number,
		"chosenMs", a.started.Sub(req.started).Milliseconds(), "writtenMs", late.Milliseconds(), "leftMs", left.Milliseconds(),
		"callerLeft", req.caller.Err() != nil)
}

// recordEnd records that the endpoint answered completely.
func (a *attempt) recordEnd(status int) {
	a.recordOutcome(placement.Answered)
	if status < 500 {
		a.req.handler.Requests.EndedWell(time.Now(), a.req.handler.View.Current(), a.req.fingerprint, a.req.meta.ID)
	}
}

// failureOutcome returns failure, or Abandoned if the caller disconnected or the gateway stops and Late if the deadline passed, since the endpoint is
// then not known to be the cause.
func (a *attempt) failureOutcome(failure placement.Outcome) placement.Outcome {
	switch {
	case errors.Is(context.Cause(a.ctx), errSilent):
		return placement.Silent
	case errors.Is(context.Cause(a.ctx), errOldWeights), errors.Is(context.Cause(a.ctx), errStopping):
		return placement.Abandoned
	case a.req.caller.Err() != nil:
		return placement.Abandoned
	case a.req.ctx.Err() != nil:
		return placement.Late
	}
	return failure
}

// recordBrokenConnection records a connection that broke during the attempt, or a stream that ended in the middle of an event. If
// the caller is still connected and the deadline has not passed, the endpoint is checked for a crash.
func (a *attempt) recordBrokenConnection(err error) {
	o := a.failureOutcome(placement.Broken)
	a.recordOutcome(o)
	service := a.req.snapshot.Configuration.Services[a.req.service]
	if o != placement.Broken || service == nil || a.req.handler.Crashes == nil {
		return
	}
	b := a.newBreak(service, err)
	a.req.suspicion = a.mayCrashAgain(b)
	a.req.handler.Crashes.ConnectionBroke(b)
}
