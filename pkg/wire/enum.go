package wire

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Type,Outcome,Reason,Finish,EndpointState -output=enum_string.go

// Outcome is what a refusal says about the request.
type Outcome uint8

// The outcomes.
const (
	// NotRun means that no byte of the request reached a back end, or that the back end refused it before running.
	NotRun Outcome = iota
	// Ran means that the request ran.
	Ran
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

// Reason tells why a request was refused.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	ReasonBusy
	ReasonCold
	ReasonDraining
	ReasonLeaving
	ReasonOldConfig
	ReasonWrongVersion
	ReasonUnknownModel
	ReasonNotEntitled
	ReasonOverLimit
	ReasonDeadline
	ReasonQuarantined
	ReasonSuspectRunning
	ReasonNotOwner
	ReasonKeyReused
	ReasonKeyMissing
	ReasonPlatformDown
	ReasonServiceDown
	ReasonEngineDown
	ReasonClaimedEarlier
	ReasonReplyLost
	ReasonNoEndpoint
	ReasonBadRequest
	ReasonCancelled
	ReasonInternal
)

// Finish tells why an accepted stream ended.
type Finish uint8

// The ways in which a stream ends.
const (
	// FinishStop means that the model ended the answer.
	FinishStop Finish = iota
	// FinishLength means that MaxTokens was reached.
	FinishLength
	// FinishCancelled means that the caller or its deadline cancelled the run.
	FinishCancelled
	// FinishCrashed means that the engine died under the run.
	FinishCrashed
	// FinishLost means that the stream from the engine broke, or the agent stops; the run can be resumed elsewhere.
	FinishLost
)

// EndpointState is the state of an endpoint as its agent sees it.
type EndpointState uint8

// The endpoint states.
const (
	StateUnknown EndpointState = iota
	StateCold
	StateWarm
	StateDraining
	StateLeaving
	StateDown
)
