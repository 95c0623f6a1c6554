package forward

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/bootclock"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/ring"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/tiering"
)

// chooseEndpoint chooses an endpoint for the next attempt, or returns the reason why there is none. The room of the reserved ones is left to
// other requests.
func (req *request) chooseEndpoint(reserved []string) (placement.Choice, *placement.Request, *placement.Refusal) {
	for {
		now := time.Now()
		placementRequest, candidates := req.placementRequest(now)
		placementRequest.Reserved = reserved
		choice, refusal := req.handler.Table.Choose(now, placementRequest, candidates)
		if refusal == nil || !req.turn.leaveTarget() {
			return choice, placementRequest, refusal
		}
	}
}

// placementRequest describes the request for the placement table and returns the endpoints among which it chooses.
func (req *request) placementRequest(now time.Time) (*placement.Request, []*site.Endpoint) {
	req.avoidedFetches = 0
	r := req.ring()
	service := req.snapshot.Configuration.Services[req.service]
	placementRequest := &placement.Request{Service: req.service, Remaining: time.Until(req.deadline), Gateways: req.snapshot.Gateways, Tried: req.tried,
		Domain: req.handler.Domain, Tokens: req.meta.PromptTokens, Plain: service != nil && service.Engine == nil}
	if service != nil && service.Engine != nil {
		placementRequest.Memory = service.Engine.MemoryTokens
		placementRequest.MayBegin, placementRequest.Replaced = req.mayBegin(), req.replaced()
	}
	if shared := req.sharedParts(); service != nil && service.Engine != nil && len(shared) > 0 {
		for _, p := range shared {
			placementRequest.Shared += p.Tokens
		}
		placementRequest.StoredAt = req.storedByEndpoint(service, shared, r.versions(req.meta.Model))
		placementRequest.Parts = req.partsByEndpoint()
		for _, i := range r.ring.Append(nil, req.ringKey(), now, 2) {
			placementRequest.Homes = append(placementRequest.Homes, r.ring.Endpoint(i).Name)
		}
	}
	eligible := r.eligible
	if req.pinned.active && len(eligible) == 0 {
		eligible = req.endpointsOfBuild(now)
	}
	return placementRequest, req.withoutUpdating(eligible)
}

// ring returns the endpoints that the request may go to: those of its build if it is bound to one, or else those that the rollout of its
// service allows.
func (req *request) ring() *serviceRing {
	if req.pinned.active {
		if !req.allowsBuild(req.pinned.build) {
			return &serviceRing{snapshot: req.snapshot, ring: ring.New(nil, nil)}
		}
		return req.handler.serviceRing(req.snapshot, req.service, &req.pinned.build)
	}
	return req.turnRing()
}

// partsByEndpoint returns a function that returns the shared parts with their cache keys at an endpoint, which depend on its
// weight version. The parts are computed once per version.
func (req *request) partsByEndpoint() func(e *site.Endpoint) []placement.Part {
	byVersion := map[uint64][]placement.Part{}
	return func(e *site.Endpoint) []placement.Part {
		version, _ := e.Version(req.meta.Model)
		parts, ok := byVersion[version]
		if !ok {
			scope := req.scope(version).String()
			for _, p := range req.sharedParts() {
				parts = append(parts, placement.Part{Key: placement.PartKey(scope, p.ID), Tokens: p.Tokens})
			}
			byVersion[version] = parts
		}
		return parts
	}
}

// storedByEndpoint returns a function that returns how many shared tokens an endpoint can fetch from KV stores, and how long that takes over
// idle links. Both depend on the endpoint's weight version: while a version replaces another, the stores have parts of both. They are
// computed before the choice, which holds the lock of the placement table.
func (req *request) storedByEndpoint(service *site.Service, shared []tiering.Part, versions []uint64) func(e *site.Endpoint) (int, time.Duration) {
	type stored struct {
		tokens int
		fetch  time.Duration
	}
	byVersion := map[uint64]stored{}
	for _, version := range versions {
		var s stored
		actions := req.tierActions(service, version)
		for i, a := range actions {
			if a.Fetch != nil {
				s.tokens += shared[i].Tokens
			}
		}
		s.fetch = tiering.FetchTime(shared, actions, service.Engine.TokenBytes)
		byVersion[version] = s
	}
	return func(e *site.Endpoint) (int, time.Duration) {
		version, _ := e.Version(req.meta.Model)
		s := byVersion[version]
		return s.tokens, s.fetch
	}
}

// withoutUpdating returns list without the endpoints that are about to change their weights, or all of list if there are no
// others. An endpoint that already has the version to be served, or a newer one, is not about to change, even if a former lease
// holder's list still contains it.
func (req *request) withoutUpdating(list []*site.Endpoint) []*site.Endpoint {
	if len(req.snapshot.Updating) == 0 {
		return list
	}
	remaining := make([]*site.Endpoint, 0, len(list))
	for _, e := range list {
		version, _ := e.Version(req.meta.Model)
		if !req.snapshot.Updating[e.ID] || version >= req.snapshot.Versions[req.meta.Model] {
			remaining = append(remaining, e)
		}
	}
	if len(remaining) == 0 {
		return list
	}
	return remaining
}

// sharedParts returns the parts of the prompt with which other prompts may also begin: all but the last.
func (req *request) sharedParts() []tiering.Part {
	if len(req.meta.Parts) < 2 {
		return nil
	}
	return req.meta.Parts[:len(req.meta.Parts)-1]
}

