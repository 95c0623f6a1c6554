package wire

import (
	"time"
)

// ProtocolVersion is the version that Hello carries. Peers with another version are refused.
const ProtocolVersion = 1

// Type identifies the message in a frame.
type Type uint8

// The message types. Numbers are part of the protocol and are never reused.
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
	// MessageType returns the type byte of the frame that carries the message.
	MessageType() Type
}

// Hello is the first message in each direction.
type Hello struct {
	Protocol      uint32
	Name          string
	FailureDomain string
	// Incarnation differs between two starts of the same process.
	Incarnation uint64
	// ConfigVersion is the version in force at the sender, 0 if it has none.
	ConfigVersion uint64
}

// Goodbye announces that the sender closes the connection.
type Goodbye struct {
	Reason string
}

// Submit asks an agent to run a prompt.
type Submit struct {
	Stream        uint64
	ConfigVersion uint64
	Organisation  string
	Model         string
	// WeightVersion is the version of the model's weights that the entry expects.
	WeightVersion string
	// Prompt holds the token identifiers of the prompt.
	Prompt []uint32
	// Given holds the tokens that the caller already received; a resumed run continues after them.
	Given     []uint32
	MaxTokens int
	Priority  int
	// Timeout is the time left until the caller's deadline, 0 for none. A duration needs no common clock.
	Timeout time.Duration
	// Fingerprint identifies the request for crash accounting.
	Fingerprint uint64
	// RequestID is the identifier that the caller sees in logs and responses.
	RequestID string
}

// Accepted tells that the engine took the request.
type Accepted struct {
	Stream uint64
	// CachedTokens counts the prompt tokens that needed no computation, FetchedTokens those read from a store.
	CachedTokens  int
	FetchedTokens int
	Load          LoadState
}

// Refused ends a stream that produced no tokens, or a call.
type Refused struct {
	Stream     uint64
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
	// Redirect names the endpoint to try instead, if the sender knows one.
	Redirect string
	Load     LoadState
}

// Tokens carries generated tokens in order. Index is the position of the first one in the answer, counted from 0
// and including the tokens of Submit.Given.
type Tokens struct {
	Stream uint64
	Index  int
	Tokens []uint32
	// Text is the decoded text of Tokens.
	Text string
}

// End ends a stream that was accepted.
type End struct {
	Stream uint64
	// Finish tells why the stream ended. Only FinishStop and FinishLength are whole answers.
	Finish Finish
	Detail string
	Load   LoadState
}

// Cancel asks the agent to stop a run or a call that was not sent yet.
type Cancel struct {
	Stream uint64
}

// Call asks an agent to run one request of the plain service beside it.
type Call struct {
	Stream        uint64
	ConfigVersion uint64
	Organisation  string
	Service       string
	Method        string
	Path          string
	ContentType   string
	Body          []byte
	// IdempotencyKey is set for calls that may not be repeated; they run at most once per organisation and key.
	IdempotencyKey string
	// Unavailable names endpoints that the entry could not reach or that refused the call because they stop. The agent
	// leaves them out when it decides who owns the shard of the key.
	Unavailable []string
	Timeout     time.Duration
	RequestID   string
}

// Reply is the response of a plain service.
type Reply struct {
	Stream      uint64
	Status      int
	ContentType string
	Body        []byte
	// Replayed is true if the response was stored by an earlier run of the same key.
	Replayed bool
}

// Ping asks for Load. Connections without traffic are pinged so that a paused peer is found.
type Ping struct {
	Stream        uint64
	ConfigVersion uint64
}

// LoadState is what an agent tells of its endpoint. It is as old as the message that carries it.
type LoadState struct {
	State     EndpointState
	Running   int
	Queued    int
	Allowance int
	// QueuedTokens counts the tokens to compute of queued requests and of runs without a first token.
	QueuedTokens  int
	ConfigVersion uint64
}

// Load answers Ping.
type Load struct {
	Stream uint64
	Load   LoadState
}

// ConfigPush carries an accepted configuration.
type ConfigPush struct {
	Version uint64
	// Content is the value of Config/Current as stored; empty in a version heartbeat. If Base is not 0, it is the
	// difference from version Base, in a form that internal/version/config defines.
	Content []byte
	Base    uint64
	// ConfirmedAgo is how long ago the platform last confirmed that Version is current.
	ConfirmedAgo time.Duration
}

// ConfigWant asks for the configuration if the peer has a higher version than Version.
type ConfigWant struct {
	Version uint64
}

// Mark tells that a request fingerprint was running when an endpoint crashed.
type Mark struct {
	Fingerprint uint64
	// Endpoints lists the distinct endpoints that crashed while the request was a suspect.
	Endpoints []string
	// Remaining is the time until the mark expires.
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
