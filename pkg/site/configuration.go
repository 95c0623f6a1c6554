package site

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
	"time"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Repeat,State,RolloutState -output=enum_string.go

// Repeat states whether a request of a route may run more than once.
type Repeat uint8

// The values of Repeat.
const (
	// Never means that the request runs at most once.
	Never Repeat = iota
	// Always means that the request is idempotent and may be retried even if it has run.
	Always
	// Resume means that the answer is a stream that another endpoint may resume after its last complete event.
	Resume
)

// Share is the fraction of a route's requests that goes to one service.
type Share struct {
	Service string
	// Weight is relative to the weights of the route's other shares.
	Weight float64
}

// Route defines which services get the requests with a host and a path prefix, and how these requests are treated.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Repeat     Repeat
	// Streaming is true if answers are event streams.
	Streaming bool
	// Timeout is the maximum time from the arrival of a request until its deadline; 0 for the default of package forward.
	Timeout time.Duration
	// Target is the time within which an answer counts as on time. It is recorded but not used.
	Target time.Duration
	// MaxPause is the longest pause between two events of a stream that counts as on time; 0 if none is configured. It is recorded but
	// not used.
	MaxPause time.Duration
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	Shares   []Share
	// Attempts is the maximum number of endpoints on which a request may run. It is at least 1.
	Attempts int
	// Public is true if requests need no credential.
	Public bool
	// Affinity is the platform's session_affinity: true if the requests of the route name the parts of their prompt. It is recorded but
	// not used.
	Affinity bool
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently. It is recorded but not used.
	Slots int
	// MemoryTokens is the cache memory of an engine in tokens, TokenBytes the size of one token in the cache.
	MemoryTokens int
	TokenBytes   int
	Models       []string
	// Managed is true if KV stores never evict parts, so that gateways must free them. It is recorded but not used.
	Managed bool
}

// CacheStore describes a KV store.
type CacheStore struct {
	Address       string
	FailureDomain string
	// Tokens is the capacity of the store in tokens.
	Tokens int
	// LinkBitsPerSecond is the capacity of the store's link, FirstByte the additional latency of each transfer.
	LinkBitsPerSecond float64
	FirstByte         time.Duration
	// MaxReaders is the number of event calls that the store serves concurrently.
	MaxReaders int
	// Managed is true if the store never evicts parts, so that gateways must free them. It is recorded but not used.
	Managed bool
}

// Service is a group of endpoints.
type Service struct {
	Name string
	// HealthPath is recorded but not used.
	HealthPath string
	// MaxConnections is the number of connections that one endpoint accepts from all callers together; 0 for no bound.
	MaxConnections int
	// ColdTime is how long an endpoint is cold after its start; it is recorded but not used. ColdRate is the number of requests per second
	// that an endpoint can serve while it is cold.
	ColdTime time.Duration
	ColdRate float64
	// Engine is nil for services that are not model engines, Store is nil for services that are not KV stores.
	Engine *Engine
	Store  *CacheStore
}

// Organisation is a customer of the site.
type Organisation struct {
	Name        string
	Credentials []string
	// Priority replaces the priority of the route if HasPriority is true.
	Priority    int
	HasPriority bool
	// Dedicated is true if the organisation shares no cache with other organisations.
	Dedicated bool
}

// Limits are bounds on what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// BodyTimeout limits the time for a whole body. If it is 0, that is 60 s, or IdleTimeout if that is longer.
	BodyTimeout time.Duration
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version       uint64
	Routes        []Route
	Services      map[string]*Service
	Organisations []Organisation
	Limits        Limits

	byHost       map[string][]*Route
	byCredential map[string]*Organisation
	byName       map[string]*Organisation
	// sharing is the result of Sharing.
	sharing string
}

// NewConfiguration returns a configuration with its lookup tables.
func NewConfiguration(version uint64, routes []Route, services []Service, organisations []Organisation, limits Limits) *Configuration {
	c := &Configuration{Version: version, Routes: routes, Services: make(map[string]*Service, len(services)),
		Organisations: organisations, Limits: limits, byHost: map[string][]*Route{}, byCredential: map[string]*Organisation{}, byName: map[string]*Organisation{},
		sharing: sharing(organisations)}
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
		c.byName[organisations[i].Name] = &organisations[i]
		for _, credential := range organisations[i].Credentials {
			c.byCredential[credential] = &organisations[i]
		}
	}
	return c
}

// Match returns, of the routes of the host whose path prefix path begins with, the one with the longest prefix. The case of host is
// ignored, and so is its port unless host is an IPv6 address.
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

// NeedsCredential reports whether requests of a route must have a credential.
func (c *Configuration) NeedsCredential(r *Route) bool { return len(c.Organisations) > 0 && !r.Public }

// Organisation returns the organisation that owns a credential.
func (c *Configuration) Organisation(credential string) (*Organisation, bool) {
	o, ok := c.byCredential[credential]
	return o, ok
}

// IsDedicated reports whether an organisation is dedicated in this configuration, in which it may have changed since it was looked up.
func (c *Configuration) IsDedicated(o *Organisation) bool {
	if current, ok := c.byName[o.Name]; ok {
		return current.Dedicated
	}
	return o.Dedicated
}

// Sharing identifies the organisations that share parts by those that do not. It differs between two configurations with different dedicated
// organisations, so that what an organisation made before it became dedicated is found by none of the others. It is empty if none is dedicated.
func (c *Configuration) Sharing() string { return c.sharing }

func sharing(organisations []Organisation) string {
	var names []string
	for _, o := range organisations {
		if o.Dedicated {
			names = append(names, strconv.Quote(o.Name))
		}
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	sum := sha256.Sum256([]byte(strings.Join(slices.Compact(names), "")))
	return hex.EncodeToString(sum[:16])
}

// Moved returns the routes of resumable streams of c that get other services in a later configuration.
func (c *Configuration) Moved(next *Configuration, now time.Time) (moved []MovedRoute) {
	for i := range next.Routes {
		r := &next.Routes[i]
		for j := range c.Routes {
			before := &c.Routes[j]
			if r.Repeat != Resume || before.Host != r.Host || before.PathPrefix != r.PathPrefix || slices.Equal(before.Shares, r.Shares) {
				continue
			}
			m := MovedRoute{Host: r.Host, PathPrefix: r.PathPrefix, At: now}
			for _, share := range before.Shares {
				m.Services = append(m.Services, share.Service)
			}
			moved = append(moved, m)
		}
	}
	return moved
}
