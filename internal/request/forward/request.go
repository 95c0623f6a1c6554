package forward

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/connection/endpoint"
	"primrosecourse/internal/connection/front"
	"primrosecourse/internal/event"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
)

// request is one request on its way.
type request struct {
	h            *Handler
	in           *front.Request
	w            *front.Writer
	caller       context.Context
	ctx          context.Context
	begun        time.Time
	deadline     time.Time
	allowed      time.Duration
	meta         Meta
	view         *site.Snapshot
	route        *site.Route
	organisation *site.Organisation
	service      string
	fingerprint  uint64

	// tried are the endpoints that it was sent to, sent how often, ran how often it may have run.
	tried []string
	sent  int
	ran   int
	// spare is an endpoint's failure, which is passed on if no other endpoint does better.
	spare *wholeAnswer
	// firstPiece is when the first byte of the answer's body reached the caller's connection.
	firstPiece time.Time
	status     int
	reason     string
	// own tells that the caller's answer is one of this process.
	own bool
	// stream is the state of an answer that may be resumed; nil before its first byte.
	stream *events
}

// verdict tells how an attempt ended.
type verdict uint8

const (
	// done means that the caller has its answer, or that nothing can be told to it any more.
	done verdict = iota
	// notRun means that the request has not run at this endpoint and will not.
	notRun
	// unknown means that it ran, or may have.
	unknown
)

// maxSends bounds the endpoints that a request is sent to, those that refuse it included.
const maxSends = 4

// run sends the request until it is answered or must be given up.
func (q *request) run() {
	for {
		choice, ask, refusal := q.place()
		if refusal != nil {
			q.giveUp(refusal.Reason.String(), refusal.RetryAfter)
			return
		}
		if q.sent > 0 && !q.mayRepeat() {
			q.giveUp("RetryBudget", 500*time.Millisecond)
			return
		}
		v := q.attempt(choice, ask)
		switch {
		case v == done:
			return
		case q.caller.Err() != nil:
			q.abandon()
			return
		case q.ctx.Err() != nil:
			q.giveUp("Deadline", 0)
			return
		case v == unknown && (q.route.Repeat == site.Never || q.ran >= q.route.Attempts):
			q.giveUp("OutcomeUnknown", 0)
			return
		case q.sent >= maxSends:
			q.giveUp("EndpointsRefused", 300*time.Millisecond)
			return
		case v == notRun && q.sent > 1 && !q.pause():
			q.giveUp("Deadline", 0)
			return
		}
		// Beliefs may have changed since the request was admitted.
		q.view = q.h.View.Current()
	}
}

// refusedPause is the least pause after the second endpoint refused a request. What makes several refuse at once passes within
// some hundred milliseconds, and each further try draws on the budget for repeats.
const refusedPause = 50 * time.Millisecond

