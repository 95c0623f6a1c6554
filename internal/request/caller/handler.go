package caller

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"primrosecourse/internal/connection/agent"
	"primrosecourse/internal/event"
	"primrosecourse/pkg/retry"
	"primrosecourse/pkg/routing"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// Agents sends requests to agents; its errors are marked agent.ErrNotSent or agent.ErrMayHaveArrived.
type Agents interface {
	Submit(ctx context.Context, to agent.Target, s wire.Submit) (Stream, error)
	Call(ctx context.Context, to agent.Target, c wire.Call) (wire.Message, error)
}

// Stream is a prompt under way at an agent.
type Stream interface {
	Next(ctx context.Context) (wire.Message, error)
	Cancel()
}

// Marks knows the requests that crashed endpoints.
type Marks interface {
	// Quarantined tells whether a fingerprint is refused, and for how long.
	Quarantined(fingerprint uint64, now time.Time) (time.Duration, bool)
	// Crashed records that an endpoint crashed under the fingerprint.
	Crashed(fingerprint uint64, endpoint string, now time.Time)
	// Finished records that a request ran to its end, so that a bystander of a crash is no suspect any more.
	Finished(fingerprint uint64, now time.Time)
}

// ErrStopping is the cause of the end of requests that Cut ends.
var ErrStopping = errors.New("caller: the entry stops")

// Handler serves callers. Its exported fields are set before the first request.
type Handler struct {
	// Name is the name of the entry; identifiers of requests begin with it.
	Name string
	// FailureDomain is that of the entry; the endpoints of its region are preferred.
	FailureDomain string
	Agents        Agents
	Loads         *routing.Loads
	Log           logr.Logger
	// Marks may be nil.
	Marks Marks
	// Hints, Affinity, Budget and Metrics have defaults.
	Hints    *routing.Hints
	Affinity *routing.Affinity
	Budget   *retry.Budget
	Metrics  metrics.Registry
	// ReachPatience is how long a request waits while no endpoint can be reached. When agents are replaced one after the
	// other, the entry finds each again by a probe, at the latest after 2 s. Default 2 s; negative for none.
	ReachPatience time.Duration
	// TurnPatience is how long a suspect of a crash waits for its turn, since only one runs on an endpoint at a time, and
	// how long a prompt waits for the first endpoint that has loaded a new weight version, which takes about a second.
	// Default 10 s; negative for none.
	TurnPatience time.Duration

	once    sync.Once
	mux     *http.ServeMux
	flight  flight
	cut     context.Context
	cutOff  context.CancelCauseFunc
	applyMu sync.Mutex
	state   atomic.Pointer[state]
}

// retryBurst is the number of retries that an entry keeps unused. It is above the streams that an entry loses at once with
// one of three failure domains at the planned load, so that these can all be resumed.
const retryBurst = 100

func (h *Handler) init() {
	h.once.Do(func() {
		h.cut, h.cutOff = context.WithCancelCause(context.Background())
		h.Hints = cmp.Or(h.Hints, routing.NewHints(0))
		h.Affinity = cmp.Or(h.Affinity, routing.NewAffinity())
		h.Budget = cmp.Or(h.Budget, &retry.Budget{Burst: retryBurst})
		h.ReachPatience = cmp.Or(h.ReachPatience, 2*time.Second)
		h.TurnPatience = cmp.Or(h.TurnPatience, 10*time.Second)
		if h.Metrics == nil {
			h.Metrics = metrics.NewRegistry()
		}
		h.mux = http.NewServeMux()
		h.mux.HandleFunc("/v1/completions", h.work("prompt", h.serveCompletion))
		h.mux.HandleFunc("/v1/chat/completions", h.work("prompt", h.serveChat))
		h.mux.HandleFunc("/v1/models", h.work("models", h.serveModels))
		h.mux.HandleFunc("/services/{name}/{path...}", h.work("call", h.serveCall))
		h.mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
		h.mux.HandleFunc("/readyz", h.serveReady)
		h.mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			metrics.WriteJSONOnce(h.Metrics, w)
		})
		h.mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { refuse(ReasonUnknownPath, "").write(w, "") })
	})
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.init()
	// A deadline of the request before on this connection must not end this one.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	h.mux.ServeHTTP(w, r)
}

// Apply routes new requests by a configuration version. A lower version than the one in force is left out.
func (h *Handler) Apply(version uint64, d *settings.Deployment) {
	h.init()
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	previous := h.state.Load()
	if previous != nil && previous.version >= version {
		return
	}
	s := h.newState(version, d, previous)
	h.state.Store(s)
	if previous != nil {
		close(previous.superseded)
	}
	h.Budget.SetRatio(d.Limits.RetryRatio)
	h.Loads.Keep(func(name string) bool { _, ok := s.rings.Endpoints[name]; return ok })
	event.Info(h.Log, event.EntryConfigApplied, "version", version, "endpoints", len(d.Endpoints))
}

// Drain refuses new work and waits until nothing is under way or ctx ends. It returns the number of requests still under
// way by kind.
func (h *Handler) Drain(ctx context.Context) map[string]int {
	h.init()
	return h.flight.drain(ctx)
}

// Cut ends all requests under way and returns their number by kind. Callers get an error event or a refusal.
func (h *Handler) Cut() map[string]int {
	h.init()
	left := h.flight.underWay()
	h.cutOff(ErrStopping)
	return left
}

