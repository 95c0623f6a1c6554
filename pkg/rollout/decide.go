package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// boundShare and slackShare are the parts of the bounds on exposure that are used. The rest allows for requests that are counted
	// differently elsewhere.
	boundShare = 0.95
	slackShare = 0.9
	// canaryPart is the part of the bound that is used before one endpoint gets the load of after the shift, and loadPart that before the shift,
	// which needs the rest.
	canaryPart = 0.2
	loadPart   = 0.3
	// trickleShare is the share of the target at first, and once its answers under load suffice. A target that is bad from the start is found
	// with few answers. restShare is that of other routes while a route has too few answers of the target, and that of this route is from
	// leastScarce to scarceShare.
	trickleShare = 0.02
	restShare    = 0.004
	leastScarce  = 1. / 16
	scarceShare  = 0.5
	// loadTime is how long one endpoint gets the load of after the shift at least, unless the allowances are used up before, and maxLoadTime how
	// long at most.
	loadTime    = 800 * time.Millisecond
	maxLoadTime = 3 * time.Second
	// loadFrom is the part of the duration from which on an endpoint of the target gets the load that it will have after the shift, once all
	// routes have answers, and from loadAnyway on in any case. From shiftFrom on all requests are shifted: the bound grows
	// with the requests, so that a late shift may take longest, while completion takes about a second more. From lastFrom on a shift is begun
	// even if it may not be finished.
	// From fewFrom on the rate of the requests is known, and what the shift does not need may be used.
	loadFrom   = 0.15
	fewFrom    = 0.25
	loadAnyway = 0.5
	shiftFrom  = 0.7
	lastFrom   = 0.85
	// minShiftTime is how long all requests go to the target at least, so that it is seen under full load. maxShiftTime is the time after
	// which a shift that is not confirmed by all gateways is broken off, usedShiftTime that if a gateway has used up its
	// allowance, and usualShiftTime what it usually takes.
	minShiftTime   = 300 * time.Millisecond
	maxShiftTime   = 3 * time.Second
	usedShiftTime  = 700 * time.Millisecond
	usualShiftTime = 450 * time.Millisecond
	// shiftPause is the least time between the beginnings of two shifts.
	shiftPause = 1500 * time.Millisecond
	// overtime is how long after its duration an order counts as late. The bound on exposure then holds no longer, since it concerns the
	// requests until then.
	overtime = time.Second
	// spareAnswers is by how much the requests to the target may exceed the answers that are missing, since they are not spread evenly over the
	// gateways.
	spareAnswers = 15
	// lateAnswers is how many requests more than allowed so far may be sent to the target of a late order.
	lateAnswers = 60
	// grantTime is how long the allowance of a gateway suffices in the stage Canary, and minGrant the least one that it has not used. What is
	// allowed to a gateway that is killed counts as used.
	grantTime = 1500 * time.Millisecond
	minGrant  = 2
	// shiftGrantTime is how long it suffices during a shift, in which gateways report more often. The rest goes to those that need more.
	shiftGrantTime = 400 * time.Millisecond
	// minTargets is the number of endpoints of the target, relative to the old ones, from which on they can bear all requests.
	minTargets = 0.5
)

// Bounds are the bounds on exposure: a bad target gets at most Share times the requests of the service plus Slack.
type Bounds struct {
	Share, Slack float64
}

// Input is what a decision is based on.
type Input struct {
	Order Order
	// Age is the time since the order was seen first.
	Age    time.Duration
	Bounds Bounds
	// Reports are the last reports of all gateways on the order, also of those that are gone.
	Reports map[string]*ServiceReport
	// Gateways are the gateways that may send requests. Unknown is set if these are not known.
	Gateways []string
	Unknown  bool
	// Targets are the endpoints of the target that accept requests at full rate, and Olds the number of those of the old builds.
	Targets []string
	Olds    int
}

