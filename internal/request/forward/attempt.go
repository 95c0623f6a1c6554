package forward

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/connection/endpoint"
	"primrosecourse/internal/event"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
)

// attempt is a request at one endpoint.
type attempt struct {
	q      *request
	e      *site.Endpoint
	unread int
	began  time.Time
}

// wholeAnswer is an answer that has been read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// wholeLimit is the length up to which an answer is read before its first byte is passed on, so that one that is cut can
// still be replaced.
const wholeLimit = 256 << 10

// ended tells the table how the attempt ended.
func (a *attempt) ended(o placement.Outcome) {
	suspect, trusted := a.q.h.Table.Ended(time.Now(), a.e, a.unread, o)
	a.unread = 0
	switch {
	case suspect:
		event.Info(a.q.h.Log, event.EndpointSuspect, "endpoint", a.e.ID, "outcome", o.String(), "request", a.q.meta.ID)
	case trusted:
		event.Info(a.q.h.Log, event.EndpointTrusted, "endpoint", a.e.ID, "outcome", o.String(), "request", a.q.meta.ID)
	}
}

// outcome tells what a failure says of the endpoint.
func (a *attempt) outcome(failure placement.Outcome) placement.Outcome {
	switch {
	case a.q.caller.Err() != nil:
		return placement.Abandoned
	case a.q.ctx.Err() != nil:
		return placement.Late
	}
	return failure
}

// failed judges an attempt without an answer.
func (a *attempt) failed(err error) verdict {
	q := a.q
	v := unknown
	switch {
	case errors.Is(err, endpoint.ErrNoConnection):
		a.ended(placement.Full)
		v = notRun
	case isDial(err):
		a.ended(a.outcome(placement.Unreachable))
		v = notRun
	default:
		q.ran++
		a.broke()
	}
	event.Info(q.h.Log, event.RequestFailedAttempt, "request", q.meta.ID, "endpoint", a.e.ID, "error", err.Error(),
		"mayHaveRun", v == unknown, "afterMs", time.Since(a.began).Milliseconds())
	q.h.count("Attempts.Failed")
	return v
}

// broke judges a connection that ended under the request.
func (a *attempt) broke() {
	o := a.outcome(placement.Broken)
	a.ended(o)
	service := a.q.view.Configuration.Services[a.q.service]
	if o == placement.Broken && service != nil && service.Engine != nil && a.q.h.Crashes != nil {
		a.q.h.Crashes.Broke(a.q.meta.ID, a.q.fingerprint, a.q.target(a.e, service))
	}
}

// answered judges an answer and passes it on if it is the caller's.
func (a *attempt) answered(answer *endpoint.Answer) verdict {
	q := a.q
	sign := q.h.Codec.Sign(answer.Status, answer.Header)
	now := time.Now()
	if sign.HasLoad {
		q.h.Table.Report(now, a.e, sign.Running, sign.Waiting, sign.Slots)
	}
	if sign.Cold > 0 {
		q.h.Table.Cold(now, a.e, sign.Cold)
	}
	switch {
	case sign.NotRun:
		return a.refused(answer, sign)
	case sign.Encoded || (answer.Status < 300 && !sign.Sealed):
		q.ran++
		a.ended(placement.Broken)
		a.logFailed("answer is not the endpoint's own", answer.Status)
		return unknown
	case isPromise(answer.Status):
		// The endpoint does not say that the request did not run, and its status would promise it.
		q.ran++
		a.ended(placement.Erred)
		a.logFailed("status promises what the endpoint does not say", answer.Status)
		return unknown
	}
	q.ran++
	if q.w.Started() && answer.Status >= 300 {
		a.ended(placement.Erred)
		a.logFailed("stream was not resumed", answer.Status)
		return unknown
	}
	if q.route.Streaming && answer.Status < 300 {
		return a.passStream(answer)
	}
	return a.passWhole(answer)
}

func (a *attempt) logFailed(reason string, status int) {
	event.Info(a.q.h.Log, event.RequestFailedAttempt, "request", a.q.meta.ID, "endpoint", a.e.ID, "error", reason,
		"status", status, "mayHaveRun", true, "afterMs", time.Since(a.began).Milliseconds())
}

// isPromise reports whether a status promises that a request did not and will not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// refused takes an endpoint's word that it did not run the request.
func (a *attempt) refused(answer *endpoint.Answer, sign Sign) verdict {
	q := a.q
	// The body is read so that the connection can be used again.
	_, _ = io.CopyN(io.Discard, answer.Body, wholeLimit)
	o := placement.Full
	if sign.Misdirected {
		o = placement.Misdirected
	}
	a.ended(o)
	event.Info(q.h.Log, event.RequestFailedAttempt, "request", q.meta.ID, "endpoint", a.e.ID, "error", "refused",
		"status", answer.Status, "mayHaveRun", false, "afterMs", time.Since(a.began).Milliseconds())
	q.h.count("Attempts.Refused")
	if answer.Status == http.StatusBadRequest {
		q.refuse(http.StatusBadRequest, "EndpointRefused", "the endpoint takes the request for malformed", 0)
		return done
	}
	return notRun
}

