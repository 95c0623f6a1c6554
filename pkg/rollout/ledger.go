package rollout

import (
	"maps"
	"sync"
	"time"
)

// Result is how an answer ended.
type Result struct {
	// Ignored is set if it says nothing about the build: the endpoint did not run the request, or the caller left.
	Ignored bool
	Failed  bool
	// First is the time to the first piece of the answer, Pace the mean time between the events of a stream; 0 if there is none.
	First, Pace time.Duration
}

// Side is where a request may be sent.
type Side uint8

// The values of Side.
const (
	// Any means that no order concerns the service.
	Any Side = iota
	// Old means that the request must not go to the target.
	Old
	// Target means that the request goes to the target if that has an endpoint.
	Target
	// TargetOnly means that the request must not go to the old builds.
	TargetOnly
)

// Ledger counts what a gateway sends to the target and the old builds of its orders, and keeps to what their states allow. It is safe for
// concurrent use.
type Ledger struct {
	// Name is the name of the gateway. It must be set before the first call.
	Name string

	mu       sync.Mutex
	accounts map[string]*account
	// inFlight are the requests at the endpoints of each service by build, counted whether or not there is an order.
	inFlight map[string]map[string]int
}

// account is what is counted for an order.
type account struct {
	order Order
	// state is the last known state, nil before the first one.
	state *State
	// joining is set until Restore if this gateway may be unknown to the others.
	joining  bool
	restored bool
	// completed is set once the platform knows that the order is completed.
	completed bool
	requests  uint64
	sent      uint64
	routes    map[string]*RouteCounts
}

// Follow sets the state of an order, nil before the first one, and begins to count for the order unless that has begun. joining is set if this
// gateway has started since the order: nothing is sent to the service before Restore then, since the others do not wait for this gateway.
func (l *Ledger) Follow(o Order, s *State, joining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !s.IsOf(o) {
		s = nil
	}
	if a := l.account(o); a != nil {
		if a.state == nil || !a.state.Stage.IsFinal() {
			a.state = s
		}
		return
	}
	if l.accounts == nil {
		l.accounts = map[string]*account{}
	}
	l.accounts[o.Service] = &account{order: o, state: s, joining: joining, routes: map[string]*RouteCounts{}}
}

// Complete states that the platform knows that the order of a service is completed. If the target loses its endpoints, others may be used then.
func (l *Ledger) Complete(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[service]; a != nil {
		a.completed = true
	}
}

// Retain forgets the services for which keep returns false.
func (l *Ledger) Retain(keep func(service string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.accounts, func(service string, _ *account) bool { return !keep(service) })
}

// Side returns where a new request of a route may be sent, the target of the order and, if that is limited, the endpoints of the target. fresh
// states whether this gateway has confirmed the state of the order recently, point is a random number from 0 to 1.
func (l *Ledger) Side(service, route string, fresh bool, point float64) (side Side, target string, endpoints []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[service]
	if a == nil {
		return Any, "", nil
	}
	target = a.order.Target
	switch {
	case a.state != nil && a.state.Stage == Committed:
		return TargetOnly, target, nil
	case !a.mayTarget(l.Name, fresh):
		return Old, target, nil
	case a.state.Stage == Shift:
		return Target, target, nil
	}
	share := a.state.Share
	if share > 0 {
		share = max(share, a.state.Scarce[route])
	}
	if point >= share {
		return Old, target, nil
	}
	return Target, target, a.state.Endpoints
}

// mayTarget reports whether one more request may be sent to the target.
func (a *account) mayTarget(gateway string, fresh bool) bool {
	if a.state == nil {
		return false
	}
	switch a.state.Stage {
	case Committed:
		return true
	case RolledBack:
		return false
	}
	return fresh && a.restored && a.sent < a.state.Allowed[gateway]
}

