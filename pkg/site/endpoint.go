package site

import (
	"net/netip"
	"time"

	"primrosecourse/pkg/quarantine"
	"primrosecourse/pkg/rollout"
)

// State is the state that an endpoint reports of itself.
type State uint8

// The states of an endpoint.
const (
	// Ready means that the endpoint accepts requests.
	Ready State = iota
	// Draining means that the endpoint finishes its requests and accepts no new ones.
	Draining
)

// ModelVersion is a model and its weight version.
type ModelVersion struct {
	Model   string
	Version uint64
}

// Endpoint is a registered server. An endpoint that restarted under the same ID has a different StartedAt.
type Endpoint struct {
	ID            string
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	State         State
	// Slots is the number of requests that the endpoint runs concurrently. It is used only for endpoints without engines that have not stated it in
	// an answer, if others of the service state how slow they are.
	Slots int
	// StartedAt is the start time of the current incarnation, by the endpoint's own clock; zero or the Unix epoch if that is not stated.
	StartedAt time.Time
	// ColdRemaining is how much longer the endpoint was cold when it last reported to the platform's store.
	ColdRemaining time.Duration
	Models        []ModelVersion
	// Build is the version of the endpoint's software, which has no order. It is not that of the weights.
	Build string
	// DrainingSince is when this gateway saw the state change from Ready to Draining, zero if it did not.
	DrainingSince time.Time
	// Revision is the store revision of the endpoint's entry; a higher one is newer.
	Revision uint64
}

// StatesStart reports whether the entry states when the incarnation started.
func (e *Endpoint) StatesStart() bool { return !e.StartedAt.IsZero() && e.StartedAt.UnixMilli() != 0 }

// Version returns the weight version of a model at the endpoint.
func (e *Endpoint) Version(model string) (uint64, bool) {
	for _, m := range e.Models {
		if m.Model == model {
			return m.Version, true
		}
	}
	return 0, false
}

// Snapshot is the consistent state of a site at one time. Configuration is nil until one is received.
type Snapshot struct {
	Configuration *Configuration
	// Endpoints has the endpoints of each service, sorted by ID, including draining ones. EndpointsRevision differs after each change of them; 0
	// tells nothing.
	Endpoints         map[string][]*Endpoint
	EndpointsRevision uint64
	// Evacuated are the failure domains that must not get any work.
	Evacuated map[string]bool
	// Versions is the weight version to be served for each model, which is called the named version, and Namings tells when this gateway
	// learned of it and of those before.
	Versions map[string]uint64
	Namings  map[string]Namings
	// Gateways is the number of gateways that share limits, including this one. It is at least 1.
	Gateways int
	// Updating are the endpoints that are about to change their weights. UpdatingAt is when this gateway last replaced the set.
	Updating   map[string]bool
	UpdatingAt time.Time
	// Marks is the shared evidence against the requests that were running when endpoints crashed, by fingerprint.
	Marks map[uint64]quarantine.Evidence
	// Moved are the routes whose services changed a moment ago.
	Moved []MovedRoute
	// Crashes are the crashes with parts of prompts that may be the cause, by Crash.Endpoint. CrashesRevision differs after each change.
	Crashes         map[string]quarantine.Crash
	CrashesRevision uint64
	// Rollouts are the operators' orders to move services to other builds, and RolloutStates the shared states of these orders, by service.
	Rollouts      map[string]*Rollout
	RolloutStates map[string]*rollout.State
}

// HasEndpointsOf reports whether the endpoints are known to be those of another snapshot, which may be nil. Most snapshots differ in something
// else, such as the other gateways, and what follows from thousands of endpoints need not be computed again.
func (s *Snapshot) HasEndpointsOf(other *Snapshot) bool {
	return other != nil && (s == other || (s.EndpointsRevision != 0 && s.EndpointsRevision == other.EndpointsRevision))
}

// MovedRoute is a route of resumable streams whose services changed.
type MovedRoute struct {
	Host, PathPrefix string
	// Services are the services before the change, At is when this gateway applied it.
	Services []string
	At       time.Time
}

// MovedTime is how long after the services of a route changed streams may be taken up that began before.
const MovedTime = 10 * time.Second

// FormerServices returns the services to which streams of a route were sent that may still be taken up.
func (s *Snapshot) FormerServices(r *Route, now time.Time) (services []string) {
	for _, m := range s.Moved {
		if m.Host == r.Host && m.PathPrefix == r.PathPrefix && now.Sub(m.At) < MovedTime {
			services = append(services, m.Services...)
		}
	}
	return services
}

// Gateway is another gateway of the site.
type Gateway struct {
	// Address is where the gateway receives the loads of other gateways.
	Address       netip.AddrPort
	FailureDomain string
}