// pause waits before another endpoint is tried and reports false if the time of the request is over.
func (q *request) pause() bool {
	timer := time.NewTimer(refusedPause + rand.N(refusedPause))
	defer timer.Stop()
	select {
	case <-q.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// attempt sends the request to an endpoint and passes its answer on.
func (q *request) attempt(choice placement.Choice, ask *placement.Ask) verdict {
	e := choice.Endpoint
	now := time.Now()
	q.h.Table.Sent(now, e, ask, choice.Unread)
	q.tried = append(q.tried, e.ID)
	q.sent++
	event.Detail(q.h.Log, event.RequestSent, "request", q.meta.ID, "route", q.route.Name, "endpoint", e.ID,
		"reason", choice.Reason.String(), "waitMs", choice.Wait.Milliseconds(), "unread", choice.Unread, "shared", ask.Shared, "stored", ask.Stored,
		"considered", choice.Considered, "attempt", q.sent, "configuration", q.view.Configuration.Version, "entry", e.Revision)
	q.h.took(q.series("Wait"), choice.Wait)
	service := q.view.Configuration.Services[q.service]
	a := &attempt{q: q, e: e, unread: choice.Unread, began: now}
	call := q.call(e, service)
	answer, err := q.h.Endpoints.Send(q.ctx, q.target(e, service), call)
	if err != nil {
		return a.failed(err)
	}
	defer answer.Close()
	return a.answered(answer)
}

func (q *request) target(e *site.Endpoint, service *site.Service) endpoint.Target {
	t := endpoint.Target{ID: e.ID, Address: e.Address}
	if service != nil && service.MaxConnections > 0 {
		// A tenth is left for health checks and for gateways that are not counted yet.
		t.MaxConnections = max(1, service.MaxConnections*9/10/max(1, q.view.Gateways))
	}
	return t
}

// call builds the request for an endpoint.
func (q *request) call(e *site.Endpoint, service *site.Service) *endpoint.Call {
	o := &Outgoing{Endpoint: e.ID, Left: time.Until(q.deadline), Priority: -1, LastEvent: q.meta.LastEvent}
	if q.organisation != nil {
		o.Organisation = q.organisation.Name
	}
	if service != nil && service.Engine != nil {
		o.Priority = q.rank()
		o.Version, _ = e.Version(q.meta.Model)
		o.Scope = q.scope(o.Version).String()
		q.addTiers(o, service, o.Version)
	}
	if q.stream != nil && q.stream.last != "" {
		o.LastEvent = q.stream.last
	}
	id := q.meta.ID
	return &endpoint.Call{Method: q.in.Method, Target: q.in.Target, Host: q.in.Host, Header: q.h.Codec.Outgoing(q.in.Header, o),
		Body: q.in.Body, Once: q.route.Repeat == site.Never,
		Mine: func(status int, header http.Header) bool {
			s := q.h.Codec.Sign(status, header)
			return s.ID == id || (s.ID == "" && s.NotRun)
		}}
}

// shortPrompt is the length up to which a prompt goes before longer ones of its rank, in tokens.
const shortPrompt = 2048

// rank is the priority at an engine: that of the organisation or the route, and within it short prompts first, since a long
// one holds up many short ones.
func (q *request) rank() int {
	rank := q.route.Priority
	if q.organisation != nil && q.organisation.HasPriority {
		rank = q.organisation.Priority
	}
	rank = 2 * max(0, rank)
	if q.meta.PromptTokens > shortPrompt {
		rank++
	}
	return min(9, rank)
}

// giveUp tells the caller that the request is not served. The status says what is true of its runs.
func (q *request) giveUp(reason string, retryAfter time.Duration) {
	switch {
	case q.caller.Err() != nil:
		q.abandon()
	case q.w.Started():
		q.reason = reason
		q.w.Abort()
	case q.spare != nil:
		q.reason = reason
		q.deliver(q.spare)
	case q.ran == 0:
		q.refuse(http.StatusServiceUnavailable, reason, "", retryAfter)
	case q.ctx.Err() != nil:
		q.refuse(http.StatusGatewayTimeout, reason, "", 0)
	default:
		q.refuse(http.StatusBadGateway, reason, "", 0)
	}
}

// abandon ends a request whose caller left.
func (q *request) abandon() {
	q.reason = "CallerLeft"
	q.w.Abort()
	event.Info(q.h.Log, event.RequestAbandoned, "request", q.meta.ID, "sent", q.sent,
		"afterMs", time.Since(q.begun).Milliseconds())
}

// refuse answers without an endpoint's answer.
func (q *request) refuse(status int, reason, detail string, retryAfter time.Duration) {
	q.status, q.reason, q.own = status, reason, true
	event.Info(q.h.Log, event.RequestDenied, "request", q.meta.ID, "status", status, "reason", reason, "detail", detail,
		"sent", q.sent, "ran", q.ran, "retryAfterMs", retryAfter.Milliseconds(), "afterMs", time.Since(q.begun).Milliseconds())
	body := `{"reason":` + strconv.Quote(reason) + `,"outcome":` + strconv.Quote(q.outcome()) + "}\n"
	// A caller that does not read its refusal left; the connection tells the front.
	_ = q.w.Answer(status, q.h.Codec.Refusal(q.meta.ID, retryAfter), []byte(body))
}

func (q *request) outcome() string {
	if q.ran == 0 {
		return "not run"
	}
	return "outcome unknown"
}

// finish counts the request and tells how it ended.
func (q *request) finish() {
	took := time.Since(q.begun)
	kind := "None"
	if q.route != nil {
		kind = q.route.Name
	}
	q.figures(took)
	log := q.h.Log
	if q.reason == "" && q.status < 400 {
		log = log.V(1)
	}
	event.Info(log, event.RequestAnswered, "request", q.meta.ID, "route", kind, "status", q.status, "reason", q.reason,
		"sent", q.sent, "tookMs", took.Milliseconds(), "firstMs", q.firstMs())
}

func (q *request) firstMs() int64 {
	if q.firstPiece.IsZero() {
		return -1
	}
	return q.firstPiece.Sub(q.begun).Milliseconds()
}

// newEvents returns the state of a stream that begins after the event that the caller named.
func newEvents(lastEvent string) *events {
	e := &events{after: math.MinInt64}
	if n, err := strconv.ParseInt(lastEvent, 10, 64); err == nil {
		e.after = n
	}
	return e
}

// isDial reports whether an error says that no connection could be made.
func isDial(err error) bool {
	return errors.Is(err, endpoint.ErrNotSent) && !errors.Is(err, endpoint.ErrNoConnection)
}
