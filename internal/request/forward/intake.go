package forward

import (
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/intake"
)

// observeIntake records what an answer states about the requests that its endpoint takes.
func (a *attempt) observeIntake(now time.Time, s intake.Statement) {
	h := a.req.handler
	if s.Invalid {
		h.count("Intake.InvalidStatements")
	}
	change := h.Table.Intake.Observe(now, a.started, a.endpoint.ID, s)
	if change.Left || change.Paused {
		event.Info(h.Log, event.EndpointClosed, "endpoint", a.endpoint.ID, "leaving", s.Leaving, "pauseMs", s.Pause.Milliseconds(), "request", a.req.meta.ID)
	}
	if change.Notable {
		event.Info(h.Log, event.EndpointRateStated, "endpoint", a.endpoint.ID, "perSecond", change.After, "before", change.Before,
			"request", a.req.meta.ID)
	}
}

// statedRate returns the rate that an endpoint stated and the age of the statement in milliseconds, both -1 if there is none.
func (h *Handler) statedRate(now time.Time, endpoint string) (perSecond float64, agoMs int64) {
	rate, ago, limited := h.Table.Intake.Rate(now, endpoint)
	if !limited {
		return -1, -1
	}
	return rate, ago.Milliseconds()
}
