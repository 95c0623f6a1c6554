package event

// Events 2000 to 2999.
const (
	// AgentStarted tells that the part is running.
	AgentStarted ID = 2000 + iota
	// AgentStopped tells that the part ended.
	AgentStopped
)
