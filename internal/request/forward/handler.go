package forward

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"primrosecourse/internal/connection/endpoint"
	"primrosecourse/internal/connection/front"
	"primrosecourse/internal/connection/kvstore"
	"primrosecourse/internal/event"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/retry"
	"primrosecourse/pkg/ring"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/tiering"
)

// View is what is known of the site; registry.Registry is one.
type View interface {
	// Current returns the snapshot in force. It is not changed.
	Current() *site.Snapshot
	// ConfigurationAge returns how long ago the store confirmed the configuration.
	ConfigurationAge() time.Duration
	// VersionsAge returns how long ago the store confirmed the named weight versions.
	VersionsAge() time.Duration
}

// Tiers are the KV stores of the site; kvstore.Catalog is one.
type Tiers interface {
	List() []tiering.Store
	Scope(scope string) *kvstore.Scoped
	// Uses reports whether parts of a weight version may still be used.
	Uses(model string, version uint64) bool
	// Clock returns the clock of the servers, false if it is not known.
	Clock() (clock time.Duration, ok bool)
}

// Sender exchanges requests with endpoints; endpoint.Pool is one.
type Sender interface {
	Send(ctx context.Context, t endpoint.Target, call *endpoint.Call) (*endpoint.Answer, error)
}

// Crashes is told of connections that broke under a request; CrashWatch is one.
type Crashes interface {
	Broke(request string, fingerprint uint64, target endpoint.Target)
}

// Limits are the bounds that all gateways share.
type Limits struct {
	// RepeatRatio is the number of repeats allowed for each request to a service, RepeatExtra the number in addition, both
	// in any span of RepeatSpan.
	RepeatRatio float64
	RepeatExtra float64
	RepeatSpan  time.Duration
}

// Handler forwards requests. Its exported fields are set before the first call.
type Handler struct {
	// Domain is the failure domain of this process.
	Domain    string
	Codec     Codec
	View      View
	Table     *placement.Table
	Endpoints Sender
	// Crashes may be nil.
	Crashes Crashes
	Tiers   Tiers
	Limits  Limits
	Log     logr.Logger
	Metrics metrics.Registry

	mu      sync.Mutex
	budgets map[string]*budget
	rings   map[string]*serviceRing
}

// budget is the part of this process in the repeats to one service.
type budget struct {
	retry.Window
	// spent tells that the last repeat was not granted, so that the log tells of changes only.
	spent atomic.Bool
}

// serviceRing is the ring of the endpoints of a service that may get work.
type serviceRing struct {
	snapshot *site.Snapshot
	ring     *ring.Ring
	eligible []*site.Endpoint
}

// staleTime is how old a configuration may be before its silence on a route or a credential proves nothing.
const staleTime = 7 * time.Second

// defaultTimeout bounds a request whose caller and route state no time.
const defaultTimeout = 60 * time.Second

// Handle implements front.Handler.
func (h *Handler) Handle(ctx context.Context, r *front.Request, w *front.Writer) {
	q := &request{h: h, in: r, w: w, caller: ctx, begun: r.Arrived}
	defer q.finish()
	if !q.admit() {
		return
	}
	deadline := r.Arrived.Add(q.allowed)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	q.ctx, q.deadline = ctx, deadline
	h.budget(q.service).Request(time.Now())
	q.run()
}

// admit finds out whose request it is and where it goes. It reports false once the request has been answered.
func (q *request) admit() bool {
	meta, err := q.h.Codec.Meta(q.in.Header)
	q.meta = meta
	if err != nil {
		q.refuse(http.StatusBadRequest, "BadHeader", err.Error(), 0)
		return false
	}
	q.view = q.h.View.Current()
	c := q.view.Configuration
	if c == nil {
		q.refuse(http.StatusServiceUnavailable, "NoConfiguration", "no configuration yet", time.Second)
		return false
	}
	stale := q.h.View.ConfigurationAge() > staleTime
	route, ok := c.Match(q.in.Host, q.in.Path)
	if !ok {
		q.unknown(stale, http.StatusNotFound, "NoRoute")
		return false
	}
	q.route = route
	if c.NeedsCredential(route) {
		organisation, ok := c.Organisation(q.meta.Credential)
		if !ok {
			q.unknown(stale, http.StatusUnauthorized, "UnknownCredential")
			return false
		}
		q.organisation = organisation
	} else if organisation, ok := c.Organisation(q.meta.Credential); ok {
		q.organisation = organisation
	}
	q.allowed = min(cmp.Or(q.meta.Deadline, defaultTimeout), cmp.Or(route.Timeout, defaultTimeout))
	q.service = pick(route.Shares)
	q.fingerprint = Fingerprint(q.in, q.organisation)
	if q.h.quarantined(q.view, q.fingerprint) {
		q.refuse(http.StatusServiceUnavailable, "Quarantined", "the request crashed endpoints", 30*time.Second)
		return false
	}
	return true
}

