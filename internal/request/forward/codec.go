package forward

import (
	"net/http"
	"time"

	"primrosecourse/pkg/intake"
	"primrosecourse/pkg/tiering"
)

// Meta holds the values in the header of a caller's request.
type Meta struct {
	// ID is the request ID.
	ID string
	// Timeout is how long the caller waits, from the arrival of the request; 0 if not stated.
	Timeout    time.Duration
	Credential string
	Model      string
	// PromptTokens is the length of the prompt and MaxTokens the limit of the output; each is 0 if not stated.
	PromptTokens int
	MaxTokens    int
	// Parts lists the parts of the prompt in order. The last one is specific to the request or its session; the others may be
	// shared with other prompts.
	Parts []tiering.Part
	// LastEvent is the ID of the event after which a stream is to resume, empty for its beginning.
	LastEvent string
	// Resumes is the ID of the request that brought the first event of the stream that is to resume, empty if not stated.
	Resumes string
}

// Outgoing holds the values that the gateway adds to the header of a request to an endpoint.
type Outgoing struct {
	Endpoint string
	// TimeLeft is the time until the deadline of the request.
	TimeLeft     time.Duration
	Organisation string
	// Priority is the priority in the queue of an engine, 0 being the highest; negative for none.
	Priority int
	// Scope is the cache scope, empty for endpoints that are not engines. Cached parts are not shared between scopes.
	Scope string
	// Version is the weight version that the endpoint must serve; 0 for any.
	Version   uint64
	LastEvent string
	// Tiers states for each shared part of the prompt the KV store from which the endpoint fetches it or to which it saves it;
	// an action without a store stands for neither. Tiers is empty if the endpoint must not use the stores. A fetch that has not
	// completed when the servers' clock, which the KV stores state in their responses, reaches Until is discarded.
	Tiers []tiering.Action
	Until time.Duration
}

// AnswerInfo holds the values in the header of an endpoint's answer.
type AnswerInfo struct {
	// ID is the ID of the request that is answered, empty if not stated.
	ID string
	// NotRun is set if the endpoint states that it did not run the request and will not. Misdirected is set if it is not the
	// endpoint, or does not have the weight version, that the request was meant for.
	NotRun      bool
	Misdirected bool
	// Sealed is set if the answer carries the endpoint's seal, which shows that the endpoint itself made it.
	Sealed bool
	// Encoded is set if the body has a content encoding, so it is not as the endpoint made it.
	Encoded bool
	// HasLoad is set if the answer states the endpoint's load: the requests Running and Waiting there and its Slots. Slowness is how long work
	// takes there in percent of the usual time, 0 if not stated.
	HasLoad                           bool
	Running, Waiting, Slots, Slowness int
	// Cold is the remaining warm-up time that the endpoint states, 0 if it is warm or does not state it.
	Cold time.Duration
	// Version is the weight version with which the answer begins, 0 if not stated.
	Version uint64
	// Intake is what the endpoint states about the requests that it takes.
	Intake intake.Statement
}

// valid reports whether an answer with a status is as the endpoint made it.
func (i *AnswerInfo) valid(status int) bool { return !i.Encoded && (status >= 300 || i.Sealed) }

// Codec reads and writes the headers of requests and answers.
type Codec interface {
	// ParseRequest reads the header of a caller's request. The text of its errors is logged; the caller gets only the reason
	// code BadHeader.
	ParseRequest(header http.Header) (Meta, error)
	// Outgoing returns the header of the request for an endpoint: the caller's header with the values of o.
	Outgoing(header http.Header, o *Outgoing) http.Header
	// ParseAnswer reads the header of an answer.
	ParseAnswer(status int, header http.Header) AnswerInfo
	// Refusal returns the header of an answer that the gateway itself generates. An empty id and a retryAfter of 0 are left out.
	Refusal(id string, retryAfter time.Duration) http.Header
}

// scope returns the cache scope of the request at engines that serve the given weight version.
func (req *request) scope(version uint64) tiering.Scope {
	s := tiering.Scope{Model: req.meta.Model, Version: version}
	if req.isDedicated() {
		s.Organisation = req.organisation.Name
	} else {
		s.Sharing = req.snapshot.Configuration.Sharing()
	}
	return s
}

// isDedicated reports whether the organisation of the request is dedicated now. It may have become so since the request arrived.
func (req *request) isDedicated() bool {
	return req.organisation != nil && req.snapshot.Configuration.IsDedicated(req.organisation)
}
