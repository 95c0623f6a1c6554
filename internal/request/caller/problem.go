package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"primrosecourse/pkg/wire"
)

// Reason tells why a request was refused. The reasons of package wire keep their names without the prefix.
type Reason string

// The reasons that only an entry gives.
const (
	ReasonUnauthenticated  Reason = "Unauthenticated"
	ReasonNotReady         Reason = "NotReady"
	ReasonUnknownPath      Reason = "UnknownPath"
	ReasonUnknownService   Reason = "UnknownService"
	ReasonMethodNotAllowed Reason = "MethodNotAllowed"
	ReasonBodyTooLarge     Reason = "BodyTooLarge"
	ReasonBodyTimeout      Reason = "BodyTimeout"
	ReasonRetryBudget      Reason = "RetryBudget"
	ReasonSlowReader       Reason = "SlowReader"
	ReasonConnectionLost   Reason = "ConnectionLost"
)

func reasonOf(r wire.Reason) Reason { return Reason(strings.TrimPrefix(r.String(), "Reason")) }

// row is what a reason looks like to a caller.
type row struct {
	status int
	title  string
	// retry tells that the same request may succeed later.
	retry bool
}

// rows maps each reason to its row.
var rows = map[Reason]row{
	"None":           {http.StatusInternalServerError, "no reason was given", false},
	"Busy":           {http.StatusServiceUnavailable, "all endpoints are busy", true},
	"Cold":           {http.StatusServiceUnavailable, "the endpoints are warming up", true},
	"Draining":       {http.StatusServiceUnavailable, "the instance is stopping", true},
	"Leaving":        {http.StatusServiceUnavailable, "the endpoint is leaving", true},
	"OldConfig":      {http.StatusServiceUnavailable, "the configuration is changing", true},
	"WrongVersion":   {http.StatusServiceUnavailable, "the model version is changing", true},
	"UnknownModel":   {http.StatusNotFound, "there is no such model", false},
	"NotEntitled":    {http.StatusForbidden, "the organisation may not use this", false},
	"OverLimit":      {http.StatusTooManyRequests, "the organisation is over its limit", true},
	"Deadline":       {http.StatusGatewayTimeout, "the deadline passed", false},
	"Quarantined":    {http.StatusUnprocessableEntity, "the request crashed endpoints and is refused", false},
	"SuspectRunning": {http.StatusServiceUnavailable, "a suspected request runs alone", true},
	"NotOwner":       {http.StatusServiceUnavailable, "the owner of the order is changing", true},
	"KeyReused":      {http.StatusUnprocessableEntity, "the idempotency key was used with another body", false},
	"KeyMissing":     {http.StatusBadRequest, "an Idempotency-Key header is required", false},
	"PlatformDown":   {http.StatusServiceUnavailable, "orders cannot be recorded now", true},
	"ServiceDown":    {http.StatusServiceUnavailable, "the service does not answer", true},
	"EngineDown":     {http.StatusServiceUnavailable, "the engine does not answer", true},
	"ClaimedEarlier": {http.StatusConflict, "an earlier try of the order has no known outcome", false},
	"ReplyLost":      {http.StatusBadGateway, "the reply was lost", false},
	"NoEndpoint":     {http.StatusServiceUnavailable, "no endpoint is available", true},
	"BadRequest":     {http.StatusBadRequest, "the request is malformed", false},
	"Cancelled":      {http.StatusServiceUnavailable, "the request was cancelled", true},
	"Internal":       {http.StatusInternalServerError, "internal error", false},

	ReasonUnauthenticated:  {http.StatusUnauthorized, "the credential is missing or unknown", false},
	ReasonNotReady:         {http.StatusServiceUnavailable, "the instance has no configuration yet", true},
	ReasonUnknownPath:      {http.StatusNotFound, "there is nothing at this path", false},
	ReasonUnknownService:   {http.StatusNotFound, "there is no such service", false},
	ReasonMethodNotAllowed: {http.StatusMethodNotAllowed, "the method is not allowed here", false},
	ReasonBodyTooLarge:     {http.StatusRequestEntityTooLarge, "the body is too large", false},
	ReasonBodyTimeout:      {http.StatusRequestTimeout, "the body did not arrive in time", true},
	ReasonRetryBudget:      {http.StatusServiceUnavailable, "too many requests are being retried", true},
	ReasonSlowReader:       {http.StatusRequestTimeout, "the caller reads too slowly", false},
	ReasonConnectionLost:   {http.StatusBadGateway, "the endpoint was lost", true},
}

// refusal is the end of a request without an answer.
type refusal struct {
	reason     Reason
	outcome    wire.Outcome
	detail     string
	retryAfter time.Duration
}

func refuse(reason Reason, detail string) *refusal { return &refusal{reason: reason, detail: detail} }

func fromWire(m wire.Refused) *refusal {
	return &refusal{reason: reasonOf(m.Reason), outcome: m.Outcome, detail: m.Detail, retryAfter: m.RetryAfter}
}

func (f *refusal) row() row {
	if r, ok := rows[f.reason]; ok {
		return r
	}
	return rows["Internal"]
}

func outcomeText(o wire.Outcome) string {
	switch o {
	case wire.NotRun:
		return "not run"
	case wire.Ran:
		return "ran"
	}
	return "outcome unknown"
}

// problem is the body of a refusal. Error repeats it in the shape that completion clients read.
type problem struct {
	Type    string       `json:"type"`
	Title   string       `json:"title"`
	Status  int          `json:"status"`
	Detail  string       `json:"detail,omitempty"`
	Outcome string       `json:"outcome"`
	Reason  Reason       `json:"reason"`
	Request string       `json:"instance,omitempty"`
	Error   problemError `json:"error"`
}

type problemError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    Reason `json:"code"`
}

func (f *refusal) problem(id string) problem {
	r := f.row()
	kind := "server_error"
	if r.status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	message := r.title
	if f.detail != "" {
		message += ": " + f.detail
	}
	return problem{Type: "urn:primrosecourse:reason:" + string(f.reason), Title: r.title, Status: r.status, Detail: f.detail,
		Outcome: outcomeText(f.outcome), Reason: f.reason, Request: id,
		Error: problemError{Message: message, Type: kind, Code: f.reason}}
}

// write sends the refusal as the response.
func (f *refusal) write(w http.ResponseWriter, id string) {
	r := f.row()
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if r.retry && f.outcome == wire.NotRun {
		// Whole seconds, at least one, as the header wants them.
		h.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(f.retryAfter.Seconds())))))
	}
	if r.status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(r.status)
	_ = json.NewEncoder(w).Encode(f.problem(id))
}
