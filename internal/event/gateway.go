package event

// Events 1100 to 1199, of gateways.
const (
	// GatewayStarted is logged when a gateway starts.
	GatewayStarted ID = 1100 + iota
	// GatewayStopped is logged when a gateway has stopped, and when a component of it fails.
	GatewayStopped
	// GatewayReady is reserved for a gateway that accepts requests; it is not logged.
	GatewayReady
	// GatewayDraining is logged when a gateway announces its shutdown, and again at the end of the drain, when it stops
	// waiting for requests in progress.
	GatewayDraining
	// GatewayReloaded is logged when a gateway has read and checked its settings file again, with the outcome. The running
	// settings stay unchanged.
	GatewayReloaded
	// StoreLost is logged when the store of the platform no longer responds for a kind of object.
	StoreLost
	// StoreRegained is logged when the store responds again for a kind of object.
	StoreRegained
	// StoreHistoryLost is logged when the store no longer has the history of a kind of object; the gateway lists the
	// objects of this kind again.
	StoreHistoryLost
	// StoreWriteFailed is logged when an object of the gateways could not be written to the store or deleted, and when the
	// attempt to acquire the lease for orders fails.
	StoreWriteFailed
	// ObjectUnreadable is logged when an object from the store cannot be decoded; the gateway ignores its value. It is logged once for an
	// object until it can be decoded again, and for objects without a name when there are more than before.
	ObjectUnreadable
	// ConfigurationApplied is logged when a configuration takes effect, with its limits on requests.
	ConfigurationApplied
	// ConfigurationIgnored is logged when a gateway ignores a configuration that is not newer than the one in force.
	ConfigurationIgnored
	// EndpointListed is logged when an endpoint is new, has restarted, reports another state or reports that it is
	// still cold.
	EndpointListed
	// EndpointMissing is logged when a ready endpoint disappears from the store soon after an outage of the store; the
	// gateway retains it for a while.
	EndpointMissing
	// EndpointRemoved is logged when an endpoint has been removed, or its object in the store can no longer be decoded.
	EndpointRemoved
	// DomainEvacuated is logged when a failure domain is evacuated or put back into service.
	DomainEvacuated
	// WeightVersionNamed is logged when the requested weight version of a model changes.
	WeightVersionNamed
	// GatewaysCounted is logged when the number of gateways that share the limits changes.
	GatewaysCounted
	// EndpointSuspect is logged when an endpoint becomes suspect because it cannot be reached, is not the one that the request
	// was meant for, or failed several requests in a row. From then on it receives probes, and other requests only as the last
	// choice.
	EndpointSuspect
	// EndpointTrusted is logged when a suspect endpoint responds again and is no longer suspect.
	EndpointTrusted
	// RequestSent is logged for each attempt of a request, with the chosen endpoint, the reason for the choice and the
	// state on which the choice is based.
	RequestSent
	// RequestFailedAttempt is logged when an attempt at an endpoint fails, with the error and whether the request may
	// have run.
	RequestFailedAttempt
	// RequestDenied is logged when a gateway answers a request with an answer that it generates itself.
	RequestDenied
	// RequestAnswered is logged when a request ends, with status and reason.
	RequestAnswered
	// RequestAbandoned is logged when the caller of a request has disconnected.
	RequestAbandoned
	// LeaseGained is logged when a gateway acquires the lease for sending orders to endpoints.
	LeaseGained
	// LeaseLost is logged when a gateway loses the lease for sending orders to endpoints.
	LeaseLost
	// OrderSent is logged when an order has been sent to an endpoint, with its outcome, or when an endpoint did not
	// reach the ordered version in time.
	OrderSent
	// RequestMarked is logged when a request is marked as having crashed an endpoint, when its connection broke but the endpoint
	// is up, when a suspected crash is not investigated, or when its mark was written or could not be; with the fingerprint, the
	// shared parts of the prompt and whether the answer had begun.
	RequestMarked
	// CacheStoreListed is logged when a gateway has listed the contents of a KV store.
	CacheStoreListed
	// CacheStoreLost is logged when the contents of a KV store are no longer known.
	CacheStoreLost
	// CacheFreed is logged when a gateway has requested that a KV store free cached parts, with the outcome.
	CacheFreed
	// LoadsNotSent is logged when a gateway cannot encode the loads that it sends to the other gateways.
	LoadsNotSent
	// LogDropped is logged when lines of the log were dropped, with their number.
	LogDropped
	// RepeatsSpent is logged when the retry budget of a service is exhausted.
	RepeatsSpent
	// RepeatsGranted is logged when the retry budget of a service permits retries again.
	RepeatsGranted
	// GatewayOverloaded is logged when connections or requests exceed the resource limits of the gateway, or stalled ones were evicted for others.
	GatewayOverloaded
	// EngineCacheFollowed is logged when a gateway starts to record the cache of an engine, or starts again with an empty
	// record because cache events were lost or the engine restarted.
	EngineCacheFollowed
	// EngineCacheLost is logged when an engine no longer responds to requests for its cache events, so that the contents
	// of its cache are no longer known.
	EngineCacheLost
	// WeightVersionGivenUp is logged when cached parts of older weight versions are no longer used.
	WeightVersionGivenUp
	// EndpointSilent is logged when an endpoint with requests in flight stopped sending and did not answer a question for a sign of
	// life, with what the decision is based on; its requests are released.
	EndpointSilent
	// EndpointQuiet is logged when a doubtful endpoint answered that question, so that its requests stay there.
	EndpointQuiet
	// WatchRelayed is logged when a gateway begins to read a kind of object through another gateway, or from the store again, and, with
	// the reason, when another gateway could not be read.
	WatchRelayed
	// WeightUpdatesAdmitted is logged when the holder of the lease begins to update endpoints, or leaves endpoints out because an earlier
	// holder may have ordered them recently, with what the decision is based on.
	WeightUpdatesAdmitted
	// PartSuspected is logged when the shared parts of the requests at a crashed endpoint are recorded, or are not, with the reason.
	PartSuspected
	// PartCleared is logged when an answer has begun on a part that was recorded at a crash.
	PartCleared
	// PartQuarantined is logged when a part of prompts is quarantined or no longer is, with the crashes that it explains.
	PartQuarantined
	// EndpointRateStated is logged when an endpoint begins or ceases to state the rate of requests that it takes, or states one that differs
	// by more than a tenth.
	EndpointRateStated
	// StoreRestored is logged when the platform's store first answers in a later era, that is, after it came back from a copy and lost what
	// it had acknowledged last.
	StoreRestored
	// ChangeIgnored is logged when a change of an object is ignored because its revision is below the known one.
	ChangeIgnored
	// ObjectRewritten is logged when a gateway has written an object again that a restored store had lost, or has failed to.
	ObjectRewritten
	// EndpointClosed is logged when an endpoint first states in an answer that it leaves, or that it wants no requests from this gateway for
	// some time.
	EndpointClosed
	// GatewayDelayed is logged, at most once a second, when the gateway acts at least 100 ms later than planned, since it lacks processor time or
	// was suspended.
	GatewayDelayed
	// BuildPlanApplied is logged for each service when a new plan of builds takes effect, with the buckets of each build.
	BuildPlanApplied
	// BuildPlanProposed is logged when a gateway writes the next plan of builds, or fails to, with the supply on which it is based.
	BuildPlanProposed
	// StreamsReported is logged when a gateway reports which streams began at another build than that of the plan, or fails to.
	StreamsReported
	// StreamTakenUp is logged when a caller takes up a stream, with the build that began it and how that is known.
	StreamTakenUp
	// StreamBuildLost is logged when the build that an endpoint would write, or wrote, a part of a stream with is not certain.
	StreamBuildLost
	// RequestAtStop is logged when a request is refused because it cannot end before the gateway stops, or is ended since the gateway stops,
	// with the time left.
	RequestAtStop
	// ConnectionEnded is logged when the connection of a caller ended and a request on it, or a part of one, got no complete response, with
	// the request's ID if its header was read, and the cause. A bounded number of lines a second is logged.
	ConnectionEnded
	// RequestSentLate is logged when the first byte of a request was written to an endpoint at least 100 ms after the endpoint was chosen,
	// or with less than a tenth of its time left: with the time from its header to the choice, from there to the write, and the time left.
	RequestSentLate
	// AnswerEndChecked is logged when an answer without a length and chunks has ended with its connection, with whether its endpoint still runs,
	// so that it counts as whole.
	AnswerEndChecked
	// RequestHedged is logged when a request that an endpoint has not answered in the usual time is sent to a second one as well, with the
	// delay, the percentile of the latencies that it stands for, and the share of the requests of the service that were sent twice.
	RequestHedged
	// HedgeEnded is logged when such a request has ended, with the endpoint that answered.
	HedgeEnded
	// RolloutOrdered is logged when an order to move a service to another build is new or has changed, with what the platform records of it,
	// or was removed.
	RolloutOrdered
	// RolloutDecided is logged when the stage of a rollout changes, by the gateway that wrote it, with the reason and the counts.
	RolloutDecided
	// RolloutRecorded is logged when a gateway records on the platform that a rollout is completed or rolled back, or fails to.
	RolloutRecorded
	// RolloutReportFailed is logged when a gateway could not report what it counts for rollouts, first after a report that was stored.
	RolloutReportFailed
	// TakeUpNotAnswered is logged, at level 1, when another gateway did not answer which build began a stream.
	TakeUpNotAnswered
	// ReplacedPartsFetched is logged when a request lets an engine fetch parts of a replaced weight version, with the upper limit of the time for
	// which it has been replaced and the time limit of the fetch by the servers' clock.
	ReplacedPartsFetched
	// ServersClockDisputed is logged when a KV store, or another gateway that reads it, states a time that contradicts its earlier ones, and when
	// its clock is then taken to have been set.
	ServersClockDisputed
)
