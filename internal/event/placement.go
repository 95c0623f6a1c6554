package event

// Events 2900 to 2999: placement of cache blocks by an agent.
const (
	// AgentFetchDecided tells whether blocks are fetched from a store or computed.
	AgentFetchDecided ID = 2900 + iota
	// AgentFetchFailed tells that a block could not be fetched; the rest is computed.
	AgentFetchFailed
	// AgentStoreFailed tells that a store did not answer.
	AgentStoreFailed
	// AgentExported tells that a block was copied to a store.
	AgentExported
	// AgentExportFailed tells that a block was not copied to a store.
	AgentExportFailed
)
