package forward

import (
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/hedge"
	"primrosecourse/pkg/memory"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/rollout"
	"primrosecourse/pkg/site"
)

// errNotChosen is the cause with which the context of an attempt is cancelled because the answer of its rival is relayed.
var errNotChosen = errors.New("another endpoint answered first")

// copied is the part of an attempt that is used if another attempt of its request may be in flight at the same time. Each is carried out in
// a goroutine of its own, up to the end of an answer that is short; the goroutine of the request handles the results, so that only that one
// changes the state of the request.
type copied struct {
	// done is closed once the other fields are valid.
	done chan struct{}
	// body, whole and bodyErr are the results of readShort and confirmEnd. whole is false for a long answer, which is not read.
	body    []byte
	whole   bool
	bodyErr error
	readyAt time.Time
	// panicked describes a panic of the goroutine, empty if there was none.
	panicked string
}

// mayBeHedged reports whether the request may be sent to a second endpoint before the first one has answered: only one that may run twice, and
// whose service is not being moved to another build, since a hedge would not be counted against the bounds on exposure.
func (req *request) mayBeHedged() bool {
	return req.handler.Hedging != nil && req.route.Repeat == site.Always && !req.route.Streaming && req.turn.side == rollout.Any
}

// hedgedAttempt sends the request to an endpoint and, if that does not answer within the usual time, to a second one, and relays the first
// answer. The result covers both.
func (req *request) hedgedAttempt(choice placement.Choice, placementRequest *placement.Request) verdict {
	watch := req.handler.Hedging.Watch(time.Now(), req.service, req.route.Name)
	defer func() { watch.Ended(time.Now()) }()
	first := req.begin(choice, placementRequest)
	defer first.endCopy()
	first.start(req.memory, req.fallbackBytes())
	second := req.awaitHedge(watch, first)
	if second == nil {
		<-first.copied.done
		first.sample(watch)
		return first.settleCopy()
	}
	defer second.endCopy()
	first.rival, second.rival = second, first
	second.start(req.hedgeMemory, req.fallbackBytes())
	earlier, later := first, second
	select {
	case <-first.copied.done:
	case <-second.copied.done:
		earlier, later = second, first
	}
	if earlier == first {
		first.sample(watch)
	}
	v := earlier.settleCopy()
	if v == done {
		later.discard()
		req.recordHedge(first, second, earlier)
		return done
	}
	suspicion := req.suspicion
	<-later.copied.done
	if later == first {
		first.sample(watch)
	}
	switch last := later.settleCopy(); {
	case last == done:
		req.recordHedge(first, second, later)
		return done
	case last == mayHaveRun:
		v = mayHaveRun
	}
	if suspicion != "" {
		req.suspicion = suspicion
	}
	req.recordHedge(first, second, nil)
	return v
}

// awaitHedge waits until the first attempt has ended or a second one is due, and returns the second, or nil if there is none.
func (req *request) awaitHedge(watch *hedge.Watch, first *attempt) *attempt {
	if watch.Delay == 0 || req.possibleRuns+2 > req.route.Attempts || req.attempts >= maxAttempts {
		return nil
	}
	req.handler.count("Hedge.Requests." + req.service)
	timer := time.NewTimer(time.Until(first.started.Add(watch.Delay)))
	defer timer.Stop()
	select {
	case <-first.copied.done:
		return nil
	case <-timer.C:
	}
	watch.Overdue()
	// From here on, the silence of the first endpoint is not a reason to release the first attempt: the hedge stands for the retry.
	resume := first.flight.hold()
	if first.ctx.Err() != nil {
		return nil
	}
	second, denial := req.beginHedge(watch, first)
	if second == nil {
		req.handler.count("Hedge.Denied." + denial + "." + req.service)
		resume()
	}
	return second
}