func (h *Handler) serveReady(w http.ResponseWriter, _ *http.Request) {
	if h.state.Load() == nil || h.flight.isDraining() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "not ready\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// configWait is how long a request that an agent refused for its old configuration waits for the new one. The agent announces
// it with the refusal, so that it takes a few round trips.
const configWait = time.Second

// newer waits until a version above s is in force and returns it, or nil if none comes in time.
func (h *Handler) newer(ctx context.Context, s *state) *state {
	timer := time.NewTimer(configWait)
	defer timer.Stop()
	select {
	case <-s.superseded:
		return h.state.Load()
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

// request is an authenticated and admitted request.
type request struct {
	id           string
	state        *state
	limits       settings.Limits
	organisation *organisation
	priority     int
	begun        time.Time
	w            http.ResponseWriter
	r            *http.Request
	control      *http.ResponseController
}

// work wraps a handler of work for an organisation: it authenticates, admits and sets the deadline.
func (h *Handler) work(kind string, serve func(context.Context, *request) *refusal) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q := &request{id: h.Name + "-" + strconv.FormatUint(rand.Uint64(), 16), begun: time.Now(), w: w, r: r,
			control: http.NewResponseController(w)}
		w.Header().Set("X-Request-Id", q.id)
		h.count("Requests." + kind)
		f := refuse("Draining", "")
		if h.flight.enter(kind) {
			defer h.flight.leave(kind)
			f = h.admitted(q, serve)
		} else {
			// The caller's next request should reach another instance.
			w.Header().Set("Connection", "close")
		}
		if f == nil {
			return
		}
		name := ""
		if q.organisation != nil {
			name = q.organisation.Name
		}
		h.count("Refused." + string(f.reason))
		event.Info(h.Log, event.RequestRefused, "request", q.id, "organisation", name, "reason", string(f.reason),
			"status", f.row().status, "outcome", outcomeText(f.outcome), "detail", f.detail)
		f.write(w, q.id)
	}
}

func (h *Handler) admitted(q *request, serve func(context.Context, *request) *refusal) *refusal {
	if q.state = h.state.Load(); q.state == nil {
		return refuse(ReasonNotReady, "")
	}
	q.limits = limitsOf(q.state.deployment)
	// The deadline also bounds the reading of what a refused request left unread.
	_ = q.control.SetReadDeadline(q.begun.Add(q.limits.BodyTimeout))
	if q.organisation = q.state.authenticate(q.r); q.organisation == nil {
		return refuse(ReasonUnauthenticated, "")
	}
	if wait, ok := take(q.organisation, q.begun); !ok {
		return &refusal{reason: "OverLimit", retryAfter: wait}
	}
	timeout, f := headers(q)
	if f != nil {
		return f
	}
	// The caller's connection, the deadline and the end of the entry all end the request.
	ctx, cancel := context.WithCancelCause(q.r.Context())
	defer cancel(nil)
	defer context.AfterFunc(h.cut, func() { cancel(ErrStopping) })()
	ctx, stop := context.WithDeadlineCause(ctx, q.begun.Add(timeout), context.DeadlineExceeded)
	defer stop()
	return serve(ctx, q)
}

// take takes a request from the organisation's bucket, or returns the time until there is room.
func take(o *organisation, now time.Time) (wait time.Duration, ok bool) {
	reservation := o.bucket.ReserveN(now, 1)
	if !reservation.OK() {
		return time.Second, false
	}
	if wait = reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		return wait, false
	}
	return 0, true
}

// headers reads X-Request-Timeout and X-Priority.
func headers(q *request) (timeout time.Duration, f *refusal) {
	timeout = q.limits.RequestTimeout
	if text := q.r.Header.Get("X-Request-Timeout"); text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || !(seconds > 0) {
			return 0, refuse("BadRequest", "X-Request-Timeout must be a positive number of seconds")
		}
		timeout = time.Duration(min(seconds, timeout.Seconds()) * float64(time.Second))
	}
	if text := q.r.Header.Get("X-Priority"); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil || priority < -10 || priority > 10 {
			return 0, refuse("BadRequest", "X-Priority must be a whole number from -10 to 10")
		}
		q.priority = priority
	}
	return timeout, nil
}

// readBody reads the body within its limits.
func (q *request) readBody() ([]byte, *refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, q.limits.MaxBodyBytes))
	// The deadline must not end the wait for the caller's disconnect.
	_ = q.control.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &large):
		return nil, refuse(ReasonBodyTooLarge, "at most "+strconv.FormatInt(large.Limit, 10)+" bytes")
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.w.Header().Set("Connection", "close")
		return nil, refuse(ReasonBodyTimeout, "")
	}
	return nil, refuse("BadRequest", "the body ended early")
}

func (h *Handler) serveModels(_ context.Context, q *request) *refusal {
	if q.r.Method != http.MethodGet {
		return methodNotAllowed(q.w, http.MethodGet)
	}
	type entry struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := []entry{}
	for _, name := range q.organisation.Models {
		if _, ok := q.state.models[name]; ok {
			list = append(list, entry{ID: name, Object: "model", OwnedBy: q.state.deployment.Site})
		}
	}
	q.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(q.w).Encode(map[string]any{"object": "list", "data": list})
	return nil
}

func methodNotAllowed(w http.ResponseWriter, allowed ...string) *refusal {
	w.Header().Set("Allow", strings.Join(allowed, ", "))
	return refuse(ReasonMethodNotAllowed, "")
}

func (h *Handler) count(name string) { metrics.GetOrRegisterCounter(name, h.Metrics).Inc(1) }

func (h *Handler) observe(name string, value int64) {
	sample := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewExpDecaySample(1028, 0.015)) }
	if g, ok := h.Metrics.GetOrRegister(name, sample).(metrics.Histogram); ok {
		g.Update(value)
	}
}

// refusalOf turns the end of a request's context into a refusal; the outcome is filled in by the caller.
func refusalOf(ctx context.Context) *refusal {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return refuse("Deadline", "")
	case errors.Is(cause, ErrStopping):
		return refuse("Draining", "the request was cut off")
	}
	return refuse("Cancelled", "")
}
