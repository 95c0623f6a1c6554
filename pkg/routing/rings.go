package routing

import (
	"cmp"
	"slices"

	"primrosecourse/pkg/ring"
	"primrosecourse/pkg/settings"
)

// RingSet is the rings of all models and services for the entries of one region. It is immutable.
type RingSet struct {
	Models   map[string]*ring.Ring
	Services map[string]*ring.Ring
	// Endpoints holds the endpoints of the deployment by name.
	Endpoints map[string]settings.Endpoint
	inputs    map[group]ringInput
}

// group identifies the endpoints of a model or of a service.
type group struct {
	kind settings.EndpointKind
	name string
}

// members are the endpoints of a group: near are those in the region, all those in all regions.
type members struct{ near, all []ring.Endpoint }

// ringInput is the input from which a ring was built.
type ringInput struct {
	domains   []ring.Domain
	endpoints []ring.Endpoint
}

// Rings returns the rings of a deployment for the entries of a region. A ring has the active endpoints in active failure domains of
// the region or, for a model or service that has none there, of all regions. A ring of previous, which may be nil, is reused if
// its input did not change, since most changes of a configuration touch no endpoint.
func Rings(d *settings.Deployment, region string, previous *RingSet) *RingSet {
	s := &RingSet{
		Models:    make(map[string]*ring.Ring),
		Services:  make(map[string]*ring.Ring),
		Endpoints: make(map[string]settings.Endpoint, len(d.Endpoints)),
		inputs:    make(map[group]ringInput),
	}
	domains := make(map[string]settings.FailureDomain)
	var ramps []ring.Domain
	for _, f := range d.FailureDomains {
		domains[f.Name] = f
		if !f.ReturnedAt.IsZero() {
			ramps = append(ramps, ring.Domain{Name: f.Name, ReturnedAt: f.ReturnedAt, RampTime: d.Limits.RampTime})
		}
	}
	groups := make(map[group]*members)
	for _, e := range d.Endpoints {
		s.Endpoints[e.Name] = e
		key := group{e.Kind, e.Model}
		if e.Kind == settings.ServiceEndpoint {
			key.name = e.Service
		}
		g := groups[key]
		if g == nil {
			g = &members{}
			groups[key] = g
		}
		f := domains[e.FailureDomain]
		if e.State == settings.Leaving || f.State == settings.Leaving {
			continue
		}
		member := ring.Endpoint{Name: e.Name, FailureDomain: e.FailureDomain, Weight: float64(cmp.Or(e.BatchLimit, 16)) / 16}
		g.all = append(g.all, member)
		if f.Region == region {
			g.near = append(g.near, member)
		}
	}
	ringFor := func(key group) *ring.Ring {
		g := cmp.Or(groups[key], &members{})
		current := ringInput{ramps, g.near}
		if len(g.near) == 0 {
			current.endpoints = g.all
		}
		s.inputs[key] = current
		if previous != nil {
			old, ok := previous.inputs[key]
			switch {
			case ok && slices.Equal(old.domains, current.domains) && slices.Equal(old.endpoints, current.endpoints):
				return previous.ring(key)
			case ok:
				return previous.ring(key).With(current.domains, current.endpoints)
			}
		}
		return ring.New(current.domains, current.endpoints)
	}
	for _, m := range d.Models {
		s.Models[m.Name] = ringFor(group{settings.ModelEndpoint, m.Name})
	}
	for _, v := range d.Services {
		s.Services[v.Name] = ringFor(group{settings.ServiceEndpoint, v.Name})
	}
	return s
}

func (s *RingSet) ring(key group) *ring.Ring {
	if key.kind == settings.ServiceEndpoint {
		return s.Services[key.name]
	}
	return s.Models[key.name]
}
