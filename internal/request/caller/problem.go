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

// Reason is the machine-readable reason of a failure. The reasons of package wire have the same names here, without the prefix
// Reason.
type Reason string

// Reasons that only entries give, and that package wire does not have.
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
	ReasonHeaderTooLarge   Reason = "HeaderTooLarge"
	ReasonHTTPVersion      Reason = "HTTPVersion"
	ReasonOverloaded       Reason = "Overloaded"
)

func reasonFromWire(r wire.Reason) Reason { return Reason(strings.TrimPrefix(r.String(), "Reason")) }

// reasonInfo is the HTTP status and the title that callers receive for a reason.
type reasonInfo struct {
	status int
	title  string
	// retryable is true if the same request may succeed later.
	retryable bool
}

var reasonTable = map[Reason]reasonInfo{
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
	ReasonHeaderTooLarge:   {http.StatusRequestHeaderFieldsTooLarge, "the header is too large", false},
	ReasonHTTPVersion:      {http.StatusHTTPVersionNotSupported, "the version of HTTP is not supported", false},
	ReasonOverloaded:       {http.StatusServiceUnavailable, "the instance is short of memory or connections", true},
}

// failure describes why a request, or one attempt of it, ended without a complete answer. That includes refusals.
type failure struct {
	reason     Reason
	outcome    wire.Outcome
	detail     string
	retryAfter time.Duration
}

func newFailure(reason Reason, detail string) *failure {
	return &failure{reason: reason, detail: detail}
}

func failureFromWire(m wire.Refused) *failure {
	return &failure{reason: reasonFromWire(m.Reason), outcome: m.Outcome, detail: m.Detail, retryAfter: m.RetryAfter}
}

func (f *failure) info() reasonInfo {
	if r, ok := reasonTable[f.reason]; ok {
		return r
	}
	return reasonTable["Internal"]
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

// problem is the body of an error answer. Error repeats its content in the format that completion clients expect.
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

func (f *failure) problem(id string) problem {
	r := f.info()
	errorType := "server_error"
	if r.status < http.StatusInternalServerError {
		errorType = "invalid_request_error"
	}
	message := r.title
	if f.detail != "" {
		message += ": " + f.detail
	}
	return problem{Type: "urn:primrosecourse:reason:" + string(f.reason), Title: r.title, Status: r.status, Detail: f.detail,
		Outcome: outcomeText(f.outcome), Reason: f.reason, Request: id,
		Error: problemError{Message: message, Type: errorType, Code: f.reason}}
}

// write sends the failure as an error answer.
func (f *failure) write(w http.ResponseWriter, id string) {
	f.setHeader(w.Header())
	w.WriteHeader(f.info().status)
	_ = json.NewEncoder(w).Encode(f.problem(id))
}

// setHeader sets the header fields of an error answer.
func (f *failure) setHeader(h http.Header) {
	r := f.info()
	h.Set("Content-Type", "application/problem+json")
	if r.retryable && f.outcome == wire.NotRun {
		// Retry-After takes whole seconds; the value is at least 1.
		h.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(f.retryAfter.Seconds())))))
	}
	if r.status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
}

// refusalReasons are the reasons of the statuses with which a request is refused before it reaches the handler.
var refusalReasons = map[int]Reason{
	http.StatusBadRequest:                  "BadRequest",
	http.StatusRequestTimeout:              ReasonBodyTimeout,
	http.StatusRequestEntityTooLarge:       ReasonBodyTooLarge,
	http.StatusRequestHeaderFieldsTooLarge: ReasonHeaderTooLarge,
	http.StatusServiceUnavailable:          ReasonOverloaded,
	http.StatusHTTPVersionNotSupported:     ReasonHTTPVersion,
}

// Refusal returns the header and the body of the answer to a request that was refused with a status before it reached the handler, and that has
// not run. It is counted as the refusals of the handler are.
func (h *Handler) Refusal(status int, detail string) (header http.Header, body []byte) {
	h.init()
	f := newFailure(refusalReasons[status], detail)
	h.count("Refused." + string(f.reason))
	header = http.Header{}
	f.setHeader(header)
	body, err := json.Marshal(f.problem(""))
	if err != nil {
		return header, nil
	}
	return header, append(body, '\n')
}
