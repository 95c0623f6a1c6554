package event

// Events 1100 to 1199, of gateways.
const (
	// GatewayStarted tells that the process is running.
	GatewayStarted ID = 1100 + iota
	// GatewayStopped tells that the process ended.
	GatewayStopped
	// GatewayReady tells that the gateway takes requests.
	GatewayReady
	// GatewayDraining tells that the gateway takes no more connections and finishes what is under way.
	GatewayDraining
	// GatewayReloaded tells that the settings were read again.
	GatewayReloaded
	// StoreLost tells that the platform's store does not answer for a kind of object.
	StoreLost
	// StoreRegained tells that it answers again.
	StoreRegained
	// StoreHistoryLost tells that a kind is listed again since its history is gone.
	StoreHistoryLost
	// StoreWriteFailed tells that a shared object could not be written.
	StoreWriteFailed
	// ObjectUnreadable tells that an object could not be read and stands for nothing.
	ObjectUnreadable
	// ConfigurationApplied tells that a configuration is in force.
	ConfigurationApplied
	// ConfigurationIgnored tells that an older configuration was not taken.
	ConfigurationIgnored
	// EndpointListed tells what an endpoint says of itself.
	EndpointListed
	// EndpointMissing tells that an endpoint disappeared after an outage of the store and is kept for a while.
	EndpointMissing
	// EndpointRemoved tells that an endpoint is gone.
	EndpointRemoved
	// DomainEvacuated tells that a failure domain was taken out or back.
	DomainEvacuated
	// WeightVersionNamed tells that a weight version is to be served.
	WeightVersionNamed
	// GatewaysCounted tells how many gateways share limits.
	GatewaysCounted
	// EndpointSuspect tells that an endpoint fails and gets only probes.
	EndpointSuspect
	// EndpointTrusted tells that a suspect endpoint answers again.
	EndpointTrusted
	// RequestSent tells the endpoint chosen for a request, the reason and the state that decided.
	RequestSent
	// RequestFailedAttempt tells how an attempt at an endpoint failed and what follows.
	RequestFailedAttempt
	// RequestDenied tells that a request was refused without having run.
	RequestDenied
	// RequestAnswered tells how a request ended.
	RequestAnswered
	// RequestAbandoned tells that the caller left.
	RequestAbandoned
	// LeaseGained tells that this gateway gives orders to endpoints.
	LeaseGained
	// LeaseLost tells that it does no longer.
	LeaseLost
	// OrderSent tells an order to an endpoint and its outcome.
	OrderSent
	// RequestMarked tells that a request crashed an endpoint.
	RequestMarked
	// CacheStoreListed tells what a KV store holds.
	CacheStoreListed
	// CacheStoreLost tells that it is not known what a KV store holds.
	CacheStoreLost
	// CacheFreed tells that parts in a KV store were freed.
	CacheFreed
	// LoadsNotSent tells that other gateways could not be told of the loads.
	LoadsNotSent
	// LogDropped tells how many lines were left out.
	LogDropped
	// RepeatsSpent tells that no more requests to a service may be sent again for now.
	RepeatsSpent
	// RepeatsGranted tells that requests to the service may be sent again.
	RepeatsGranted
	// GatewayOverloaded tells that connections or requests exceed what the process may use.
	GatewayOverloaded
	// EngineCacheFollowed tells that the events of an engine's cache are read anew.
	EngineCacheFollowed
	// EngineCacheLost tells that it is not known what an engine keeps.
	EngineCacheLost
	// WeightVersionGivenUp tells that no parts of older weight versions are used any more.
	WeightVersionGivenUp
)
