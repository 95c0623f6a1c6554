package event

// Events 2000 to 2999, of agents. Those from 2900 on concern cache blocks and are defined in placement.go.
const (
	// AgentStarted is logged when an agent starts to listen.
	AgentStarted ID = 2000 + iota
	// AgentStopped is logged when an agent has stopped.
	AgentStopped
	// AgentAddressTaken is logged when the listening address of an agent is still in use, for example by its
	// predecessor; the agent waits for it.
	AgentAddressTaken
	// EpochRaised is logged when an agent has obtained its epoch, the fencing token of its orders to the engine.
	EpochRaised
	// EpochNotRaised is logged when the platform has not stored the epoch in time or has failed to store it; without an
	// epoch, the agent sends no orders to the engine.
	EpochNotRaised
	// AgentFenced is logged when the engine refuses an order because it has received one with a higher epoch from a
	// later agent.
	AgentFenced
	// EntryConnected is logged when an entry has opened a connection.
	EntryConnected
	// EntryDisconnected is logged when the connection of an entry ends, unless EntryRejected or EntryTooSlow is logged for it.
	EntryDisconnected
	// EntryRejected is logged when an agent closes a connection because of a message that the peer sent, or because it has
	// too many connections.
	EntryRejected
	// EntryTooSlow is logged when an agent closes a connection because the entry does not read from it fast enough.
	EntryTooSlow
	// PromptAccepted is logged when the engine accepts a prompt.
	PromptAccepted
	// PromptRefused is logged when an agent refuses a prompt.
	PromptRefused
	// PromptEnded is logged when an accepted prompt ends.
	PromptEnded
	// CallRefused is logged when an agent refuses a call of its plain service.
	CallRefused
	// CallEnded is logged when a call of the plain service ends with a response.
	CallEnded
	// EngineTurnedCold is logged when the engine has a new incarnation, so that it is cold again.
	EngineTurnedCold
	// EngineDown is logged when an agent can no longer reach the engine.
	EngineDown
	// EngineServing is logged when the engine starts to serve the model version of the configuration.
	EngineServing
	// EngineDiffers is logged when the engine does not serve the model version of the configuration; the agent accepts
	// no work until it does.
	EngineDiffers
	// EngineOrdered is logged when the engine has carried out an order of the agent.
	EngineOrdered
	// EngineOrderFailed is logged when an order to the engine fails.
	EngineOrderFailed
	// RequestSuspected is logged for each request that was running when the engine crashed.
	RequestSuspected
	// QuarantineNotStored is logged when a mark of a suspected request could not be written to the platform.
	QuarantineNotStored
	// AgentDraining is logged when an agent stops accepting work and waits for the work in progress.
	AgentDraining
	// AgentCutOff is logged when the drain ends before all work has ended, with the requests that the agent cuts off.
	AgentCutOff
	// ConfigRefused is logged when an agent refuses a configuration that an entry sent.
	ConfigRefused
	// LoadPermitMissing is logged when the engine loads weights without a load permit because the platform does not
	// respond.
	LoadPermitMissing
	// QuarantineStored is logged when a mark of a suspected request has been written to the platform.
	QuarantineStored
	// AgentPartFailed is logged when a component of the agent ends with an error.
	AgentPartFailed
	// EngineRateLimited is logged when the engine begins or ceases to state the rate of runs that it accepts, or states one that differs by more
	// than a tenth.
	EngineRateLimited
)
