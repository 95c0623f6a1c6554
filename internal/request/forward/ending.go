package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/connection/endpoint"
	"primrosecourse/internal/event"
)

// endTimeout is how long an endpoint may take to show that it still runs.
const endTimeout = 700 * time.Millisecond

// errEndUnknown means that an answer ended with its connection and that the endpoint is not known to run any more.
var errEndUnknown = errors.New("answer without an announced end ended as the endpoint did")

// confirmEnd returns an error if an answer that has been read to its end may be only the first part of one: the kernel closes the connections
// of a process that is killed as the process itself closes that of an answer without an announced end.
func (a *attempt) confirmEnd(answer *endpoint.Answer) (err error) {
	req := a.req
	if !answer.Unframed() || req.handler.Incarnations == nil {
		return nil
	}
	startedAt := answer.Incarnation()
	if startedAt.IsZero() && a.endpoint.StatesStart() {
		startedAt = a.endpoint.StartedAt
	}
	ctx, cancel := context.WithTimeout(req.ctx, endTimeout)
	defer cancel()
	asked := time.Now()
	err = req.handler.Incarnations.Running(ctx, endpoint.Target{ID: a.endpoint.ID, Address: a.endpoint.Address}, startedAt)
	log := req.handler.Log
	if err == nil {
		log = log.V(1)
	} else {
		req.handler.count("Answers.EndUnknown")
	}
	event.Info(log, event.AnswerEndChecked, "request", req.meta.ID, "endpoint", a.endpoint.ID, "startedAt", startedAt,
		"entry", a.endpoint.Revision, "runs", err == nil, "error", message(err), "tookMs", time.Since(asked).Milliseconds())
	if err != nil {
		return errors.Mark(err, errEndUnknown)
	}
	return nil
}
