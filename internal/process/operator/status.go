package operator

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"primrosecourse/internal/process/platform"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// Status is the state of a deployment as its entries and agents report it.
type Status struct {
	Site string
	// TakenAt is the time, in whole seconds, at which all pings had ended.
	TakenAt time.Time
	// Version is the accepted version. Operator and At are the operator who accepted it and the time.
	Version  uint64
	Operator string
	At       time.Time
	// InForce counts the entries and agents that report Version or a newer one, Behind those that report an older one, and
	// Unreachable those that did not respond.
	InForce, Behind, Unreachable int
	FailureDomains               []DomainStatus
	Entries                      []PartStatus
	Endpoints                    []PartStatus
}

// DomainStatus summarises a failure domain.
type DomainStatus struct {
	Name   string
	Region string
	State  settings.TargetState
	// Entries and Endpoints count those that responded. EntriesInAll and EndpointsInAll count all in the configuration.
	Entries, EntriesInAll     int
	Endpoints, EndpointsInAll int
	// Running and Queued are the numbers of requests, summed over the endpoints.
	Running, Queued int
}

// PartStatus is the state of an entry or an endpoint.
type PartStatus struct {
	Name          string
	FailureDomain string
	Address       string
	// Serves is the model with its version in the configuration, or the service; empty for an entry.
	Serves string `json:",omitempty"`
	// Target is the state set by operators, always Active for an entry. State is the reported state, or Down if the entry or agent did not respond.
	Target        settings.TargetState
	State         string
	Running       int
	Queued        int
	Allowance     int
	ConfigVersion uint64
	Error         string `json:",omitempty"`
}

// Status pings every entry and agent of the accepted configuration. It returns an error only if the configuration cannot
// be read; an entry or agent that does not respond is listed in the status with its error.
func (o *Operator) Status(ctx context.Context) (r Report, err error) {
	current, err := o.readExisting(ctx)
	if err != nil {
		return r, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout())
	defer cancel()
	targets := allTargets(current.Accepted.Deployment)
	loads, failures := make([]wire.LoadState, len(targets)), make([]error, len(targets))
	forEach(targets, func(i int, t target) { loads[i], failures[i] = o.ping(ctx, t, current) })
	s := newStatus(current)
	s.TakenAt = o.now().UTC().Truncate(time.Second)
	for i := range targets {
		list := s.Entries
		index := i
		if index >= len(s.Entries) {
			list, index = s.Endpoints, i-len(s.Entries)
		}
		s.record(&list[index], loads[i], failures[i])
	}
	s.sumDomains()
	return Report{Version: current.Version, Operator: s.Operator, At: s.At, Status: s}, nil
}

func newStatus(c Current) *Status {
	d := c.Accepted.Deployment
	s := &Status{Site: d.Site, Version: c.Version, Operator: c.Accepted.Operator, At: c.Accepted.At}
	for _, f := range d.FailureDomains {
		s.FailureDomains = append(s.FailureDomains, DomainStatus{Name: f.Name, Region: f.Region, State: f.State})
	}
	for _, e := range d.Entries {
		s.Entries = append(s.Entries, PartStatus{Name: e.Name, FailureDomain: e.FailureDomain, Address: e.Address.String()})
	}
	versions := map[string]string{}
	for _, m := range d.Models {
		versions[m.Name] = m.Version
	}
	for _, e := range d.Endpoints {
		serves := e.Service
		if e.Kind == settings.ModelEndpoint {
			serves = e.Model + "@" + versions[e.Model]
		}
		s.Endpoints = append(s.Endpoints, PartStatus{Name: e.Name, FailureDomain: e.FailureDomain,
			Address: e.Address.String(), Serves: serves, Target: e.State})
	}
	return s
}

// record sets the fields of p from its response to the ping and counts it.
func (s *Status) record(p *PartStatus, load wire.LoadState, err error) {
	if err != nil {
		p.State, p.Error = stateName(wire.StateDown), err.Error()
		s.Unreachable++
		return
	}
	p.State, p.Running, p.Queued, p.Allowance = stateName(load.State), load.Running, load.Queued, load.Allowance
	p.ConfigVersion = load.ConfigVersion
	if load.ConfigVersion < s.Version {
		s.Behind++
	} else {
		s.InForce++
	}
}

// stateName returns the name of the state without the prefix State that it has in package wire.
func stateName(state wire.EndpointState) string { return strings.TrimPrefix(state.String(), "State") }

// sumDomains computes the counts and sums of the failure domains.
func (s *Status) sumDomains() {
	domains := map[string]*DomainStatus{}
	for i := range s.FailureDomains {
		domains[s.FailureDomains[i].Name] = &s.FailureDomains[i]
	}
	for _, p := range s.Entries {
		if d := domains[p.FailureDomain]; d != nil {
			d.EntriesInAll++
			if p.Error == "" {
				d.Entries++
			}
		}
	}
	for _, p := range s.Endpoints {
		if d := domains[p.FailureDomain]; d != nil {
			d.EndpointsInAll++
			d.Running += p.Running
			d.Queued += p.Queued
			if p.Error == "" {
				d.Endpoints++
			}
		}
	}
}

// readEntry reads the configuration from the entry at o.Entry. The entry may have an older version than the accepted one.
func (o *Operator) readEntry(ctx context.Context) (c Current, err error) {
	defer func() { err = errors.Wrap(err, "read from an entry") }()
	session, done, err := o.connect(ctx, o.Entry, Current{})
	if err != nil {
		return Current{}, mark(err, ErrUnavailable)
	}
	defer done()
	// Version 0 is lower than any accepted version, so the entry responds with the version that it has.
	if err = session.conn.Write(wire.ConfigWant{}); err != nil {
		return Current{}, mark(err, ErrUnavailable)
	}
	for {
		m, err := session.conn.Read()
		if err != nil {
			return Current{}, mark(err, ErrUnavailable)
		}
		if push, ok := m.(wire.ConfigPush); ok && len(push.Content) > 0 {
			c, err = decode(platform.Object{Version: push.Version, Value: push.Content})
			c.ConfirmedAt = o.now().Add(-push.ConfirmedAgo)
			return c, err
		}
	}
}
