package weights

import (
	"context"
	"sync/atomic"
	"time"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/site"
)

// update is an endpoint on its way to a version.
type update struct {
	endpoint *site.Endpoint
	model    string
	begun    time.Time
	// carried is set once the endpoint is known to carry an order out.
	carried atomic.Bool
	// ended receives the version that the endpoint has in the end, 0 if it is not known.
	ended chan uint64
}

// changes reports whether the endpoint counts among those that change at once. One that leaves its orders unanswered for a
// while serves on, and keeps no other from its turn.
func (u *update) changes(now time.Time) bool { return u.carried.Load() || now.Sub(u.begun) < orderTime }

// update brings one endpoint to the named version and returns the version that it has, 0 if that is not known.
func (r *Rollout) update(ctx context.Context, u *update) (version uint64) {
	if !pause(ctx, noticeTime) {
		return 0
	}
	for time.Since(u.begun) < loadTime {
		named := r.View.Current().Versions[u.model]
		report, err := r.report(ctx, u.endpoint)
		wait := pollPeriod
		switch {
		case err != nil:
		case report.Versions[u.model] >= named && !report.Busy:
			return report.Versions[u.model]
		case report.Busy:
			u.carried.Store(true)
		default:
			result, err := r.order(ctx, u, named, report.Orders)
			switch {
			case err != nil:
				wait = 0 // Ask at once whether it was taken.
			case result == Holds:
				return named
			case result == Accepted:
				u.carried.Store(true)
			case result != Busy:
				return 0
			}
		}
		if !pause(ctx, wait) {
			return 0
		}
	}
	event.Info(r.Log, event.OrderSent, "endpoint", u.endpoint.ID, "outcome", "version not reached in time", "carried", u.carried.Load())
	return 0
}

// order gives one order. An error means that it is not known whether the endpoint took it.
func (r *Rollout) order(ctx context.Context, u *update, version, expected uint64) (result Result, err error) {
	if !r.Lease.MayOrder(u.endpoint.ID) {
		return Refused, nil
	}
	token := r.Lease.Token()
	call, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	result, err = r.Engines.Order(call, u.endpoint, Order{Model: u.model, Version: version, Holder: r.Name, Token: token,
		Expected: expected})
	outcome := result.String()
	if err != nil {
		outcome = "no answer: " + err.Error()
	}
	event.Info(r.Log, event.OrderSent, "endpoint", u.endpoint.ID, "model", u.model, "version", version, "token", token,
		"expected", expected, "outcome", outcome)
	if err == nil && result == Fenced {
		r.Lease.Lost("an endpoint knows a higher token")
	}
	return result, err
}

func (r *Rollout) report(ctx context.Context, e *site.Endpoint) (Report, error) {
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return r.Engines.Report(call, e)
}
