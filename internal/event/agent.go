package event

// Events 2000 to 2999.
const (
	// AgentStarted tells that the part is running.
	AgentStarted ID = 2000 + iota
	// AgentStopped tells that the part ended.
	AgentStopped
	// AgentAddressTaken tells that the listening address is in use, by a predecessor that has not ended.
	AgentAddressTaken
	// EpochRaised tells that the agent has its fencing number.
	EpochRaised
	// EpochNotRaised tells that the platform did not take the fencing number yet; no order is given until it does.
	EpochNotRaised
	// AgentFenced tells that the engine refused an order because a later agent gave one.
	AgentFenced
	// EntryConnected tells that an entry opened a connection.
	EntryConnected
	// EntryDisconnected tells that a connection to an entry ended.
	EntryDisconnected
	// EntryRejected tells that a connection was closed because of what the peer sent.
	EntryRejected
	// EntryTooSlow tells that a connection was closed because the entry did not read.
	EntryTooSlow
	// PromptAccepted tells that the engine took a request.
	PromptAccepted
	// PromptRefused tells that a request was refused.
	PromptRefused
	// PromptEnded tells that an accepted run ended.
	PromptEnded
	// CallRefused tells that a call of a plain service was refused.
	CallRefused
	// CallEnded tells that a call of a plain service ended.
	CallEnded
	// EngineTurnedCold tells that the engine is another incarnation than before.
	EngineTurnedCold
	// EngineDown tells that the engine cannot be reached.
	EngineDown
	// EngineServing tells that the engine serves what the configuration says.
	EngineServing
	// EngineDiffers tells that the engine serves something else than the configuration says; no work is taken.
	EngineDiffers
	// EngineOrdered tells that the engine carried out an order.
	EngineOrdered
	// EngineOrderFailed tells that an order to the engine failed.
	EngineOrderFailed
	// RequestSuspected tells that a request was running when the engine crashed.
	RequestSuspected
	// QuarantineNotStored tells that a mark was not written to the platform.
	QuarantineNotStored
	// AgentDraining tells that the agent takes no new work and finishes what runs.
	AgentDraining
	// AgentCutOff tells which requests were cut off because the drain ended before them.
	AgentCutOff
	// ConfigRefused tells that a configuration that an entry sent was not taken.
	ConfigRefused
	// LoadPermitMissing tells that weights are loaded without a permit because the platform does not answer.
	LoadPermitMissing
	// QuarantineStored tells that a mark was written to the platform.
	QuarantineStored
	// AgentPartFailed tells that a part of the process ended with an error.
	AgentPartFailed
)
