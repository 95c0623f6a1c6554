package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/connection/endpoint"
	"primrosecourse/internal/event"
	"primrosecourse/pkg/loadreport"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/quarantine"
	"primrosecourse/pkg/site"
)

// attempt is one try of a request at one endpoint.
type attempt struct {
	req *request
	// number is the number of the attempt, from 1.
	number   int
	endpoint *site.Endpoint
	// placed is the request for which the endpoint was chosen.
	placed *placement.Request
	// prefillTokens is the number of prompt tokens of the attempt that the placement table counts as waiting for prefill; 0 once the
	// first bytes of a streamed answer have arrived or the outcome is recorded.
	prefillTokens int
	started       time.Time
	// known is the evidence against the request when the attempt began.
	known quarantine.Evidence
	// ctx is done with the request, and with the cause errSilent once the endpoint has been found silent. release cancels it.
	ctx     context.Context
	release context.CancelCauseFunc
	// stopLimit ends the wait for the limit on replaced weights; it may be nil.
	stopLimit func() bool
	// call is sent to target; answer and err are the result.
	call   *endpoint.Call
	target endpoint.Target
	answer *endpoint.Answer
	err    error
	// copied is set if another attempt of the request may be in flight at the same time. rival is that attempt, nil if there is none, and
	// settled is set once this one has been handled.
	copied  *copied
	rival   *attempt
	settled bool
	// observesLink is set if the time of the first token says something about links: the endpoint probably had to fetch the shared
	// parts, the longest one from the store fetchedFrom, or to read them. expected is the expected time until the first token.
	observesLink bool
	fetchedFrom  string
	expected     time.Duration
	// saves are the saves of parts that the endpoint was instructed to make.
	saves requestedSaves
	// flight is the attempt's entry in the silence watch, nil without one.
	flight *flight
	// answering is set once bytes of the answer's body have arrived; an answer that is not a stream then counts as begun.
	answering atomic.Bool
	// begunAt is when the first event of the answer arrived; begun is set once the endpoint has lived on for settleTime or the answer has
	// ended.
	begunAt time.Time
	begun   bool
	// observed is what the attempt tells about the build of its endpoint, and expectedFirst the expected time until the first token of an
	// engine.
	observed      observed
	expectedFirst time.Duration
}

// send sends the request and waits for the header of the answer.
func (a *attempt) send() { a.answer, a.err = a.req.handler.Endpoints.Send(a.ctx, a.target, a.call) }

// settle handles the result of send.
func (a *attempt) settle() verdict {
	if !errors.Is(a.err, endpoint.ErrNotSent) {
		a.req.arrivals++
	}
	if a.err != nil {
		return a.handleSendError(a.err)
	}
	return a.handleAnswer(a.answer)
}

// end releases what the attempt holds.
func (a *attempt) end() {
	if a.answer != nil {
		a.answer.Close()
	}
	if a.flight != nil {
		a.req.handler.Silence.end(a.flight)
	}
	if a.stopLimit != nil {
		a.stopLimit()
	}
	a.release(nil)
}

// handleSendError handles an attempt that ended without an answer.
func (a *attempt) handleSendError(err error) verdict {
	req := a.req
	v := mayHaveRun
	var other *endpoint.IncarnationError
	switch {
	case errors.As(err, &other):
		a.handleOtherIncarnation(other)
		v = notRun
	case errors.Is(err, endpoint.ErrNoConnection):
		a.recordOutcome(placement.Full)
		v = notRun
	case errors.Is(err, endpoint.ErrNotStated):
		a.recordOutcome(a.failureOutcome(placement.Broken))
		v = notRun
	case connectFailed(err):
		a.recordOutcome(a.failureOutcome(placement.Unreachable))
		v = notRun
	default:
		req.possibleRuns++
		a.recordBrokenConnection(err)
	}
	event.Info(req.handler.Log, event.RequestFailedAttempt, "request", req.meta.ID, "endpoint", a.endpoint.ID, "error", a.cause(err).Error(),
		"mayHaveRun", v == mayHaveRun, "fingerprint", formatKey(req.fingerprint), "afterMs", time.Since(a.started).Milliseconds())
	req.handler.count("Attempts.Failed")
	return v
}

