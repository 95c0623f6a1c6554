package wire

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Type,Outcome,Reason,Finish,EndpointState -output=enum_string.go

// Outcome states in a refusal whether the request ran.
type Outcome uint8

// The outcomes.
const (
	// NotRun means that no byte of the request reached a back end, or that the back end refused the request before it ran.
	NotRun Outcome = iota
	// Ran means that the request ran.
	Ran
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

// Reason is the reason why a request was refused.
type Reason uint8

// The reasons.
const (
	// ReasonNone is the zero value: no reason was set.
	ReasonNone Reason = iota
	// ReasonBusy means that the engine is busy or that a limit of the agent is reached: the length of its queue, its
	// concurrent calls, its orders in progress, the orders in its claim logs or the streams of one connection.
	ReasonBusy
	// ReasonCold means that a new prompt found the queue of the endpoint full, while the endpoint was cold and therefore ran
	// fewer requests at a time.
	ReasonCold
	// ReasonDraining means that the agent is shutting down.
	ReasonDraining
	// ReasonLeaving means that the endpoint or its failure domain is leaving, or that the configuration lacks the endpoint.
	ReasonLeaving
	// ReasonOldConfig means that the entry routed by an older configuration than that of the agent, that the agent lacks
	// the configuration of the entry, or that the agent has no configuration yet.
	ReasonOldConfig
	// ReasonWrongVersion means that the weight version of the request is not the one in force, or that the engine is
	// reachable and does not serve the model with the version in force.
	ReasonWrongVersion
	// ReasonUnknownModel means that the endpoint does not serve the model.
	ReasonUnknownModel
	// ReasonNotEntitled means that the organisation may not use the model or service.
	ReasonNotEntitled
	// ReasonOverLimit means that the organisation exceeds its quota. No agent sends it, since entries enforce the quotas.
	ReasonOverLimit
	// ReasonDeadline means that the deadline of the request passed.
	ReasonDeadline
	// ReasonQuarantined means that the request crashed several endpoints.
	ReasonQuarantined
	// ReasonSuspectRunning means that the request is suspected of having crashed an endpoint, and that the agent is already
	// running another suspect.
	ReasonSuspectRunning
	// ReasonNotOwner means that another agent owns the shard of the idempotency key or is preferred as its owner.
	ReasonNotOwner
	// ReasonKeyReused means that the idempotency key was used for another call.
	ReasonKeyReused
	// ReasonKeyMissing means that the call must run at most once and has no idempotency key.
	ReasonKeyMissing
	// ReasonPlatformDown means that access to the platform fails, so that the claim log cannot be read, the claim of the
	// call cannot be written or its stored response cannot be read.
	ReasonPlatformDown
	// ReasonServiceDown means that the agent cannot reach its plain service, or that the service failed during a call that
	// may run more than once.
	ReasonServiceDown
	// ReasonEngineDown means that the agent cannot reach its model engine, or that the engine failed to accept the run.
	ReasonEngineDown
	// ReasonClaimedEarlier means that an earlier attempt claimed the idempotency key and that its outcome is unknown.
	ReasonClaimedEarlier
	// ReasonReplyLost means that the call was sent and its response was lost, too large or not stored.
	ReasonReplyLost
	// ReasonNoEndpoint means that the endpoint does not run calls of the service.
	ReasonNoEndpoint
	// ReasonBadRequest means that the request is malformed.
	ReasonBadRequest
	// ReasonCancelled means that the request was cancelled. With OutcomeUnknown, its order is still running.
	ReasonCancelled
	// ReasonInternal means that the agent failed internally.
	ReasonInternal
)

// Finish is the reason why an accepted stream ended.
type Finish uint8

// The reasons why a stream ends.
const (
	// FinishStop means that the model completed the answer.
	FinishStop Finish = iota
	// FinishLength means that the answer reached Submit.MaxTokens.
	FinishLength
	// FinishCancelled means that the caller cancelled the run or that its deadline passed.
	FinishCancelled
	// FinishCrashed means that the engine crashed during the run.
	FinishCrashed
	// FinishLost means that the stream from the engine broke, had a gap or ended early, or that the agent is shutting down.
	// The run can be resumed on another endpoint.
	FinishLost
)

// EndpointState is the state of an endpoint as reported by its agent.
type EndpointState uint8

// The endpoint states.
const (
	// StateUnknown means that the agent has no configuration yet, or that it cannot run orders yet.
	StateUnknown EndpointState = iota
	// StateCold means that the endpoint is warming up and runs few requests at a time.
	StateCold
	// StateWarm means that the endpoint accepts requests and is not cold.
	StateWarm
	// StateDraining means that the agent is shutting down.
	StateDraining
	// StateLeaving means that the endpoint or its failure domain is leaving, or that the configuration lacks the endpoint.
	StateLeaving
	// StateDown means that the engine cannot be reached or does not serve the model version in force.
	StateDown
)
