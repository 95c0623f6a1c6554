package event

// Events 1000 to 1999, of entries. Gateways use those from 1100 to 1199.
const (
	// EntryStarted is logged when an entry starts to serve.
	EntryStarted ID = 1000 + iota
	// EntryStopped is logged when an entry has stopped.
	EntryStopped
	// AgentUnreachable is logged when an agent does not respond; from then on the entry probes it.
	AgentUnreachable
	// AgentReachable is logged when an agent that was unreachable responds again.
	AgentReachable
	// AgentPushRejected is logged when an entry rejects a configuration that an agent sent.
	AgentPushRejected
	// RequestRouted is logged for each attempt of a prompt, with the chosen endpoint, the reason for the choice and the
	// candidates.
	RequestRouted
	// RequestRefused is logged when an entry refuses a request or answers it with an error, with outcome and reason.
	RequestRefused
	// RequestResumed is logged when a run broke off and the entry continues it at another endpoint.
	RequestResumed
	// RequestEnded is logged when a prompt ends, with its result.
	RequestEnded
	// CallRouted is logged for each attempt of a service call, with the chosen endpoint, the reason for the choice and
	// the candidates.
	CallRouted
	// EntryReady is logged when an entry has its first configuration and accepts requests.
	EntryReady
	// EntryDraining is logged when an entry stops accepting requests and waits for those in progress.
	EntryDraining
	// EntryCutOff is logged when an entry stops before all requests have ended, with the number of requests that it
	// cuts off.
	EntryCutOff
	// EntryConfigApplied is logged when the routing of an entry switches to a new configuration version.
	EntryConfigApplied
	// EntryOverloaded is logged when connections or requests exceed the resource limits of an entry, or stalled ones were evicted for others.
	EntryOverloaded
)