// Allows reports whether a stream that is bound to a build may be sent there now.
func (l *Ledger) Allows(service, build string, fresh bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[service]
	return a == nil || build != a.order.Target || a.mayTarget(l.Name, fresh)
}

// Restored reports whether Restore was called for an order.
func (l *Ledger) Restored(o Order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(o)
	return a != nil && a.restored
}

// Restore adds what earlier incarnations of this gateway counted for an order by their last report, nil for none. allowed is what they may have
// sent to the target at most; it is ignored if this gateway has run since the order. Nothing is sent to the target before.
func (l *Ledger) Restore(o Order, r *ServiceReport, allowed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(o)
	if a == nil || a.restored {
		return
	}
	joining := a.joining
	a.restored, a.joining = true, false
	if !joining {
		return
	}
	a.sent += allowed
	if !r.IsOf(o) {
		return
	}
	a.requests += r.Requests
	for name, counts := range r.Routes {
		own := a.route(name)
		own.Target.add(&counts.Target)
		own.Old.add(&counts.Old)
	}
}

// account returns the account of an order, nil if there is none. The caller must hold mu.
func (l *Ledger) account(o Order) *account {
	if a := l.accounts[o.Service]; a != nil && a.order.Target == o.Target && a.order.Created == o.Created {
		return a
	}
	return nil
}

func (a *account) route(name string) *RouteCounts {
	c := a.routes[name]
	if c == nil {
		c = &RouteCounts{}
		a.routes[name] = c
	}
	return c
}

// Begin records that a request of a route is sent to an endpoint of a build, the first time if first is set. bound is set if it is a stream that
// must go to this build. It returns false if it may not be sent there now. Otherwise end must be called once, when the answer has ended.
// Without an order for the service only the requests in flight are counted.
func (l *Ledger) Begin(service, route, build string, first, bound, fresh bool) (end func(Result), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[service]
	if a != nil {
		toTarget := build == a.order.Target
		switch {
		case a.joining && (a.state == nil || !a.state.Stage.IsFinal()):
			return nil, false
		case toTarget && !a.mayTarget(l.Name, fresh):
			return nil, false
		case toTarget:
			a.sent++
		case !bound && !a.completed && a.state != nil && a.state.Stage == Committed:
			return nil, false
		}
		if first {
			a.requests++
		}
	}
	if l.inFlight == nil {
		l.inFlight = map[string]map[string]int{}
	}
	builds := l.inFlight[service]
	if builds == nil {
		builds = map[string]int{}
		l.inFlight[service] = builds
	}
	builds[build]++
	return func(r Result) { l.end(a, service, route, build, r) }, true
}

// end records the end of a request, for the account that was in use when it began.
func (l *Ledger) end(a *account, service, route, build string, r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	builds := l.inFlight[service]
	if builds[build]--; builds[build] == 0 {
		delete(builds, build)
	}
	if a == nil || r.Ignored {
		return
	}
	counts := &a.route(route).Old
	if build == a.order.Target {
		counts = &a.route(route).Target
	}
	counts.Requests++
	switch {
	case r.Failed:
		counts.Failures++
	case r.First > 0:
		counts.First[bucketOf(r.First)]++
	}
	if r.Pace > 0 {
		counts.Pace[bucketOf(r.Pace)]++
	}
}

// Report returns the report on an order, nil before Restore.
func (l *Ledger) Report(o Order) *ServiceReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(o)
	if a == nil || !a.restored {
		return nil
	}
	r := &ServiceReport{Target: o.Target, Created: o.Created, Requests: a.requests, Sent: a.sent, Routes: make(map[string]*RouteCounts, len(a.routes))}
	if a.state != nil {
		r.Stage, r.Number = a.state.Stage, a.state.Number
	}
	for build, n := range l.inFlight[o.Service] {
		if build != o.Target {
			r.OldInFlight += n
		}
	}
	for name, c := range a.routes {
		copied := *c
		r.Routes[name] = &copied
	}
	return r
}