// beginHedge begins the second attempt, or returns the reason why there is none.
func (req *request) beginHedge(watch *hedge.Watch, first *attempt) (second *attempt, denial string) {
	req.snapshot = req.handler.View.Current()
	if first.mayCrashAgain(first.newBreak(req.snapshot.Configuration.Services[req.service], nil)) != "" {
		return nil, "Suspect"
	}
	if _, quarantined := req.handler.Requests.Quarantined(req.snapshot, req.fingerprint); quarantined {
		return nil, "Suspect"
	}
	if _, quarantined := req.quarantinedPart(); quarantined {
		return nil, "Suspect"
	}
	choice, placementRequest, refusal := req.chooseEndpoint(nil)
	if refusal != nil {
		return nil, "NoEndpoint"
	}
	now := time.Now()
	hasPlace := choice.Wait <= watch.Delay && req.handler.Table.HasFreePlace(now, choice.Endpoint)
	denied, share := watch.Hedge(now, hasPlace)
	if denied != hedge.Granted {
		return nil, denied.String()
	}
	if !req.takeRetry() {
		watch.GiveBack(now)
		return nil, "RetryBudget"
	}
	if req.hedgeMemory == nil {
		// The allowance of the request is that of the first copy.
		req.hedgeMemory = req.handler.Memory.Hold(0)
	}
	second = req.begin(choice, placementRequest)
	second.flight.hold()
	req.handler.count("Hedge.Sent." + req.service)
	event.Debug(req.handler.Log, event.RequestHedged, "request", req.meta.ID, "first", first.endpoint.ID, "second", second.endpoint.ID,
		"delayMs", watch.Delay.Milliseconds(), "percentile", watch.Percentile, "share", share, "openMs", now.Sub(first.started).Milliseconds())
	return second, ""
}

// start carries out the attempt in a goroutine of its own. The answer is read with memory, which holds held bytes for something else.
func (a *attempt) start(m *memory.Holder, held int) {
	c := &copied{done: make(chan struct{})}
	a.copied = c
	go func() {
		defer close(c.done)
		defer func() {
			if cause := recover(); cause != nil {
				c.panicked = errors.Newf("panic: %v\n%s", cause, debug.Stack()).Error()
			}
		}()
		a.send()
		if a.err == nil {
			a.readAhead(m, held)
		}
		c.readyAt = time.Now()
	}()
}

// readAhead reads a short answer that may be relayed.
func (a *attempt) readAhead(m *memory.Holder, held int) {
	answer, c := a.answer, a.copied
	a.req.handler.Table.Heard(time.Now(), a.endpoint)
	info := a.req.handler.Codec.ParseAnswer(answer.Status, answer.Header)
	if info.NotRun || !info.valid(answer.Status) || impliesNotRun(answer.Status) || answer.Length > maxBufferedBytes {
		return
	}
	a.answering.Store(true)
	if c.body, c.whole, c.bodyErr = readShort(answer.Body, m, held); c.whole {
		c.bodyErr = a.confirmEnd(a.ctx, answer)
	}
}

// sample records the latency of the first attempt. That of a hedge is none: that it was sent, or won, says something about its latency
// already. Neither is that of an error, which may come sooner than an answer.
func (a *attempt) sample(watch *hedge.Watch) {
	if c := a.copied; a.err == nil && c.bodyErr == nil && a.answer.Status < 400 {
		watch.Answered(c.readyAt, c.readyAt.Sub(a.started))
	}
}

// settleCopy handles the result of an attempt that was started.
func (a *attempt) settleCopy() verdict {
	if a.copied.panicked != "" {
		panic(a.copied.panicked)
	}
	a.settled = true
	return a.settle()
}

// choose cancels the rival of the attempt, whose answer is relayed now.
func (a *attempt) choose() {
	if a.rival == nil || a.rival.settled {
		return
	}
	a.rival.release(errNotChosen)
	// The rival may have run.
	a.req.possibleRuns++
}

// discard ends an attempt whose rival was chosen. Its endpoint is not blamed.
func (a *attempt) discard() {
	a.release(errNotChosen)
	<-a.copied.done
	a.settled = true
	a.recordOutcome(placement.Abandoned)
}

// endCopy ends an attempt that was started, whether or not it has been handled.
func (a *attempt) endCopy() {
	if a.copied != nil {
		select {
		case <-a.copied.done: // The connection of an attempt that has ended can be reused; a release would close it.
		default:
			a.release(errNotChosen)
			<-a.copied.done
		}
	}
	a.end()
}

// recordHedge counts and logs how a request ended that was sent to two endpoints. winner is the attempt that ended it, nil if none.
func (req *request) recordHedge(first, second, winner *attempt) {
	outcome := "NeitherAnswered"
	switch {
	case winner == nil || req.generated || req.status >= 500:
	case winner == first:
		outcome = "FirstAnswered"
	default:
		outcome = "SecondAnswered"
		req.handler.count("Hedge.Won." + req.service)
	}
	event.Debug(req.handler.Log, event.HedgeEnded, "request", req.meta.ID, "first", first.endpoint.ID, "second", second.endpoint.ID,
		"outcome", outcome, "status", req.status, "tookMs", time.Since(first.started).Milliseconds())
}
