package weights

import (
	"context"
	"sync/atomic"
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/site"
)

// endpointUpdate is an update of one endpoint in progress.
type endpointUpdate struct {
	endpoint  *site.Endpoint
	model     string
	startedAt time.Time
	// acceptedAt is when the endpoint accepted an order or first reported that one is in progress; nil before that.
	acceptedAt atomic.Pointer[time.Time]
	// result receives the version of the endpoint when the update ends, 0 if it is unknown.
	result chan uint64
}

// changeTime is how long after it accepted an order an endpoint counts towards the concurrency limit. Most have finished their runs and
// loaded the version by then. One that is slow still works on its runs, and must not block the updates of others.
const changeTime = 2500 * time.Millisecond

// isChanging reports whether the update counts towards the concurrency limit. An endpoint that is not known to have
// accepted an order within orderTimeout of the start probably continues to serve, and must not block the updates of
// others.
func (u *endpointUpdate) isChanging(now time.Time) bool {
	if at := u.acceptedAt.Load(); at != nil {
		return now.Sub(*at) < changeTime
	}
	return now.Sub(u.startedAt) < orderTimeout
}

// accept records that the endpoint has accepted an order.
func (u *endpointUpdate) accept() {
	now := time.Now()
	u.acceptedAt.CompareAndSwap(nil, &now)
}

// updateEndpoint updates one endpoint to the named version and returns the version of the endpoint, 0 if it is unknown.
func (r *Rollout) updateEndpoint(ctx context.Context, u *endpointUpdate) (version uint64) {
	if !sleep(ctx, noticeDelay) {
		return 0
	}
	for time.Since(u.startedAt) < loadTimeout {
		named := r.View.Current().Versions[u.model]
		report, err := r.report(ctx, u.endpoint)
		wait := pollInterval
		switch {
		case err != nil:
		case report.Versions[u.model] >= named && !report.Busy:
			return report.Versions[u.model]
		case report.Busy:
			u.accept()
		default:
			result, err := r.order(ctx, u, named, report.AcceptedOrders)
			switch {
			case err != nil:
				wait = 0 // Request a report at once to learn whether the order was accepted.
			case result == UpToDate:
				return named
			case result == Accepted:
				u.accept()
			case result != Busy:
				return 0
			}
		}
		if !sleep(ctx, wait) {
			return 0
		}
	}
	event.Info(r.Log, event.OrderSent, "endpoint", u.endpoint.ID, "outcome", "version not reached in time", "carried", u.acceptedAt.Load() != nil)
	return 0
}

// order sends one order. After an error it is unknown whether the endpoint accepted the order.
func (r *Rollout) order(ctx context.Context, u *endpointUpdate, version, expected uint64) (result Result, err error) {
	if !r.Lease.MayOrder(u.endpoint.ID) {
		return Refused, nil
	}
	token := r.Lease.Token()
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	result, err = r.Engines.Order(callCtx, u.endpoint, Order{Model: u.model, Version: version, Holder: r.Name, Token: token,
		ExpectedOrders: expected})
	r.recordOrder(u.endpoint.ID)
	outcome := result.String()
	if err != nil {
		outcome = "no answer: " + err.Error()
	}
	event.Info(r.Log, event.OrderSent, "endpoint", u.endpoint.ID, "model", u.model, "version", version, "token", token,
		"expected", expected, "outcome", outcome)
	if err == nil && result == Fenced {
		r.Lease.Abandon(token, "an endpoint has seen a higher fencing token")
	}
	return result, err
}

// report requests the state of an endpoint with a timeout.
func (r *Rollout) report(ctx context.Context, e *site.Endpoint) (Report, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Engines.Report(callCtx, e)
}
