package forward

import (
	"net/http"
	"time"

	"primrosecourse/pkg/site"
)

// Part is a part of a prompt that other prompts may begin with too.
type Part struct {
	ID     string
	Tokens int
}

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
	Parts []Part
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

// scope returns the text that separates the cached parts of an organisation and of a weight version from others.
func scope(o *site.Organisation, version uint64) string {
	name := "Shared"
	if o != nil && o.Dedicated {
		name = "Own." + o.Name
	}
	return name + "." + uintText(version)
}
