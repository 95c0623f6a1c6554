package wire

import (
	"time"
)

// ProtocolVersion is the value of Hello.Protocol. A peer with another version is rejected.
const ProtocolVersion = 1

// Type identifies the message in a frame.
type Type uint8

// The message types. The numbers are part of the protocol and are never reused.
const (
	TypeHello Type = iota + 1
	TypeGoodbye
	TypeSubmit
	TypeAccepted
	TypeRefused
	TypeTokens
	TypeEnd
	TypeCancel
	TypeCall
	TypeReply
	TypePing
	TypeLoad
	TypeConfigPush
	TypeConfigWant
	TypeMark
)

// Message is implemented by every message body.
type Message interface {
	// MessageType returns the type byte of the frame of the message.
	MessageType() Type
}

// Hello is the first message in each direction of a connection, unless a side refuses the connection with Goodbye.
type Hello struct {
	Protocol      uint32
	Name          string
	FailureDomain string
	// Incarnation is different for each start of the same process.
	Incarnation uint64
	// ConfigVersion is the configuration version in force at the sender, or 0 if it has none.
	ConfigVersion uint64
}

// Goodbye announces that the sender closes the connection.
type Goodbye struct {
	Reason string
}

// Submit requests that an agent run a prompt.
type Submit struct {
	Stream uint64
	// ConfigVersion is the configuration version by which the entry routed the prompt.
	ConfigVersion uint64
	Organisation  string
	Model         string
	// WeightVersion is the version of the model weights that the entry expects the endpoint to serve.
	WeightVersion string
	// Prompt is the prompt as token IDs.
	Prompt []uint32
	// Given is the part of the answer that the caller already received, as token IDs. A resumed run continues after it.
	Given []uint32
	// MaxTokens bounds the length of the answer, including Given.
	MaxTokens int
	// Priority orders the queued requests of an organisation: those with a higher priority run first.
	Priority int
	// Timeout is the time left until the caller's deadline, or 0 for none. It is a duration, since a point in time would
	// need synchronised clocks.
	Timeout time.Duration
	// Fingerprint identifies the organisation, model and prompt, to find requests that crash endpoints.
	Fingerprint uint64
	// RequestID is the identifier of the request in logs and in the response to the caller.
	RequestID string
}

// Accepted reports that the engine accepted the request of a Submit.
type Accepted struct {
	Stream uint64
	// CachedTokens is the number of prompt tokens that need no prefill, and FetchedTokens the number of prompt tokens that
	// the agent fetched from a store.
	CachedTokens  int
	FetchedTokens int
	Load          LoadState
}

// Refused ends the stream of a Submit that produced no tokens, or of a Call that returns no Reply.
type Refused struct {
	Stream     uint64
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
	// Redirect is the name of the endpoint to try instead, or empty if the sender does not know one.
	Redirect string
	Load     LoadState
}

// Tokens contains the next generated tokens of a stream. Index is the position of the first one in the answer, which
// starts with the tokens of Submit.Given; the first position is 0.
type Tokens struct {
	Stream uint64
	Index  int
	Tokens []uint32
	// Text is the decoded text of Tokens.
	Text string
}

// End ends a stream after Accepted.
type End struct {
	Stream uint64
	// Finish is the reason why the stream ended. The answer is complete only with FinishStop and FinishLength.
	Finish Finish
	Detail string
	Load   LoadState
}

// Cancel requests that the agent stop a run, or drop a call that it has not sent to the service yet.
type Cancel struct {
	Stream uint64
}

// Call requests that an agent send one HTTP request to its plain service.
type Call struct {
	Stream uint64
	// ConfigVersion is the configuration version by which the entry routed the call.
	ConfigVersion uint64
	Organisation  string
	Service       string
	Method        string
	Path          string
	ContentType   string
	Body          []byte
	// IdempotencyKey is set for calls that must run at most once for each organisation and key.
	IdempotencyKey string
	// Unavailable lists the names of endpoints that the entry could not reach, or that refused the call with ReasonDraining,
	// ReasonLeaving or ReasonServiceDown. The agent does not consider them when it determines the owner of the shard of the
	// key.
	Unavailable []string
	// Timeout is the time left until the caller's deadline, or 0 for none.
	Timeout   time.Duration
	RequestID string
}

