package forward

import (
	"time"

	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/waitlist"
)

const (
	// roomPollInterval is about the time after which a request that found no room for its prompt looks again, or the first one in the queue.
	roomPollInterval = 25 * time.Millisecond
	// roomPatience is the share of the time left for which such a request waits; it is then refused, so that its caller can come
	// back in time.
	roomPatience = 0.25
	// minQueueRetryAfter and maxQueueRetryAfter bound the time after which a request that the queue refuses is told to come back, before
	// it is spread. The first one applies also if the rate at which room comes free is unknown.
	minQueueRetryAfter = 250 * time.Millisecond
	maxQueueRetryAfter = 10 * time.Second
)

// placeDenial is why no endpoint was found for a request.
type placeDenial struct {
	reason     string
	retryAfter time.Duration
}

func denialOf(refusal *placement.Refusal) *placeDenial {
	if refusal == nil {
		return nil
	}
	return &placeDenial{reason: refusal.Reason.String(), retryAfter: refusal.RetryAfter}
}

// patience returns until when a request that waits since the given time may wait.
func (req *request) patience(waitingSince time.Time) time.Time {
	return waitingSince.Add(time.Duration(roomPatience * float64(req.deadline.Sub(waitingSince))))
}

// awaitRoom chooses an endpoint. If none has room for the prompt or may be sent another request yet, it waits for one.
func (req *request) awaitRoom() (placement.Choice, *placement.Request, *placeDenial) {
	waitingSince := time.Now()
	if q := req.handler.roomQueue(req.service); q != nil {
		return req.awaitTurn(q, waitingSince)
	}
	return req.pollForRoom(waitingSince)
}

// pollForRoom waits without a queue.
func (req *request) pollForRoom(waitingSince time.Time) (placement.Choice, *placement.Request, *placeDenial) {
	for {
		req.boundByStop()
		patience := req.patience(waitingSince)
		choice, placementRequest, refusal := req.chooseEndpoint(nil)
		req.notAdmitted = choice.NotAdmitted
		if !mayFindRoom(refusal, patience) {
			req.awaitedRoom = time.Since(waitingSince)
			return choice, placementRequest, denialOf(refusal)
		}
		timer := time.NewTimer(pollDelay())
		select {
		case <-req.ctx.Done():
			timer.Stop()
			return choice, placementRequest, denialOf(refusal)
		case <-timer.C:
		}
		req.snapshot = req.handler.View.Current()
	}
}

// mayFindRoom reports whether a request that was refused may be placed if it waits until patience ends.
func mayFindRoom(refusal *placement.Refusal, patience time.Time) bool {
	if refusal == nil {
		return false
	}
	switch refusal.Reason {
	case placement.NoMemory:
		return time.Now().Before(patience)
	case placement.RateLimited:
		return time.Now().Add(refusal.Wait).Before(patience)
	}
	return false
}

// awaitTurn waits in a queue. A request that finds others waiting does not choose an endpoint before it has the turn. While the gateway
// stops, it waits without the queue.
func (req *request) awaitTurn(q *roomQueue, waitingSince time.Time) (choice placement.Choice, placementRequest *placement.Request, denied *placeDenial) {
	if !q.busy() {
		var refusal *placement.Refusal
		choice, placementRequest, refusal = req.chooseEndpoint(nil)
		req.notAdmitted = choice.NotAdmitted
		if !mayFindRoom(refusal, req.patience(waitingSince)) {
			req.awaitedRoom = time.Since(waitingSince)
			return choice, placementRequest, denialOf(refusal)
		}
	}
	for req.handler.stopping.Load() == nil {
		w := q.enter(time.Now(), req.roomRequest(req.patience(waitingSince)), serviceOf(req.snapshot.Configuration, req.service), req.roomShare())
		choice, placementRequest, denied = req.waitInQueue(q, w)
		if placementRequest == nil && denied == nil {
			req.snapshot = req.handler.View.Current()
			continue
		}
		req.awaitedRoom = time.Since(waitingSince)
		req.handler.observe("Queue.Wait."+req.service, req.awaitedRoom)
		return choice, placementRequest, denied
	}
	return req.pollForRoom(waitingSince)
}