// Decide returns the state that follows s, nil for none.
func Decide(s *State, in *Input) *State {
	next := &State{Target: in.Order.Target, Created: in.Order.Created}
	if s.IsOf(in.Order) {
		if s.Stage.IsFinal() {
			return s
		}
		copied := *s
		next = &copied
	}
	next.AgeMs = max(next.AgeMs, in.Age.Milliseconds())
	t := in.tally()
	if reason := regression(t.routes); reason != "" {
		return next.rollBack(reason)
	}
	late := in.Age > in.Order.Duration+overtime
	limit := boundShare*in.Bounds.Share*float64(t.requests) + slackShare*in.Bounds.Slack
	if late {
		limit = max(limit, float64(next.allowed())+lateAnswers)
	}
	scarce, missing := lacking(t.routes, limit)
	age := float64(in.Age) / float64(max(1, in.Order.Duration))
	rate := float64(t.requests) / max(1, in.Age.Seconds())
	usual := rate * usualShiftTime.Seconds()
	switch next.Stage {
	case Shift:
		took := in.Age - time.Duration(next.ShiftedMs)*time.Millisecond
		switch {
		case len(in.Targets) == 0:
			next.breakOff("the target has no endpoints")
		case took >= minShiftTime && in.confirms(next):
			next.Stage, next.Reason, next.Share, next.Scarce, next.Mean = Committed, "", 1, nil, 1
			return next
		case took > usedShiftTime && !late && in.isSpent(next):
			next.breakOff("a gateway has used up its allowance")
		case took > maxShiftTime && !late:
			next.breakOff("not all gateways confirmed in time")
		case late || float64(t.sent) < limit-1:
		default:
			next.breakOff("the bound on exposure is reached")
		}
	case Canary:
		need := usual
		if age >= lastFrom {
			need /= 2
		}
		rested := next.Number == 0 || in.Age > time.Duration(next.ShiftedMs)*time.Millisecond+shiftPause
		enough := float64(len(in.Targets)) >= minTargets*float64(in.Olds) && len(in.Targets) > 0
		if len(scarce) == 0 && missing == 0 && enough && rested && age >= shiftFrom && (late || limit-float64(t.sent) >= need) {
			next.Stage, next.ShiftedMs, next.Reason = Shift, in.Age.Milliseconds(), ""
			next.Number++
		}
	}
	budget := limit
	switch {
	case late && next.Stage == Shift:
		budget = math.Inf(1)
	case next.Stage == Canary && in.Olds > 0:
		part := canaryPart
		if age >= loadFrom && len(scarce) == 0 || age >= loadAnyway {
			part = loadPart
		}
		if budget = part * limit; age >= fewFrom {
			// Few requests need a larger share to show anything, and a short shift of them is cheap.
			budget = max(budget, limit-3*usual, min(limit-2*usual, float64(next.allowed()+missing)+2*sum(scarce)+spareAnswers))
		}
	}
	next.setShare(in, t, &need{scarce: scarce, missing: missing, left: budget - float64(t.sent), rate: rate, age: age})
	each := rate / float64(max(1, len(in.Gateways)))
	ahead := max(minGrant, math.Ceil(next.Mean*each*grantTime.Seconds()))
	if next.Stage == Shift {
		ahead = minGrant + math.Ceil(each*shiftGrantTime.Seconds())
	}
	next.grant(in, t, budget, limit, ahead)
	return next
}

func sum(missing map[string]uint64) (n float64) {
	for _, m := range missing {
		n += float64(m)
	}
	return n
}

// rollBack returns the final state for a bad target.
func (s *State) rollBack(reason string) *State {
	return &State{Target: s.Target, Created: s.Created, Stage: RolledBack, Number: s.Number, AgeMs: s.AgeMs, ShiftedMs: s.ShiftedMs, Allowed: s.Allowed,
		Reason: reason}
}

// breakOff ends a shift.
func (s *State) breakOff(reason string) { s.Stage, s.Reason = Canary, reason }

// need is what the canary share depends on: the answers that are missing, how many requests may still be sent to the target, the rate of the
// service's requests in a second, and the age of the order relative to its duration.
type need struct {
	scarce  map[string]uint64
	missing uint64
	left    float64
	rate    float64
	age     float64
}

// setShare sets the shares of the target in the stage Canary, and the endpoints that get them.
func (s *State) setShare(in *Input, t *tally, n *need) {
	s.Endpoints, s.Scarce = nil, nil
	switch {
	case len(in.Targets) == 0:
		s.Share, s.Mean = 0, 0
		return
	case in.Olds == 0 || s.Stage != Canary:
		s.Share, s.Mean = 1, 1
		return
	}
	s.Endpoints = []string{slices.Min(in.Targets)}
	s.Share = trickleShare
	if len(n.scarce) > 0 {
		s.Share = restShare
	}
	// Each of n endpoints will get one n-th of the requests. One endpoint gets that now, while the allowances suffice.
	each := n.rate / float64(len(in.Targets))
	loading := s.LoadedMs > 0 && !s.Loaded
	switch {
	case s.Loaded:
	case loading && (n.left < each*loadTime.Seconds()/4 || in.Age.Milliseconds() > s.LoadedMs+maxLoadTime.Milliseconds()):
		s.Loaded, loading = true, false
	case !loading && n.missing == 0 && (len(n.scarce) == 0 && n.age >= loadFrom || n.age >= loadAnyway) && n.left >= each*loadTime.Seconds():
		s.LoadedMs, loading = in.Age.Milliseconds(), true
	}
	if loading {
		s.Share = 1 / float64(len(in.Targets))
	}
	s.setScarce(in, t, n)
	s.Mean = s.meanShare(t)
}