// passWhole passes an answer on after it has been read, if it is short.
func (a *attempt) passWhole(answer *endpoint.Answer) verdict {
	q := a.q
	if answer.Length > wholeLimit {
		return a.passLong(answer)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, wholeLimit+1))
	if err != nil {
		a.broke()
		a.logFailed(err.Error(), answer.Status)
		return unknown
	}
	if len(body) > wholeLimit {
		answer.Body = io.MultiReader(bytes.NewReader(body), answer.Body)
		return a.passLong(answer)
	}
	whole := &wholeAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status < 500 {
		a.ended(placement.Answered)
		q.deliver(whole)
		return done
	}
	a.ended(placement.Erred)
	if q.route.Repeat == site.Always && q.ran < q.route.Attempts {
		// Another endpoint may do better. If it does not, this answer stands.
		q.spare = whole
		a.logFailed("endpoint failed", answer.Status)
		return unknown
	}
	q.deliver(whole)
	return done
}

// deliver passes a whole answer on.
func (q *request) deliver(a *wholeAnswer) {
	q.status, q.firstPiece = a.status, time.Now()
	if err := q.w.Answer(a.status, a.header, a.body); err != nil {
		q.reason = "CallerLeft"
	}
}

// passLong passes an answer on as it arrives. One that is cut ends with a closed connection.
func (a *attempt) passLong(answer *endpoint.Answer) verdict {
	q := a.q
	q.status, q.firstPiece = answer.Status, time.Now()
	if err := q.w.Start(answer.Status, answer.Header, answer.Length); err != nil {
		a.ended(placement.Abandoned)
		return done
	}
	_, err := io.Copy(q.w, answer.Body)
	if err != nil {
		q.reason = "Cut"
		q.w.Abort()
		a.ended(a.outcome(placement.Broken))
		return done
	}
	a.ended(placement.Answered)
	if err := q.w.End(); err != nil {
		q.reason = "CallerLeft"
	}
	return done
}

// passStream passes whole events on as they arrive.
func (a *attempt) passStream(answer *endpoint.Answer) verdict {
	q := a.q
	if q.stream == nil {
		q.stream = newEvents(q.meta.LastEvent)
	}
	q.stream.rest = nil
	buffer := make([]byte, 4096)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 && !a.passEvents(answer, buffer[:n]) {
			return done
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			return a.streamEnded(answer)
		}
		return a.streamBroke(err)
	}
}

// passEvents passes the whole events in p on. It reports false if the stream cannot go on.
func (a *attempt) passEvents(answer *endpoint.Answer, p []byte) bool {
	q := a.q
	if a.unread > 0 {
		q.h.Table.FirstPiece(a.e, a.unread, time.Since(a.began))
		a.unread = 0
	}
	whole, ok := q.stream.add(p)
	if !ok {
		a.ended(placement.Broken)
		q.reason = "EventTooLong"
		q.w.Abort()
		return false
	}
	if len(whole) == 0 {
		return true
	}
	if !a.start(answer) {
		return false
	}
	if _, err := q.w.Write(whole); err == nil {
		err = q.w.Flush()
		if err == nil {
			return true
		}
	}
	a.ended(placement.Abandoned)
	q.reason = "CallerLeft"
	q.w.Abort()
	return false
}

// start writes the header of a stream once.
func (a *attempt) start(answer *endpoint.Answer) bool {
	q := a.q
	if q.w.Started() {
		return true
	}
	q.status, q.firstPiece = answer.Status, time.Now()
	q.h.took(q.series("FirstPiece"), q.firstPiece.Sub(q.begun))
	if err := q.w.Start(answer.Status, answer.Header, -1); err != nil {
		a.ended(placement.Abandoned)
		q.reason = "CallerLeft"
		return false
	}
	return true
}

// streamEnded completes a stream that the endpoint completed.
func (a *attempt) streamEnded(answer *endpoint.Answer) verdict {
	q := a.q
	if len(q.stream.rest) > 0 {
		return a.streamBroke(errors.New("stream ended in the middle of an event"))
	}
	a.ended(placement.Answered)
	if !a.start(answer) {
		return done
	}
	if err := q.w.End(); err != nil {
		q.reason = "CallerLeft"
	}
	return done
}

// streamBroke judges a stream that ended early.
func (a *attempt) streamBroke(err error) verdict {
	a.broke()
	a.logFailed(err.Error(), a.q.status)
	return unknown
}
