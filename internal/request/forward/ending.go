package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/connection/endpoint"
	"primrosecourse/internal/event"
)

// endTimeout is how long an endpoint may take to show that it still runs. A sound one may send nothing for a second or so.
const endTimeout = 3 * time.Second

// Errors of confirmEnd.
var (
	// errEndUnknown means that an answer ended with its connection and that the endpoint is not known to run any more.
	errEndUnknown = errors.New("answer without an announced end ended as the endpoint did")
	errRestarted  = errors.New("endpoint has started again since")
)

// confirmEnd returns an error if an answer that has been read to its end may be only the first part of one: the kernel closes the connections
// of a process that is killed as the process itself closes that of an answer without an announced end.
func (a *attempt) confirmEnd(ctx context.Context, answer *endpoint.Answer) (err error) {
	req := a.req
	if !answer.Unframed() || req.handler.Incarnations == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	asked := time.Now()
	startedAt, err := req.handler.Incarnations.Running(ctx, endpoint.Target{ID: a.endpoint.ID, Address: a.endpoint.Address})
	if err == nil && !startedAt.IsZero() && !a.mayBeOf(answer, startedAt) {
		err = errRestarted
	}
	log := req.handler.Log
	if err == nil {
		log = log.V(1)
	} else {
		req.handler.count("Answers.EndUnknown")
	}
	event.Info(log, event.AnswerEndChecked, "request", req.meta.ID, "endpoint", a.endpoint.ID, "startedAt", startedAt,
		"confirmed", answer.Incarnation(), "listed", a.endpoint.StartedAt, "entry", a.endpoint.Revision, "runs", err == nil, "error", message(err), "tookMs", time.Since(asked).Milliseconds())
	if err != nil {
		return errors.Mark(err, errEndUnknown)
	}
	return nil
}

// mayBeOf reports whether an answer may be one of the incarnation that started at the given time. The entry may lag behind the endpoint, so that
// one that started before the request is believed too.
func (a *attempt) mayBeOf(answer *endpoint.Answer, startedAt time.Time) bool {
	if confirmed := answer.Incarnation(); !confirmed.IsZero() {
		return startedAt.Equal(confirmed)
	}
	return startedAt.Equal(a.endpoint.StartedAt) || startedAt.Before(a.started)
}
