package forward

import (
	"net/http"
	"time"

	"primrosecourse/pkg/tiering"
)

// Meta is what the header of a request says.
type Meta struct {
	ID string
	// Deadline is how long the caller waits, 0 if it did not say.
	Deadline   time.Duration
	Credential string
	Model      string
	// PromptTokens and MaxTokens are 0 for requests without a prompt.
	PromptTokens int
	MaxTokens    int
	// Parts lists the prompt in order. The last part belongs to the request itself or to its session.
	Parts []tiering.Part
	// LastEvent is the event after which a stream is to go on.
	LastEvent string
}

// Outgoing is what a request to an endpoint says beside what the caller sent.
type Outgoing struct {
	Endpoint     string
	Left         time.Duration
	Organisation string
	// Priority is the rank among the requests of an engine, 0 first; negative for none.
	Priority int
	// Scope separates cached parts that must not be shared.
	Scope string
	// Version is the weight version that the endpoint must have; 0 for any.
	Version   uint64
	LastEvent string
	// Tiers says for each part of the prompt from which KV store the endpoint fetches it, or to which it saves it; empty for
	// none. A fetch that has not ended when the servers' clock shows Until is discarded.
	Tiers []tiering.Action
	Until time.Duration
}

// Sign is what the header of an answer says.
type Sign struct {
	// ID is the request that it answers, empty if it does not say.
	ID string
	// NotRun is the endpoint's word that it did not and will not run the request, Misdirected that it is not the one that was
	// expected, or has other weights.
	NotRun      bool
	Misdirected bool
	// Sealed tells that the answer is the endpoint's own.
	Sealed bool
	// Encoded tells that the body is not as the endpoint made it.
	Encoded bool
	// HasLoad tells that Running, Waiting and Slots are stated.
	HasLoad                 bool
	Running, Waiting, Slots int
	// Cold is how much longer the endpoint says that it is cold.
	Cold time.Duration
	// Version is the weight version that the answer begins with, 0 if it does not say.
	Version uint64
}

// Codec reads and writes the headers of requests and answers.
type Codec interface {
	// Meta reads the header of a caller's request. It returns an error that may be shown to the caller.
	Meta(header http.Header) (Meta, error)
	// Outgoing returns the header of the request for an endpoint.
	Outgoing(header http.Header, o *Outgoing) http.Header
	// Sign reads the header of an answer.
	Sign(status int, header http.Header) Sign
	// Refusal returns the header of an answer that this process makes itself.
	Refusal(id string, retryAfter time.Duration) http.Header
}

// scope separates the cached parts of the request from those that it must not use.
func (q *request) scope(version uint64) tiering.Scope {
	s := tiering.Scope{Model: q.meta.Model, Version: version}
	if q.organisation != nil && q.organisation.Dedicated {
		s.Organisation = q.organisation.Name
	}
	return s
}