// handleAnswer records the load and the remaining warm-up time that the answer's header states, and relays the answer if the caller
// may get it.
func (a *attempt) handleAnswer(answer *endpoint.Answer) verdict {
	req := a.req
	a.observed.status = answer.Status
	info := req.handler.Codec.ParseAnswer(answer.Status, answer.Header)
	now := time.Now()
	req.handler.Table.Heard(now, a.endpoint)
	if info.HasLoad {
		req.handler.Table.Report(now, a.endpoint,
			loadreport.Statement{Running: info.Running, Waiting: info.Waiting, Slots: info.Slots, Slowness: info.Slowness})
	}
	if info.Slowness > 0 {
		req.recordSlowness(now)
	}
	if info.Cold > 0 {
		req.handler.Table.Cold(now, a.endpoint, info.Cold)
	}
	if !info.Misdirected {
		a.observeIntake(now, info.Intake)
	}
	switch {
	case info.NotRun:
		return a.handleRefusal(answer, info)
	case !info.valid(answer.Status):
		req.possibleRuns++
		a.recordOutcome(placement.Broken)
		a.logFailedAttempt("answer is encoded or lacks the endpoint's seal", answer.Status)
		return mayHaveRun
	case impliesNotRun(answer.Status):
		req.possibleRuns++
		a.recordOutcome(placement.Failed)
		a.logFailedAttempt("status implies that the request did not run, but the endpoint did not state so", answer.Status)
		return mayHaveRun
	}
	req.possibleRuns++
	if req.w.Started() && answer.Status >= 300 {
		a.recordOutcome(placement.Failed)
		a.logFailedAttempt("endpoint did not resume the stream", answer.Status)
		return mayHaveRun
	}
	if req.w.Started() && mediaType(answer.Header) != req.mediaType {
		a.recordOutcome(placement.Failed)
		a.logFailedAttempt("endpoint resumed the stream with another type of content", answer.Status)
		return mayHaveRun
	}
	if req.route.Streaming && answer.Status < 300 {
		return a.relayStream(answer)
	}
	return a.relayBuffered(answer)
}

func (a *attempt) logFailedAttempt(reason string, status int) {
	event.Info(a.req.handler.Log, event.RequestFailedAttempt, "request", a.req.meta.ID, "endpoint", a.endpoint.ID, "error", reason,
		"status", status, "mayHaveRun", true, "fingerprint", formatKey(a.req.fingerprint), "afterMs", time.Since(a.started).Milliseconds())
}

// impliesNotRun reports whether a status implies that a request did not run and will not.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// handleRefusal handles an answer that states that the endpoint did not run the request.
func (a *attempt) handleRefusal(answer *endpoint.Answer, info AnswerInfo) verdict {
	req := a.req
	answer.Discard()
	o := placement.Full
	if info.Misdirected {
		o = placement.Misdirected
	}
	a.recordOutcome(o)
	event.Info(req.handler.Log, event.RequestFailedAttempt, "request", req.meta.ID, "endpoint", a.endpoint.ID, "error", "refused",
		"status", answer.Status, "mayHaveRun", false, "afterMs", time.Since(a.started).Milliseconds())
	req.handler.count("Attempts.Refused")
	if answer.Status == http.StatusBadRequest {
		a.choose()
		req.refuse(http.StatusBadRequest, "EndpointRefused", "the endpoint rejected the request as malformed", 0)
		return done
	}
	return notRun
}

