package site

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Repeat,State -output=enum_string.go

// Repeat tells whether a request of a route may run more than once.
type Repeat uint8

// The kinds of route.
const (
	// Never means that the request runs at most once.
	Never Repeat = iota
	// Always means that the request is idempotent.
	Always
	// Resume means a stream that another endpoint may go on with after its last whole event.
	Resume
)

// Share is the part of a route's requests that one service gets.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route says where requests with a host and a path prefix go and how they may be treated.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Repeat     Repeat
	// Streaming tells that answers are event streams.
	Streaming bool
	// Timeout bounds the time that a request is kept waiting; 0 for no bound.
	Timeout time.Duration
	// Target is the time within which an answer is on time.
	Target time.Duration
	// MaxPause is the longest pause between two events of a stream that is on time; 0 if it isn't stated.
	MaxPause time.Duration
	// Priority is the rank, 0 first.
	Priority int
	Shares   []Share
	// Attempts is the number of endpoints that one request may run on. At least 1.
	Attempts int
	// Public routes need no credential.
	Public bool
	// Affinity tells that requests name the parts of their prompt.
	Affinity bool
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine computes at a time.
	Slots int
	// MemoryTokens is the cache memory of an engine in tokens, TokenBytes the size of one.
	MemoryTokens int
	TokenBytes   int
	Models       []string
	// Managed tells that KV stores keep what they hold until it is freed.
	Managed bool
}

// CacheStore describes a KV store.
type CacheStore struct {
	Address       string
	FailureDomain string
	// Tokens is its capacity.
	Tokens int
	// LinkBitsPerSecond is the capacity of its link, FirstByte what each transfer waits in addition.
	LinkBitsPerSecond float64
	FirstByte         time.Duration
	// MaxReaders is the number of event calls that it holds at a time.
	MaxReaders int
	Managed    bool
}

// Service is a group of endpoints.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one endpoint accepts from all callers together; 0 for no bound.
	MaxConnections int
	// ColdTime is how long an endpoint stays cold after a start, ColdRate the requests a second that it bears meanwhile.
	ColdTime time.Duration
	ColdRate float64
	// Engine is nil for services that are not model engines, Store for those that are no KV store.
	Engine *Engine
	Store  *CacheStore
}

// Organisation is a customer of the deployment.
type Organisation struct {
	Name        string
	Credentials []string
	// Priority replaces that of the route if HasPriority.
	Priority    int
	HasPriority bool
	// Dedicated organisations share no cache with others.
	Dedicated bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of what operators configured.
type Configuration struct {
	Version       uint64
	Routes        []Route
	Services      map[string]*Service
	Organisations []Organisation
	Limits        Limits

	byHost       map[string][]*Route
	byCredential map[string]*Organisation
}

// NewConfiguration returns a configuration with its look-up tables.
func NewConfiguration(version uint64, routes []Route, services []Service, organisations []Organisation, limits Limits) *Configuration {
	c := &Configuration{Version: version, Routes: routes, Services: make(map[string]*Service, len(services)),
		Organisations: organisations, Limits: limits, byHost: map[string][]*Route{}, byCredential: map[string]*Organisation{}}
	for i := range services {
		c.Services[services[i].Name] = &services[i]
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.byHost[host] = append(c.byHost[host], &routes[i])
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range organisations {
		for _, credential := range organisations[i].Credentials {
			c.byCredential[credential] = &organisations[i]
		}
	}
	return c
}

// Match returns the route of the host with the longest prefix of path.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	if name, port, found := strings.Cut(host, ":"); found && !strings.Contains(port, ":") {
		host = name
	}
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// NeedsCredential reports whether requests of a route must carry a credential.
func (c *Configuration) NeedsCredential(r *Route) bool { return len(c.Organisations) > 0 && !r.Public }

// Organisation returns the holder of a credential.
func (c *Configuration) Organisation(credential string) (*Organisation, bool) {
	o, ok := c.byCredential[credential]
	return o, ok
}