// setScarce sets the shares of the routes with too few answers of the target, so that these come before the shift.
func (s *State) setScarce(in *Input, t *tally, n *need) {
	left := max(1, (shiftFrom-n.age)*in.Order.Duration.Seconds()/2)
	shareOf := func(missing uint64, requests float64) float64 {
		if requests <= 0 {
			return scarceShare
		}
		// Shares change in few steps, since each change makes another plan for the streams.
		// Some more, since the number that suffices grows with the requests.
		share := (float64(missing) + spareAnswers/2) / (requests / max(1, in.Age.Seconds()) * left)
		return min(scarceShare, max(leastScarce, math.Exp2(math.Ceil(math.Log2(share)))))
	}
	s.Scarce = map[string]float64{}
	if n.missing > 0 {
		share := shareOf(n.missing, float64(t.requests))
		for name := range t.routes {
			s.Scarce[name] = share
		}
		s.Share = max(s.Share, share)
	}
	for name, missing := range n.scarce {
		c := t.routes[name]
		s.Scarce[name] = max(s.Scarce[name], shareOf(missing, float64(c.Old.Requests+c.Target.Requests)))
	}
}

// meanShare returns the mean share of the requests of all routes.
func (s *State) meanShare(t *tally) float64 {
	sum, requests := 0.0, 0.0
	for name, c := range t.routes {
		n := float64(c.Old.Requests + c.Target.Requests)
		sum += n * max(s.Share, s.Scarce[name])
		requests += n
	}
	if requests == 0 {
		return s.Share
	}
	return sum / requests
}

// tally is the sum of all reports.
type tally struct {
	requests, sent uint64
	routes         map[string]*RouteCounts
}

func (in *Input) tally() *tally {
	t := &tally{routes: map[string]*RouteCounts{}}
	for _, r := range in.Reports {
		t.requests += r.Requests
		t.sent += r.Sent
		for name, c := range r.Routes {
			sum := t.routes[name]
			if sum == nil {
				sum = &RouteCounts{}
				t.routes[name] = sum
			}
			sum.Target.add(&c.Target)
			sum.Old.add(&c.Old)
		}
	}
	return t
}

// confirms reports whether all gateways act on a state and have no request at the old builds.
func (in *Input) confirms(s *State) bool {
	for _, name := range in.Gateways {
		r := in.Reports[name]
		if r == nil || r.Stage != s.Stage || r.Number != s.Number || (s.Stage != RolledBack && r.OldInFlight > 0) {
			return false
		}
	}
	return !in.Unknown
}

// isSpent reports whether a gateway can't send more to the target.
func (in *Input) isSpent(s *State) bool {
	return slices.ContainsFunc(in.Gateways, func(name string) bool {
		r := in.Reports[name]
		return r != nil && r.Requests > 0 && r.Sent >= s.Allowed[name]
	})
}

// Confirmed reports whether all gateways act on the final state of an order. If that is Committed, none has a request at the old builds any more
// either, so that these may stop.
func Confirmed(s *State, in *Input) bool { return s.Stage.IsFinal() && in.confirms(s) }

// grant raises the allowances: each gateway may send its part of the budget, by its share of the requests, and has
// not used more than ahead of it. The sum stays within limit, unless the budget is unbounded, since the order is late.
func (s *State) grant(in *Input, t *tally, budget, limit, ahead float64) {
	room := math.Floor(min(budget, limit)) - float64(s.allowed())
	if math.IsInf(budget, 1) {
		budget, room = float64(t.sent)+2*float64(t.requests)+1000, math.MaxInt32
	}
	if room < 1 || len(in.Gateways) == 0 {
		return
	}
	type claim struct {
		name string
		want float64
	}
	weights := 0.0
	for _, name := range in.Gateways {
		weights += in.weight(name)
	}
	left := max(0, budget-float64(t.sent))
	var claims []claim
	for _, name := range in.Gateways {
		sent := uint64(0)
		if r := in.Reports[name]; r != nil {
			sent = r.Sent
		}
		// What was allowed and not used may have been used since the report.
		want := float64(sent) + min(ahead, left*in.weight(name)/weights) - float64(s.Allowed[name])
		claims = append(claims, claim{name, want})
	}
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Or(cmp.Compare(b.want, a.want), cmp.Compare(a.name, b.name)) })
	allowed := maps.Clone(s.Allowed)
	if allowed == nil {
		allowed = map[string]uint64{}
	}
	for _, c := range claims {
		if n := min(math.Ceil(c.want), room); n >= 1 {
			allowed[c.name] += uint64(n)
			room -= n
		}
	}
	s.Allowed = allowed
}

// weight is in proportion to the requests of a gateway. New gateways count, too.
func (in *Input) weight(gateway string) float64 {
	if r := in.Reports[gateway]; r != nil {
		return float64(r.Requests) + 5
	}
	return 5
}

// String describes a state for logs.
func (s *State) String() string {
	return fmt.Sprintf("%s %d at %d ms, share %.3f, allowed %d", s.Stage, s.Number, s.AgeMs, s.Share, s.allowed())
}
