package forward

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosecourse/internal/process/bootclock"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/tiering"
)

// place chooses an endpoint.
func (q *request) place() (placement.Choice, *placement.Ask, *placement.Refusal) {
	now := time.Now()
	r := q.h.ring(q.view, q.service)
	service := q.view.Configuration.Services[q.service]
	ask := &placement.Ask{Service: q.service, Left: time.Until(q.deadline), Gateways: q.view.Gateways, Tried: q.tried,
		Domain: q.h.Domain, Tokens: q.meta.PromptTokens}
	if shared := q.shared(); service != nil && service.Engine != nil && len(shared) > 0 {
		for _, p := range shared {
			ask.Shared += p.Tokens
		}
		actions := q.tiers(service, q.served(r.eligible))
		for i, a := range actions {
			if a.Fetch != nil {
				ask.Stored += shared[i].Tokens
			}
		}
		ask.Parts = q.partsAt()
		ask.FetchTime = tiering.FetchTime(shared, actions, service.Engine.TokenBytes)
		for _, i := range r.ring.Append(nil, q.key(), now, 2) {
			ask.Homes = append(ask.Homes, r.ring.Endpoint(i).Name)
		}
	}
	choice, refusal := q.h.Table.Choose(now, ask, q.usable(r.eligible))
	return choice, ask, refusal
}

// partsAt returns the shared parts as an endpoint with some weight version keeps them.
func (q *request) partsAt() func(e *site.Endpoint) []placement.Part {
	byVersion := map[uint64][]placement.Part{}
	return func(e *site.Endpoint) []placement.Part {
		version, _ := e.Version(q.meta.Model)
		parts, ok := byVersion[version]
		if !ok {
			scope := q.scope(version).String()
			for _, p := range q.shared() {
				parts = append(parts, placement.Part{Key: placement.PartKey(scope, p.ID), Tokens: p.Tokens})
			}
			byVersion[version] = parts
		}
		return parts
	}
}

// served returns the weight version that most requests for the model begin on: the named one, or that of the endpoints if
// none was named yet; 0 if it is not known.
func (q *request) served(endpoints []*site.Endpoint) uint64 {
	if named, ok := q.view.Versions[q.meta.Model]; ok {
		return named
	}
	for _, e := range endpoints {
		if version, ok := e.Version(q.meta.Model); ok {
			return version
		}
	}
	return 0
}

// usable leaves out endpoints that are about to change their weights, unless there are no others. One that has the named
// version is not about to change, whatever a holder that is gone has published.
func (q *request) usable(list []*site.Endpoint) []*site.Endpoint {
	if len(q.view.Updating) == 0 {
		return list
	}
	kept := make([]*site.Endpoint, 0, len(list))
	for _, e := range list {
		version, _ := e.Version(q.meta.Model)
		if !q.view.Updating[e.ID] || version >= q.view.Versions[q.meta.Model] {
			kept = append(kept, e)
		}
	}
	if len(kept) == 0 {
		return list
	}
	return kept
}

// shared returns the parts of the prompt that other prompts may begin with too.
func (q *request) shared() []tiering.Part {
	if len(q.meta.Parts) < 2 {
		return nil
	}
	return q.meta.Parts[:len(q.meta.Parts)-1]
}

// tiers returns what an engine with a weight version does with each shared part of the prompt, nil for nothing.
func (q *request) tiers(service *site.Service, version uint64) []tiering.Action {
	if q.h.Tiers == nil || service.Engine == nil || version == 0 || len(q.shared()) == 0 {
		return nil
	}
	namedFor := bootclock.Now() - q.view.UnnamedAt[q.meta.Model]
	if !tiering.MayUse(version, q.view.Versions[q.meta.Model], q.h.View.VersionsAge(), namedFor) ||
		!q.h.Tiers.Uses(q.meta.Model, version) {
		return nil
	}
	return tiering.Plan(q.h.Tiers.List(), q.shared(), q.h.Tiers.Scope(q.scope(version).String()))
}

// addTiers adds the KV stores to a request for an endpoint with a weight version.
func (q *request) addTiers(o *Outgoing, service *site.Service, version uint64) {
	clock, ok := time.Duration(0), false
	if q.h.Tiers != nil {
		clock, ok = q.h.Tiers.Clock()
	}
	if !ok {
		return
	}
	o.Tiers = q.tiers(service, version)
	o.Until = clock + tiering.TransferTime
	now := time.Now()
	for i, a := range o.Tiers {
		if a.Save != nil {
			q.h.Tiers.Scope(o.Scope).Saved(a.Save.Name, q.meta.Parts[i], now)
		}
	}
}

// key places the parts of the prompt that others share on the ring.
func (q *request) key() uint64 {
	var b strings.Builder
	if q.organisation != nil && q.organisation.Dedicated {
		b.WriteString(q.organisation.Name)
	}
	for _, p := range q.shared() {
		b.WriteString("/" + p.ID)
	}
	return xxhash.Sum64String(b.String())
}