// Reply is the response of the plain service to a Call.
type Reply struct {
	Stream      uint64
	Status      int
	ContentType string
	Body        []byte
	// Replayed is true if the response is the stored one of an earlier call with the same key.
	Replayed bool
}

// Ping requests a Load message. It is sent at intervals and on quiet connections, so that a peer that hangs is detected.
type Ping struct {
	Stream        uint64
	ConfigVersion uint64
}

// LoadState is the load of an endpoint as its agent reports it, at the time at which the message is sent.
type LoadState struct {
	State EndpointState
	// Running is the number of runs and calls in progress, Queued the number of queued requests.
	Running int
	Queued  int
	// Allowance is the number of runs that the endpoint currently admits at a time.
	Allowance int
	// QueuedTokens is the sum of the tokens still to be prefilled for queued requests, the tokens that queued requests may
	// generate, and the tokens to be prefilled for the runs that have not generated a token yet.
	QueuedTokens int
	// ConfigVersion is the configuration version in force at the agent, or 0 if it has none.
	ConfigVersion uint64
}

// Load is the response to Ping. An agent also sends it when it starts to drain. In the Load of an entry at most Stream and
// Load.ConfigVersion are set.
type Load struct {
	Stream uint64
	Load   LoadState
}

// ConfigPush contains an accepted configuration, or only its version.
type ConfigPush struct {
	Version uint64
	// Content is the stored value of the platform object Config/Current. It is empty in a heartbeat, which only announces
	// the version. If Base is not 0, it is the difference from version Base, in a format that internal/version/config
	// defines.
	Content []byte
	Base    uint64
	// ConfirmedAgo is the time since the platform last confirmed that Version is current, as far as the sender knows. It is
	// the longest duration if the sender does not know of a confirmation.
	ConfirmedAgo time.Duration
}

// ConfigWant requests the configuration of the peer if its version is higher than Version.
type ConfigWant struct {
	Version uint64
}

// Mark reports that the request with a fingerprint was running when an endpoint crashed.
type Mark struct {
	Fingerprint uint64
	// Endpoints lists the distinct endpoints that crashed while they ran the request. If there are many, it lists a few.
	Endpoints []string
	// Remaining is the time left until the mark expires.
	Remaining time.Duration
}

// MessageType implements Message.
func (Hello) MessageType() Type { return TypeHello }

// MessageType implements Message.
func (Goodbye) MessageType() Type { return TypeGoodbye }

// MessageType implements Message.
func (Submit) MessageType() Type { return TypeSubmit }

// MessageType implements Message.
func (Accepted) MessageType() Type { return TypeAccepted }

// MessageType implements Message.
func (Refused) MessageType() Type { return TypeRefused }

// MessageType implements Message.
func (Tokens) MessageType() Type { return TypeTokens }

// MessageType implements Message.
func (End) MessageType() Type { return TypeEnd }

// MessageType implements Message.
func (Cancel) MessageType() Type { return TypeCancel }

// MessageType implements Message.
func (Call) MessageType() Type { return TypeCall }

// MessageType implements Message.
func (Reply) MessageType() Type { return TypeReply }

// MessageType implements Message.
func (Ping) MessageType() Type { return TypePing }

// MessageType implements Message.
func (Load) MessageType() Type { return TypeLoad }

// MessageType implements Message.
func (ConfigPush) MessageType() Type { return TypeConfigPush }

// MessageType implements Message.
func (ConfigWant) MessageType() Type { return TypeConfigWant }

// MessageType implements Message.
func (Mark) MessageType() Type { return TypeMark }
