package forward

import (
	"maps"
	"slices"
	"sync"

	"primrosecourse/pkg/ring"
	"primrosecourse/pkg/site"
)

// selection is which of the endpoints of a service are used.
type selection uint8

const (
	anyBuild selection = iota
	// oneBuild selects the endpoints of a build, otherBuilds all others.
	oneBuild
	otherBuilds
)

// ringName identifies the ring of a service, or of the endpoints that it selects by a build.
type ringName struct {
	service, build string
	selects        selection
}

// has reports whether an endpoint of the service is selected.
func (n ringName) has(e *site.Endpoint) bool {
	return n.selects == anyBuild || (e.Build == n.build) == (n.selects == oneBuild)
}

// maxRings limits the rings that are kept for one after the other build.
const maxRings = 1024

// serviceRing holds the eligible endpoints of a service in a snapshot, and their hash ring.
type serviceRing struct {
	snapshot *site.Snapshot
	ring     *ring.Ring
	eligible []*site.Endpoint

	mu sync.Mutex
	// byModel has the weight versions of the eligible endpoints, by model, as far as they were asked for.
	byModel map[string][]uint64
}

// versions returns the weight versions of a model at the eligible endpoints. They are collected once for a snapshot, since there may be thousands
// of endpoints.
func (r *serviceRing) versions(model string) []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if list, ok := r.byModel[model]; ok {
		return list
	}
	var list []uint64
	for _, e := range r.eligible {
		if version, _ := e.Version(model); !slices.Contains(list, version) {
			list = append(list, version)
		}
	}
	if r.byModel == nil || len(r.byModel) >= maxRings {
		r.byModel = map[string][]uint64{}
	}
	r.byModel[model] = list
	return list
}

// copyVersions returns a copy of the weight versions that have been collected.
func (r *serviceRing) copyVersions() map[string][]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.byModel)
}

// serviceRing returns the eligible endpoints of a service in a snapshot and their ring, or only those of a build unless that is nil. The
// ring is rebuilt only if their IDs or failure domains have changed.
func (h *Handler) serviceRing(snapshot *site.Snapshot, service string, build *string) *serviceRing {
	name := ringName{service: service}
	if build != nil {
		name.build, name.selects = *build, oneBuild
	}
	return h.namedRing(snapshot, name)
}

// namedRing returns the selected endpoints of a service that are eligible, and their ring.
func (h *Handler) namedRing(snapshot *site.Snapshot, name ringName) *serviceRing {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.rings[name]
	if r != nil && r.snapshot == snapshot {
		return r
	}
	if r != nil && snapshot.HasEndpointsOf(r.snapshot) && maps.Equal(snapshot.Evacuated, r.snapshot.Evacuated) {
		next := &serviceRing{snapshot: snapshot, ring: r.ring, eligible: r.eligible, byModel: r.copyVersions()}
		h.rings[name] = next
		return next
	}
	eligible := eligibleEndpoints(snapshot, name)
	if r != nil && sameEndpoints(r.eligible, eligible) {
		next := &serviceRing{snapshot: snapshot, ring: r.ring, eligible: eligible}
		h.rings[name] = next
		return next
	}
	members := make([]ring.Endpoint, 0, len(eligible))
	for _, e := range eligible {
		members = append(members, ring.Endpoint{Name: e.ID, FailureDomain: e.FailureDomain})
	}
	previous := new(ring.Ring)
	if r != nil {
		previous = r.ring
	}
	next := &serviceRing{snapshot: snapshot, ring: previous.With(nil, members), eligible: eligible}
	if h.rings == nil || len(h.rings) >= maxRings {
		h.rings = map[ringName]*serviceRing{}
	}
	h.rings[name] = next
	return next
}

// eligibleEndpoints returns the selected endpoints of a service that are ready and not in an evacuated failure domain.
func eligibleEndpoints(snapshot *site.Snapshot, name ringName) (list []*site.Endpoint) {
	for _, e := range snapshot.Endpoints[name.service] {
		if name.has(e) && e.State == site.Ready && !snapshot.Evacuated[e.FailureDomain] {
			list = append(list, e)
		}
	}
	return list
}

// sameEndpoints reports whether two lists give the same ring.
func sameEndpoints(a, b []*site.Endpoint) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].ID != b[i].ID || a[i].FailureDomain != b[i].FailureDomain {
			return false
		}
	}
	return true
}
