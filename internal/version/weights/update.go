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

// elapsed returns how long the update has taken, and whether it counts towards the concurrency limit. An endpoint that is not known to have
// accepted an order within orderTimeout of the start probably continues to serve, and must not block the updates of others.
func (u *endpointUpdate) elapsed(now time.Time) (d time.Duration, counts bool) {
	if at := u.acceptedAt.Load(); at != nil {
		return now.Sub(*at), true
	}
	d = now.Sub(u.startedAt)
	return d, d < orderTimeout
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
	ordered := uint64(0)
	for time.Since(u.startedAt) < loadTimeout {
		named := r.View.Current().Versions[u.model]
		report, err := r.report(ctx, u.endpoint)
		wait := pollInterval
		switch {
		case err != nil:
		case report.Versions[u.model] >= named && !report.Busy:
			return report.Versions[u.model]
		case ordered > 0 && report.Versions[u.model] >= ordered && !report.Busy:
			// A newer version was named meanwhile. Endpoints with older weights are updated to it first.
			return report.Versions[u.model]
		case report.Busy:
			u.accept()
		default:
			ordered = named
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
