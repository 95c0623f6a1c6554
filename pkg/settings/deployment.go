package settings

import (
	"net/netip"
	"time"
)

// Deployment is a checked configuration: the site, the services behind it, its organisations and the model versions
// that they may use. Its canonical form is the JSON encoding of this struct with slices sorted by Name.
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

// Policy weighs the costs of a routing decision. Only the ratios matter.
type Policy struct {
	// FirstTokenWeight is the cost of a second of expected time to first token. Default 1.
	FirstTokenWeight float64
	// RecomputeWeight is the cost of a second of engine time spent on prompt tokens that some cache held. Default 1.
	RecomputeWeight float64
	// LinkWeight is the cost of a second of store link time. Default 1.
	LinkWeight float64
	// Candidates is the number of endpoints taken from the ring for one decision. Default 4.
	Candidates int
}

// Limits bounds what the system accepts and how long it waits.
type Limits struct {
	// MaxBodyBytes bounds the body of a caller's request. Default 1 MiB.
	MaxBodyBytes int64
	// MaxTokens bounds the answer of one request. Default 4096.
	MaxTokens int
	// HeaderTimeout and BodyTimeout bound the time in which a caller must send them. Defaults 5 s and 30 s. Entries do not
	// apply HeaderTimeout yet, since net/http takes it only at the start; they allow 5 s.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// RequestTimeout is the deadline of a request that names none, and the longest that a caller may ask. Default 2 min.
	RequestTimeout time.Duration
	// DrainTimeout bounds a graceful shutdown. Default 30 s.
	DrainTimeout time.Duration
	// QueueLength bounds the queue of an endpoint. Default 64.
	QueueLength int
	// RetryRatio is the share of requests that an entry may retry. Default 0.1.
	RetryRatio float64
	// ClaimShards is the number of claim logs; it cannot change once orders have run. Default 16.
	ClaimShards int
	// ClaimRetention is how long the outcome of an order is kept. Default 24 h.
	ClaimRetention time.Duration
	// QuarantineTime is how long a request that crashes endpoints is refused. Default 15 min.
	QuarantineTime time.Duration
	// RampTime is the time in which a returning failure domain reaches its full share. Default 60 s.
	RampTime time.Duration
	// WatchersPerDomain is the number of entries of a failure domain that watch the platform. Default 2.
	WatchersPerDomain int
}

// TargetState is the state that operators want for a failure domain or an endpoint.
type TargetState uint8

//go:generate go tool -modfile=../../tools/go.mod stringer -type=TargetState,EndpointKind -output=enum_string.go

// The target states. They are spelled Active and Leaving in INI and JSON.
const (
	// Active takes new work.
	Active TargetState = iota
	// Leaving takes no new work and finishes what runs.
	Leaving
)

// FailureDomain is a part of a region that fails as a whole.
type FailureDomain struct {
	Name   string
	Region string
	State  TargetState
	// ReturnedAt is when the state last became Active again; the ramp counts from it. Zero if it never left.
	ReturnedAt time.Time
}

// Entry is an entry instance. Address is where it speaks the protocol of package wire to peers.
type Entry struct {
	Name          string
	Address       netip.AddrPort
	FailureDomain string
}

// EndpointKind tells what stands behind an agent.
type EndpointKind uint8

// The endpoint kinds.
const (
	// ModelEndpoint is a model engine.
	ModelEndpoint EndpointKind = iota
	// ServiceEndpoint is a plain service.
	ServiceEndpoint
)

// Endpoint is a model engine or an instance of a plain service. Address is that of the agent beside it.
type Endpoint struct {
	Name          string
	Kind          EndpointKind
	Address       netip.AddrPort
	FailureDomain string
	State         TargetState
	// Model is the model that a model endpoint serves, Service the service of a service endpoint.
	Model   string
	Service string
	// ChecksFencing tells that the endpoint refuses orders with an old fencing number.
	ChecksFencing bool
	// BatchLimit is the number of runs at a time when warm, ColdLimit when cold. Defaults 16 and 2.
	BatchLimit int
	ColdLimit  int
}

// Store is a KV store instance behind a limited link.
type Store struct {
	Name          string
	Address       netip.AddrPort
	FailureDomain string
	// LinkBytesPerSecond is the capacity of its link. Default 1e9.
	LinkBytesPerSecond int64
}

// Service is a plain service.
type Service struct {
	Name string
	// OnceMethods lists the HTTP methods whose calls may not be repeated. Default POST.
	OnceMethods []string
}

// Model is a model and the version of its weights in force.
type Model struct {
	Name    string
	Version string
	// PrefillTokensPerSecond and DecodeTokensPerSecond are the planned rates of one endpoint. Defaults 8000 and 50
	// for one run.
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	// BlockTokens is the size of a cache block. Default 1024.
	BlockTokens int
	// BytesPerToken is the size of the cache of one token. Default 131072.
	BytesPerToken int64
}

// Organisation is a customer.
type Organisation struct {
	Name string
	// CredentialHash is the SHA-256 of its credential in lower-case hexadecimal digits.
	CredentialHash string
	// Share is its weight in fair queueing. Default 1.
	Share float64
	// RequestsPerSecond bounds its requests over all entries; 0 sets no bound.
	RequestsPerSecond float64
	// SharedBlocks is the number of leading cache blocks that all its prompts share.
	SharedBlocks int
	Models       []string
	Services     []string
}
