package site

import (
	"net/netip"
	"time"
)

// State is what an endpoint says of itself.
type State uint8

// The states of an endpoint.
const (
	// Ready endpoints take work.
	Ready State = iota
	// Draining endpoints finish what they have.
	Draining
)

// ModelVersion is a model with its weight version at an endpoint.
type ModelVersion struct {
	Model   string
	Version uint64
}

// Endpoint is a registered server. An endpoint that restarted under its old name has another Born.
type Endpoint struct {
	ID            string
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	State         State
	Slots         int
	// Born is the start of its present incarnation, by its own clock.
	Born time.Time
	// ColdRemaining is how much longer it was cold when it said so.
	ColdRemaining time.Duration
	Models        []ModelVersion
	// Revision orders its entries.
	Revision uint64
}

// Version returns the weight version of a model at the endpoint.
func (e *Endpoint) Version(model string) (uint64, bool) {
	for _, m := range e.Models {
		if m.Model == model {
			return m.Version, true
		}
	}
	return 0, false
}

// Snapshot is everything known at one moment. A nil Configuration means that none was seen yet.
type Snapshot struct {
	Configuration *Configuration
	// Endpoints holds the endpoints by service, sorted by name, draining ones included.
	Endpoints map[string][]*Endpoint
	// Evacuated are the failure domains that must get no work.
	Evacuated map[string]bool
	// Versions holds the weight version that is to be served by model. NamedAt is when it was first seen, UnnamedAt the last
	// moment at which it was not yet named, both as time since the start of the machine.
	Versions  map[string]uint64
	NamedAt   map[string]time.Duration
	UnnamedAt map[string]time.Duration
	// Gateways is the number of gateways that share limits, this one included. At least 1.
	Gateways int
	// Updating are the endpoints that are about to change their weights.
	// UpdatingAt is when they last changed.
	Updating   map[string]bool
	UpdatingAt time.Time
	// Marks are the fingerprints of requests that crashed endpoints, with the endpoints.
	Marks map[uint64][]string
}

// Gateway is another gateway of the site.
type Gateway struct {
	// Address is where it takes the loads of others.
	Address       netip.AddrPort
	FailureDomain string
}