// unknown refuses what the configuration does not hold. A configuration that the store has not confirmed of late proves
// nothing.
func (q *request) unknown(stale bool, status int, reason string) {
	if stale {
		q.refuse(http.StatusServiceUnavailable, reason+"Stale", "configuration is not confirmed", 500*time.Millisecond)
		return
	}
	q.refuse(status, reason, "", 0)
}

// pick draws one of the services of a route by weight.
func pick(shares []site.Share) string {
	sum := 0.0
	for _, s := range shares {
		sum += max(0, s.Weight)
	}
	at := rand.Float64() * sum
	for _, s := range shares {
		if at -= max(0, s.Weight); at < 0 {
			return s.Service
		}
	}
	return shares[0].Service
}

// Fingerprint identifies a request of an organisation, which may be nil, that comes again under another identity.
func Fingerprint(r *front.Request, o *site.Organisation) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Method + "\n" + r.Target + "\n")
	if o != nil {
		_, _ = d.WriteString(o.Name)
	}
	_, _ = d.WriteString("\n")
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

func (h *Handler) budget(service string) *budget {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[service]
	if b == nil {
		if h.budgets == nil {
			h.budgets = map[string]*budget{}
		}
		// A tenth is left for what the gateways count apart from the endpoints.
		b = &budget{Window: retry.Window{Ratio: 0.9 * h.Limits.RepeatRatio, Extra: 0.8 * h.Limits.RepeatExtra,
			Span: h.Limits.RepeatSpan}}
		h.budgets[service] = b
	}
	return b
}

// mayRepeat takes a repeat from the budget of the request's service and tells the log when the budget becomes spent, and when
// it no longer is.
func (q *request) mayRepeat() bool {
	b := q.h.budget(q.service)
	granted := b.Repeat(time.Now(), q.view.Gateways)
	switch {
	case !granted && b.spent.CompareAndSwap(false, true):
		event.Info(q.h.Log, event.RepeatsSpent, "service", q.service, "request", q.meta.ID, "gateways", q.view.Gateways)
	case granted && b.spent.CompareAndSwap(true, false):
		event.Info(q.h.Log, event.RepeatsGranted, "service", q.service, "request", q.meta.ID, "gateways", q.view.Gateways)
	}
	if !granted {
		q.h.count("Repeats.Denied." + q.service)
	}
	return granted
}

// ring returns the endpoints of a service that may get work at present.
func (h *Handler) ring(view *site.Snapshot, service string) *serviceRing {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.rings[service]
	if r != nil && r.snapshot == view {
		return r
	}
	eligible := eligible(view, service)
	if r != nil && sameEndpoints(r.eligible, eligible) {
		next := &serviceRing{snapshot: view, ring: r.ring, eligible: eligible}
		h.rings[service] = next
		return next
	}
	members := make([]ring.Endpoint, 0, len(eligible))
	for _, e := range eligible {
		members = append(members, ring.Endpoint{Name: e.ID, FailureDomain: e.FailureDomain})
	}
	next := &serviceRing{snapshot: view, ring: ring.New(nil, members), eligible: eligible}
	if h.rings == nil {
		h.rings = map[string]*serviceRing{}
	}
	h.rings[service] = next
	return next
}

func eligible(view *site.Snapshot, service string) (list []*site.Endpoint) {
	for _, e := range view.Endpoints[service] {
		if e.State == site.Ready && !view.Evacuated[e.FailureDomain] {
			list = append(list, e)
		}
	}
	return list
}

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

// crashLimit is the number of endpoints whose crash under a request makes it refused.
const crashLimit = 2

// quarantined reports whether a request crashed endpoints, by what any gateway saw.
func (h *Handler) quarantined(view *site.Snapshot, fingerprint uint64) bool {
	return len(view.Marks[fingerprint]) >= crashLimit
}
