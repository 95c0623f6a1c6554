package forward

import (
	"context"
	"math/rand/v2"
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
	"primrosecourse/pkg/builds"
	"primrosecourse/pkg/hedge"
	"primrosecourse/pkg/memory"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/retry"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/staleness"
	"primrosecourse/pkg/tiering"
)

// View provides the current state of the site. registry.Registry implements it.
type View interface {
	// Current returns the current snapshot, which is never modified.
	Current() *site.Snapshot
	// ConfigurationAge returns how long ago the platform's store last confirmed the configuration.
	ConfigurationAge() time.Duration
	// VersionsAge returns how long ago the platform's store last confirmed which weight version of each model is to be served.
	VersionsAge() time.Duration
	// ReplacedFor returns the time since the first weight version of a model above the given one was named.
	ReplacedFor(model string, version uint64) time.Duration
}

// Tiers provides the KV stores of the site. kvstore.Catalog implements it.
type Tiers interface {
	// List returns the stores of the configuration in force.
	List() []tiering.Store
	// Scope returns the contents of the stores in a cache scope.
	Scope(scope string) *kvstore.Scoped
	// Uses reports whether this gateway still uses the parts of a weight version in the stores.
	Uses(model string, version uint64) bool
	// Clock returns the time on the servers' clock, which the stores state in their responses, or false if it is unknown.
	Clock() (clock time.Duration, ok bool)
}

// Plans reads which plan of builds is the latest. buildplan.Planner implements it.
type Plans interface {
	// Latest returns the number of the plan in the platform's store at some time after the call.
	Latest(ctx context.Context) (number uint64, err error)
}

// TakeUps asks the other gateways about streams that are taken up. takeups.Exchange implements it.
type TakeUps interface {
	// Ask returns what they answer after the call about the stream with the given ID, or only about their plans if id is 0. It returns early once one
	// began the stream.
	Ask(ctx context.Context, id uint64) builds.Answers
}

// Sender sends requests to endpoints. endpoint.Pool implements it.
type Sender interface {
	// Send sends a request and returns its answer, with the body unread. The answer must be closed.
	Send(ctx context.Context, t endpoint.Target, call *endpoint.Call) (*endpoint.Answer, error)
}

// Incarnations asks endpoints whether they still run. endpoint.Pool implements it.
type Incarnations interface {
	// Running returns nil if an endpoint runs, as far as it tells, and when it started, zero if it does not state that.
	Running(ctx context.Context, t endpoint.Target) (startedAt time.Time, err error)
}

// Crashes investigates connections that broke during a request. CrashWatch implements it.
type Crashes interface {
	// ConnectionBroke reports an attempt during which the connection to an endpoint broke.
	ConnectionBroke(b Break)
}

// Limits is the retry budget of each service, which all gateways share.
type Limits struct {
	// RepeatRatio is the number of retries allowed per request to a service and RepeatExtra the number allowed in addition,
	// both within any period of RepeatSpan.
	RepeatRatio float64
	RepeatExtra float64
	RepeatSpan  time.Duration
}

// Handler forwards requests. Its exported fields must be set before the first call.
type Handler struct {
	// Domain is the failure domain of this gateway.
	Domain    string
	Codec     Codec
	View      View
	Table     *placement.Table
	Endpoints Sender
	// Crashes may be nil.
	Crashes Crashes
	// Requests and Parts know which requests and which parts of prompts crashed endpoints. They may be nil.
	Requests *RequestWatch
	Parts    *PartWatch
	// Silence finds engines that stopped sending. It may be nil.
	Silence *SilenceWatch
	// Tiers may be nil.
	Tiers Tiers
	// Lifetimes states how long parts of replaced weight versions stay in use.
	Lifetimes tiering.Lifetimes
	// Links finds stores that deliver late. It may be nil.
	Links *tiering.Links
	// Incarnations tells whether an answer that ended with its connection is whole. It may be nil.
	Incarnations Incarnations
	// Builds keeps each resumable stream at the build that began it. It may be nil. Endpoints must then confirm the incarnation of a Call.
	Builds *builds.Book
	// Plans confirms the plan of Builds. It must not be nil if Builds is not.
	Plans Plans
	// TakeUps asks the other gateways which build began a stream. If it is nil, this gateway is the only one.
	TakeUps TakeUps
	// Rollouts limits what is sent to the targets of rollouts. It may be nil.
	Rollouts Rollouts
	// Staleness bounds for how long requests may begin on replaced weights. The zero value allows it.
	Staleness staleness.Rule
	Limits    Limits
	// MaxWaiting is the number of requests to one service that may wait in a queue for room. If it is 0, each one waits for itself.
	MaxWaiting int
	// Hedging sends slow requests of idempotent routes a second time. It may be nil.
	Hedging *hedge.Controller
	// Memory bounds the memory for answers that are read before they are relayed, and for incomplete events; it may be nil. Without memory,
	// an answer is relayed as it arrives, and a stream whose event is that long is broken.
	Memory *memory.Budget
	Log    logr.Logger
	// Metrics may be nil.
	Metrics metrics.Registry

	mu           sync.Mutex
	retryBudgets map[string]*retryBudget
	rings        map[ringName]*serviceRing

	queuesMu sync.Mutex
	queues   map[string]*roomQueue

	// stopping is the planned stop, nil before one. stopCtx ends with it.
	stopping   atomic.Pointer[Stop]
	stopOnce   sync.Once
	stopCtx    context.Context
	stopCancel context.CancelCauseFunc
}