// relayStream relays complete events as they arrive.
func (a *attempt) relayStream(answer *endpoint.Answer) verdict {
	req := a.req
	if req.stream == nil {
		req.stream = newEventSplitter(req.meta.LastEvent)
	}
	req.stream.begin(req.w.Started())
	buffer := make([]byte, 4096)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			req.handler.Table.Heard(time.Now(), a.endpoint)
		}
		if n > 0 {
			relayed, err := a.relayEvents(answer, buffer[:n])
			switch {
			case err != nil:
				return a.handleBrokenStream(err)
			case !relayed:
				return done
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			return a.finishStream(answer)
		}
		return a.handleBrokenStream(err)
	}
}

// relayEvents relays the events that p completes. It reports whether the caller can get more. An error means that what follows is no event.
func (a *attempt) relayEvents(answer *endpoint.Answer, p []byte) (relayed bool, err error) {
	req := a.req
	a.answering.Store(true)
	a.saves.begun(time.Now())
	if a.prefillTokens > 0 {
		took := time.Since(a.started)
		req.handler.Table.Prefilled(a.endpoint, a.prefillTokens, took)
		if a.observesLink && req.handler.Links != nil {
			req.handler.Links.Observe(time.Now(), a.fetchedFrom, took-a.expected)
		}
		a.prefillTokens = 0
	}
	complete, streamErr := req.stream.add(p)
	if streamErr == nil && !req.memory.Grow(req.fallbackBytes()+cap(req.stream.partial)) {
		streamErr = errNoAnswerMemory
	}
	if len(complete) == 0 {
		return true, streamErr
	}
	a.countEvents(complete)
	a.flight.progress(time.Now())
	a.recordBegun(false)
	if !a.recordSource(answer) && (req.w.Started() || req.pinned.takenUp) {
		return true, errBuildUnknown
	}
	if !a.startStream(answer) {
		return false, nil
	}
	if _, err := req.w.Write(complete); err == nil {
		err = req.w.Flush()
		if err == nil {
			return true, streamErr
		}
	}
	a.recordOutcome(placement.Abandoned)
	req.reason = "CallerLeft"
	req.w.Abort()
	return false, nil
}

// startStream writes the header of a stream unless it has been written. It returns false if the write fails.
func (a *attempt) startStream(answer *endpoint.Answer) bool {
	req := a.req
	if req.w.Started() {
		return true
	}
	req.status, req.firstPiece, req.mediaType = answer.Status, time.Now(), mediaType(answer.Header)
	req.handler.observe(req.metricName("FirstPiece"), req.firstPiece.Sub(req.started))
	if err := req.w.Start(answer.Status, answer.Header, -1); err != nil {
		a.recordOutcome(placement.Abandoned)
		req.reason = "CallerLeft"
		return false
	}
	return true
}

// mediaType returns the type of content that a header states, without its parameters.
func mediaType(h http.Header) string {
	value, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(value))
}

// finishStream ends the caller's stream after the endpoint has ended its own.
func (a *attempt) finishStream(answer *endpoint.Answer) verdict {
	req := a.req
	rest := req.stream.partial
	switch {
	case len(bytes.Trim(rest, "\r\n")) > 0:
		return a.handleBrokenStream(errors.New("stream ended in the middle of an event"))
	case answer.Unframed() && !req.stream.hasEvents:
		return a.handleBrokenStream(errors.New("stream without an announced end has no event"))
	}
	if err := a.confirmEnd(a.req.ctx, answer); err != nil {
		return a.handleBrokenStream(err)
	}
	a.recordEnd(answer.Status)
	if !a.begunAt.IsZero() {
		a.recordBegun(true)
	}
	if !a.startStream(answer) {
		return done
	}
	// Blank lines after the last event are a part of the body.
	if _, err := req.w.Write(rest); err != nil || req.w.End() != nil {
		req.reason = "CallerLeft"
	}
	return done
}

// handleBrokenStream records and logs a stream that broke off or ended in the middle of an event.
func (a *attempt) handleBrokenStream(err error) verdict {
	a.recordBrokenConnection(err)
	a.logFailedAttempt(a.cause(err).Error(), a.req.status)
	return mayHaveRun
}