// roomShare returns this gateway's share of the memory of all engines of the service in tokens, 0 if the service has none.
func (req *request) roomShare() float64 {
	service := serviceOf(req.snapshot.Configuration, req.service)
	if service == nil || service.Engine == nil {
		return 0
	}
	engines := len(req.handler.serviceRing(req.snapshot, req.service, nil).eligible)
	return float64(engines) * float64(service.Engine.MemoryTokens) / float64(max(1, req.snapshot.Gateways))
}

// roomRequest describes the request for the queue. Requests that are bound to a build, or that have tried endpoints already, compete for
// other endpoints than the rest.
func (req *request) roomRequest(until time.Time) waitlist.Request {
	r := waitlist.Request{Priority: req.priority(), Tokens: req.meta.PromptTokens, Until: until}
	if req.organisation != nil {
		r.Organisation = req.organisation.Name
	}
	if req.pinned.active {
		r.Lane = "build " + req.pinned.build
	}
	if len(req.tried) > 0 {
		r.Lane += " again"
	}
	return r
}

// waitInQueue waits until the request is placed or denied. Both results are nil if the queue was cleared.
func (req *request) waitInQueue(q *roomQueue, w *waiter) (placement.Choice, *placement.Request, *placeDenial) {
	timer := time.NewTimer(time.Until(w.Until))
	defer timer.Stop()
	last := waitlist.WaitTooLong.String()
	for {
		patient := true
		select {
		case <-req.ctx.Done():
			patient = false
		case <-timer.C:
			patient = false
		case <-w.Value.wake:
		}
		choose, leave, reserved := q.turn(time.Now(), w)
		if leave || !patient {
			return req.leaveQueue(q, w, last)
		}
		if !choose {
			continue
		}
		req.snapshot = req.handler.View.Current()
		choice, placementRequest, refusal := req.chooseEndpoint(reserved)
		req.notAdmitted = choice.NotAdmitted
		switch {
		case refusal == nil:
			req.seat = q.placed(time.Now(), w)
			return choice, placementRequest, nil
		case refusal.Reason == placement.NoMemory && !time.Now().Before(w.Until):
			return req.leaveQueue(q, w, refusal.Reason.String())
		case !mayFindRoom(refusal, w.Until):
			q.leave(time.Now(), w)
			return choice, placementRequest, denialOf(refusal)
		}
		last = refusal.Reason.String()
		q.failed(time.Now(), w, refusal)
	}
}

// leaveQueue ends the wait of a request without room. last is the reason of the last refusal by the placement.
func (req *request) leaveQueue(q *roomQueue, w *waiter, last string) (choice placement.Choice, _ *placement.Request, _ *placeDenial) {
	at := q.leave(time.Now(), w)
	if w.Value.removed {
		return choice, nil, nil
	}
	req.queued = &at
	if w.Refused != waitlist.NotRefused {
		last = w.Refused.String()
	}
	req.handler.count("Queue.Refused." + req.service)
	retryAfter := min(max(minQueueRetryAfter, at.Wait), maxQueueRetryAfter)
	return choice, nil, &placeDenial{reason: last, retryAfter: req.handler.Table.Spread(retryAfter)}
}

// queueState returns what the queue knew when it refused the request, as keys and values for the log; nothing if it did not.
func (req *request) queueState() []any {
	if req.queued == nil {
		return nil
	}
	return []any{"ahead", req.queued.Ahead, "aheadTokens", req.queued.AheadTokens, "tokens", req.meta.PromptTokens, "priority", req.priority(),
		"expectedMs", req.queued.Wait.Milliseconds(), "tokensPerSecond", int(req.queued.Rate)}
}