// retryBudget is this gateway's share of the retry budget of one service.
type retryBudget struct {
	retry.Window
	// denied is set if the last retry was denied; it serves to log changes only.
	denied atomic.Bool
}

// maxConfigurationAge is the age above which a configuration is stale: a route or credential that it lacks may exist in a newer
// one.
const maxConfigurationAge = 7 * time.Second

// defaultTimeout replaces each of the caller's and the route's timeouts that is not set. The shorter of the two applies.
const defaultTimeout = 60 * time.Second

// quarantinedRetryAfter is the time for which the caller of a request that crashed endpoints is told to wait.
const quarantinedRetryAfter = 30 * time.Second

// Handle implements front.Handler.
func (h *Handler) Handle(ctx context.Context, r *front.Request, w *front.Writer) {
	req := &request{handler: h, incoming: r, w: w, caller: ctx, started: r.Arrived, memory: h.Memory.Hold(freeAnswerBytes)}
	defer req.finish()
	if !req.admit() {
		return
	}
	if r.CallerLeft() {
		req.abandon()
		return
	}
	req.deadline = r.Arrived.Add(req.timeout)
	if !req.fitsStop() {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	ctx, release := h.withStop(ctx)
	defer release()
	req.ctx = ctx
	if !req.pin(r.Arrived) {
		return
	}
	h.retryBudget(req.service).Request(time.Now())
	h.Hedging.Request(time.Now(), req.service)
	req.run()
}

// draw returns a number from 0 to 1 by which a service is chosen. It is the same for all requests for one stream that may be resumed.
func (req *request) draw() float64 {
	if id := req.meta.origin(); req.route.Repeat == site.Resume && id != "" {
		return float64(streamID(id)>>11) / (1 << 53)
	}
	return rand.Float64()
}

// pickService returns the service of a route at a point from 0 to 1, in proportion to the shares.
func pickService(shares []site.Share, point float64) string {
	sum := 0.0
	for _, s := range shares {
		sum += max(0, s.Weight)
	}
	point *= sum
	for _, s := range shares {
		if point -= max(0, s.Weight); point < 0 {
			return s.Service
		}
	}
	return shares[0].Service
}

// Fingerprint returns a hash of a request's method, target, body and organisation, so that the same request is recognised under
// another request ID. The organisation may be nil.
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

func (h *Handler) retryBudget(service string) *retryBudget {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.retryBudgets[service]
	if b == nil {
		if h.retryBudgets == nil {
			h.retryBudgets = map[string]*retryBudget{}
		}
		// A tenth of the ratio and a fifth of the extra retries are held in reserve, since gateways and endpoints may count
		// differently.
		b = &retryBudget{Window: retry.Window{Ratio: 0.9 * h.Limits.RepeatRatio, Extra: 0.8 * h.Limits.RepeatExtra,
			Span: h.Limits.RepeatSpan}}
		h.retryBudgets[service] = b
	}
	return b
}

// takeRetry takes a retry from the budget of the request's service and reports whether one was left. A denied retry is logged if
// the one before was granted, and a granted retry if the one before was denied.
func (req *request) takeRetry() bool {
	b := req.handler.retryBudget(req.service)
	granted := b.Repeat(time.Now(), req.snapshot.Gateways)
	switch {
	case !granted && b.denied.CompareAndSwap(false, true):
		event.Info(req.handler.Log, event.RepeatsSpent, "service", req.service, "request", req.meta.ID, "gateways", req.snapshot.Gateways)
	case granted && b.denied.CompareAndSwap(true, false):
		event.Info(req.handler.Log, event.RepeatsGranted, "service", req.service, "request", req.meta.ID, "gateways", req.snapshot.Gateways)
	}
	if !granted {
		req.handler.count("Repeats.Denied." + req.service)
	}
	return granted
}
