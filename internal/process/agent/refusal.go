package agent

import (
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/wire"
)

// refusal describes why a request is refused. Its outcome is NotRun unless set otherwise.
type refusal struct {
	outcome    wire.Outcome
	reason     wire.Reason
	detail     string
	retryAfter time.Duration
}

// shortRetryAfter is the RetryAfter of states that last about as long as a weight load.
const shortRetryAfter = time.Second

func newRefusal(reason wire.Reason, detail string) *refusal {
	r := &refusal{reason: reason, detail: detail}
	switch reason {
	case wire.ReasonBusy, wire.ReasonCold, wire.ReasonDraining, wire.ReasonLeaving, wire.ReasonOldConfig,
		wire.ReasonWrongVersion, wire.ReasonEngineDown, wire.ReasonServiceDown, wire.ReasonSuspectRunning:
		r.retryAfter = shortRetryAfter
	}
	return r
}

// refusedMessage logs the refusal of a prompt or a call and returns the message for the entry.
func (a *Agent) refusedMessage(id event.ID, r *refusal, stream uint64, requestID, organisation string) wire.Refused {
	a.count("refused." + r.reason.String())
	load := a.Load()
	event.Info(a.Log, id, "RequestID", requestID, "Organisation", organisation, "Outcome", r.outcome.String(),
		"Reason", r.reason.String(), "Detail", r.detail, "Running", load.Running, "Queued", load.Queued,
		"Allowance", load.Allowance)
	return wire.Refused{
		Stream: stream, Outcome: r.outcome, Reason: r.reason, Detail: r.detail, RetryAfter: r.retryAfter, Load: load,
	}
}
