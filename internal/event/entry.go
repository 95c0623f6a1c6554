package event

// Events 1000 to 1999.
const (
	// EntryStarted tells that the part is running.
	EntryStarted ID = 1000 + iota
	// EntryStopped tells that the part ended.
	EntryStopped
	// AgentUnreachable tells that an agent does not answer and is probed.
	AgentUnreachable
	// AgentReachable tells that an agent answers again.
	AgentReachable
	// AgentPushRejected tells that a configuration from an agent was not taken.
	AgentPushRejected
	// RequestRouted tells the endpoint chosen for a prompt, the reason and the candidates.
	RequestRouted
	// RequestRefused tells that a request was refused, with outcome and reason.
	RequestRefused
	// RequestResumed tells that a run broke and goes on at another endpoint.
	RequestResumed
	// RequestEnded tells how a prompt ended.
	RequestEnded
	// CallRouted tells the endpoint chosen for a service call, the reason and the candidates.
	CallRouted
	// EntryReady tells that the entry takes requests.
	EntryReady
	// EntryDraining tells that the entry takes no more requests and waits for those under way.
	EntryDraining
	// EntryCutOff tells how many requests were cut off by a stop.
	EntryCutOff
	// EntryConfigApplied tells that routing uses a new configuration version.
	EntryConfigApplied
)
