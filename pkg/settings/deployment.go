package settings

import (
	"net/netip"
	"time"
)

// Deployment is the configuration of one site: its failure domains, entries, endpoints, stores, services, models and
// organisations. Load and Parse return only deployments that pass Check. The canonical form is the JSON encoding
// that Encode returns.
type Deployment struct {
	Site           string
	Policy         Policy
	Limits         Limits
	FailureDomains []FailureDomain
	Entries        []Entry
	Endpoints      []Endpoint
	Stores         []Store
	Services       []Service
	Models         []Model
	Organisations  []Organisation
}

// Policy sets the cost weights of a routing decision. Only the ratios of the weights matter.
type Policy struct {
	// FirstTokenWeight is the cost of a second of expected time to first token. Default 1.
	FirstTokenWeight float64
	// RecomputeWeight is the cost of a second of engine time spent on the prefill of prompt tokens that were already cached
	// somewhere. Default 1.
	RecomputeWeight float64
	// LinkWeight is the cost of a second of transfer time on the link of a store. Default 1.
	LinkWeight float64
	// Candidates is the number of endpoints that package ring selects for one decision. Default 4.
	Candidates int
}

// Limits sets the limits on requests and queues, and the timeouts.
type Limits struct {
	// MaxBodyBytes bounds the body of a caller's request. Default 1 MiB.
	MaxBodyBytes int64
	// MaxTokens bounds the number of tokens generated for one request. Default 4096.
	MaxTokens int
	// HeaderTimeout and BodyTimeout bound the time in which a caller must send the header and the body of a request.
	// Defaults 5 s and 30 s. BodyTimeout is also the timeout of writes to the caller.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// RequestTimeout is the timeout of a request that states none, and the longest that a caller may request. Default
	// 2 min.
	RequestTimeout time.Duration
	// DrainTimeout bounds a graceful shutdown. Default 30 s.
	DrainTimeout time.Duration
	// QueueLength bounds the queue of an endpoint. Default 64.
	QueueLength int
	// RetryRatio is the retry budget of an entry: the fraction of its requests that it may retry. Default 0.1.
	RetryRatio float64
	// ClaimShards is the number of shards of the claim log. It must not change once orders have run. An order is a service
	// call that runs at most once. Default 16.
	ClaimShards int
	// ClaimRetention is how long the outcome of an order is stored. Default 24 h.
	ClaimRetention time.Duration
	// QuarantineTime is how long after its last crash a request is suspected, and refused if it crashed several endpoints.
	// Default 15 min.
	QuarantineTime time.Duration
	// RampTime is the time after which a returning failure domain receives its full share of the requests. Default 60 s.
	RampTime time.Duration
	// WatchersPerDomain is the number of entries of each failure domain that watch the platform for configuration changes.
	// Default 2.
	WatchersPerDomain int
}

// TargetState is the state that operators want for a failure domain or an endpoint.
type TargetState uint8

//go:generate go tool -modfile=../../tools/go.mod stringer -type=TargetState,EndpointKind -output=enum_string.go

// The target states. INI and JSON use their names.
const (
	// Active means that the failure domain or endpoint accepts new work.
	Active TargetState = iota
	// Leaving means that the failure domain or endpoint accepts no new work and finishes the running work.
	Leaving
)

// FailureDomain is a part of a region that fails as a whole.
type FailureDomain struct {
	Name   string
	Region string
	State  TargetState
	// ReturnedAt is the time at which State last changed back to Active, when RampTime starts. It is zero if the failure
	// domain never left.
	ReturnedAt time.Time
}

// Entry is an entry instance. Address is where it listens for peers, which use the protocol of package wire.
type Entry struct {
	Name          string
	Address       netip.AddrPort
	FailureDomain string
}

// EndpointKind is the kind of back end of an agent.
type EndpointKind uint8

// The endpoint kinds.
const (
	// ModelEndpoint is a model engine.
	ModelEndpoint EndpointKind = iota
	// ServiceEndpoint is a plain service.
	ServiceEndpoint
)

// Endpoint is a model engine or an instance of a plain service. Address is that of its agent.
type Endpoint struct {
	Name          string
	Kind          EndpointKind
	Address       netip.AddrPort
	FailureDomain string
	State         TargetState
	// Model is the model that a model endpoint serves, Service the service of a service endpoint.
	Model   string
	Service string
	// ChecksFencing is true if the endpoint refuses orders with an outdated fencing token.
	ChecksFencing bool
	// BatchLimit is the maximum number of concurrent runs of a warm endpoint, ColdLimit that of a cold one. Defaults 16
	// and 2.
	BatchLimit int
	ColdLimit  int
}

// Store is an instance of a KV store, which stores cache blocks. It is reached over a link of limited capacity.
type Store struct {
	Name          string
	Address       netip.AddrPort
	FailureDomain string
	// LinkBytesPerSecond is the capacity of the link. Default 1e9.
	LinkBytesPerSecond int64
}

// Service is a plain HTTP service, as opposed to a model.
type Service struct {
	Name string
	// OnceMethods lists the HTTP methods whose calls must run at most once, since they are not idempotent. Default POST.
	OnceMethods []string
}

// Model is a model and the version of its weights in force.
type Model struct {
	Name    string
	Version string
	// PrefillTokensPerSecond is the planned prefill rate of one endpoint, DecodeTokensPerSecond the planned decode rate of
	// one run on it. Defaults 8000 and 50.
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	// BlockTokens is the size of a cache block in tokens. Default 1024.
	BlockTokens int
	// BytesPerToken is the size of the cache entry of one token. Default 131072.
	BytesPerToken int64
}

// Organisation is a customer.
type Organisation struct {
	Name string
	// CredentialHash is the SHA-256 of its credential in lower-case hexadecimal digits.
	CredentialHash string
	// Share is its weight in fair queueing. Default 1.
	Share float64
	// RequestsPerSecond is its quota over all entries together; 0 means no limit.
	RequestsPerSecond float64
	// SharedBlocks is the length of the prefix that all its prompts share, in cache blocks.
	SharedBlocks int
	// Models and Services are the names of the models and services that it may use.
	Models   []string
	Services []string
}