// tierActions returns, for each shared part of the prompt, the fetch or save by an engine that serves the weight version. It
// returns nil if there are no shared parts, if the service has no engines, if the version is 0, or if its parts in the stores must
// not be used.
func (req *request) tierActions(service *site.Service, version uint64) []tiering.Action {
	if req.handler.Tiers == nil || service.Engine == nil || version == 0 || len(req.sharedParts()) == 0 {
		return nil
	}
	// The request may have waited since it read its snapshot. This one is no older than age.
	age, lifetimes := req.handler.View.VersionsAge(), req.handler.Lifetimes
	current := req.handler.View.Current()
	replacedFor := current.Namings[req.meta.Model].MaxReplacedFor(version, bootclock.Now())
	named := current.Versions[req.meta.Model]
	if !lifetimes.MayUse(version, named, age, replacedFor) ||
		!req.handler.Tiers.Uses(req.meta.Model, version) {
		return nil
	}
	actions := tiering.Plan(req.handler.Tiers.List(), req.sharedParts(), req.handler.Tiers.Scope(req.scope(version).String()))
	for i, p := range req.sharedParts() {
		if !lifetimes.MayUsePart(version, named, p.ID, age, replacedFor) {
			clear(actions[i:]) // a part is of use only with all parts before it
			break
		}
	}
	return req.withoutLateFetches(service, actions)
}

// withoutLateFetches removes the fetches from stores that deliver so late that an engine reads the part sooner, and those of the parts
// behind it, since a part is of use only with all parts before it.
func (req *request) withoutLateFetches(service *site.Service, actions []tiering.Action) []tiering.Action {
	if req.handler.Links == nil {
		return actions
	}
	delays := req.handler.Links.Delays(time.Now())
	if len(delays) == 0 {
		return actions
	}
	rate := req.handler.Table.PrefillRate(req.service)
	avoided := false
	for i := range actions {
		fetch := actions[i].Fetch
		if fetch == nil {
			continue
		}
		avoided = avoided || !tiering.Worthwhile(req.meta.Parts[i], fetch, service.Engine.TokenBytes, rate, delays[fetch.Name])
		if avoided {
			actions[i].Fetch = nil
			req.avoidedFetches++
		}
	}
	return actions
}

// longestFetch returns the store whose fetch takes longest by its nominal speed, or tiering.NoFetch if there is no fetch.
func (req *request) longestFetch(service *site.Service, actions []tiering.Action) string {
	store, longest := tiering.NoFetch, time.Duration(0)
	for i, a := range actions {
		if a.Fetch == nil {
			continue
		}
		if d := tiering.FetchTime(req.meta.Parts[i:i+1], actions[i:i+1], service.Engine.TokenBytes); d > longest {
			store, longest = a.Fetch.Name, d
		}
	}
	return store
}

// addTiers adds the fetches and saves to the header values for an endpoint with a weight version, and returns the saves. It
// adds nothing if the servers' clock is unknown, since Until cannot be set then.
func (req *request) addTiers(o *Outgoing, service *site.Service, version uint64) (saves requestedSaves) {
	clock, ok := time.Duration(0), false
	if req.handler.Tiers != nil {
		clock, ok = req.handler.Tiers.Clock()
	}
	if !ok {
		return saves
	}
	o.Tiers = req.tierActions(service, version)
	o.Until = clock + tiering.TransferTimeout
	now, scope := time.Now(), req.handler.Tiers.Scope(o.Scope)
	saves.scope = scope
	for i, a := range o.Tiers {
		if a.Fetch != nil {
			by := scope.FetchBy(a.Fetch.Name)
			if by == 0 { // the store has become unknown since
				o.Tiers[i].Fetch = nil
				continue
			}
			o.Until = min(o.Until, by)
		}
		if a.Save != nil {
			o.Tiers[i].Save = saves.request(a.Save, req.meta.Parts[i], now, now.Add(o.TimeLeft+saveMargin))
		}
	}
	req.logReplacedFetch(o, version, clock)
	return saves
}

// logReplacedFetch logs a fetch of parts of a replaced weight version, before which the servers' clock was at clock.
func (req *request) logReplacedFetch(o *Outgoing, version uint64, clock time.Duration) {
	current := req.handler.View.Current()
	named := current.Versions[req.meta.Model]
	fetches := func(a tiering.Action) bool { return a.Fetch != nil }
	if version >= named || !slices.ContainsFunc(o.Tiers, fetches) {
		return
	}
	replacedFor := current.Namings[req.meta.Model].MaxReplacedFor(version, bootclock.Now())
	event.Debug(req.handler.Log, event.ReplacedPartsFetched, "request", req.meta.ID, "endpoint", o.Endpoint, "version", version, "named", named,
		"replacedMs", replacedFor.Milliseconds(), "clockMs", clock.Milliseconds(), "untilMs", o.Until.Milliseconds())
}

// ringKey returns the hash of the shared parts of the prompt, which determines the request's place on the ring. The name of a
// dedicated organisation is part of it.
func (req *request) ringKey() uint64 {
	var b strings.Builder
	if req.isDedicated() {
		b.WriteString(req.organisation.Name)
	}
	for _, p := range req.sharedParts() {
		b.WriteString("/" + p.ID)
	}
	return xxhash.Sum64String(b.String())
}
