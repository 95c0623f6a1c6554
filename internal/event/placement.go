package event

// Events 2900 to 2999, of the transfer of cache blocks between an agent and the KV stores.
const (
	// AgentFetchDecided is logged when an agent decides whether to fetch blocks from a store or to prefill them.
	AgentFetchDecided ID = 2900 + iota
	// AgentFetchFailed is logged when a block cannot be fetched; the engine prefills it and the blocks after it.
	AgentFetchFailed
	// AgentStoreFailed is logged when a lookup at a store fails.
	AgentStoreFailed
	// AgentExported is logged when a block has been copied to a store.
	AgentExported
	// AgentExportFailed is logged when a block could not be copied to a store.
	AgentExportFailed
)
