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
	"primrosecourse/pkg/prefix"
	"primrosecourse/pkg/retry"
	"primrosecourse/pkg/routing"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// Agents sends requests to agents. Each of its errors matches agent.ErrNotSent or agent.ErrMayHaveArrived under errors.Is.
type Agents interface {
	Submit(ctx context.Context, to agent.Target, s wire.Submit) (Stream, error)
	Call(ctx context.Context, to agent.Target, c wire.Call) (wire.Message, error)
}

// Stream is the response stream of a prompt that was sent to an agent.
type Stream interface {
	Next(ctx context.Context) (wire.Message, error)
	Cancel()
}

// CrashMarks records the fingerprints of requests under which endpoints crashed.
type CrashMarks interface {
	// Quarantined reports whether requests with the fingerprint are refused, and for how much longer.
	Quarantined(fingerprint uint64, now time.Time) (time.Duration, bool)
	// Crashed records that an endpoint crashed while it ran a request with the fingerprint.
	Crashed(fingerprint uint64, endpoint string, now time.Time)
	// Finished records that a request with the fingerprint was completed. A request that was merely running when an endpoint
	// crashed is then no longer suspected.
	Finished(fingerprint uint64, now time.Time)
}

// CrashBlocks records the blocks of prompts that may crash endpoints, whatever else the prompts hold.
type CrashBlocks interface {
	// Quarantined reports whether prompts with one of the blocks are refused, and for how much longer.
	Quarantined(chain []prefix.ID, now time.Time) (time.Duration, bool)
	// Suspect reports whether one of the blocks was there at a crash that no quarantined block explains.
	Suspect(chain []prefix.ID, now time.Time) bool
	// Crashed records that an endpoint crashed before it began to answer a prompt with the blocks.
	Crashed(chain []prefix.ID, endpoint string, now time.Time)
	// Begun clears the blocks, since an answer to a prompt with them has begun.
	Begun(chain []prefix.ID)
}

// ErrStopping is the context cause of the requests that CancelAll cancels.
var ErrStopping = errors.New("caller: the entry is shutting down")

// Handler serves the requests of callers. Its exported fields must be set before the first request.
type Handler struct {
	// Name is the name of the entry. Request identifiers begin with it.
	Name string
	// FailureDomain is the failure domain of the entry. Endpoints in the region of that domain are preferred.
	FailureDomain string
	Agents        Agents
	Loads         *routing.Loads
	Log           logr.Logger
	// Marks may be nil; then no request is quarantined because of earlier crashes.
	Marks CrashMarks
	// Blocks may be nil; then no prompt is quarantined because of its blocks.
	Blocks CrashBlocks
	// Hints, Affinity, Budget and Metrics are created if they are nil.
	Hints    *routing.Hints
	Affinity *routing.Affinity
	Budget   *retry.Budget
	Metrics  metrics.Registry
	// UnavailableWait limits how long after its arrival a prompt, or a call that must not be repeated, is retried while no
	// endpoint can be reached or all are draining. It covers the 2 s within which the entry reconnects, by a probe, to an agent
	// that was replaced. Default 2 s; a negative value disables the wait.
	UnavailableWait time.Duration
	// BlockedWait limits how long after its arrival a prompt is retried while every endpoint already runs a
	// request suspected of a crash, since an endpoint runs only one suspect at a time, or while no endpoint has loaded a new
	// weight version, which takes about a second. Default 10 s; a negative value disables the wait.
	BlockedWait time.Duration

	initOnce       sync.Once
	mux            *http.ServeMux
	activeRequests activeRequests
	shutdown       context.Context
	cancelAll      context.CancelCauseFunc
	applyMu        sync.Mutex
	snapshot       atomic.Pointer[snapshot]
}

// retryBurst is the maximum number of unused retries that the default retry budget accumulates. It exceeds the number of
// streams that an entry loses at once with one of three failure domains at the planned load, so that all of them can be
// resumed.
const retryBurst = 100

func (h *Handler) init() {
	h.initOnce.Do(func() {
		h.shutdown, h.cancelAll = context.WithCancelCause(context.Background())
		h.Hints = cmp.Or(h.Hints, routing.NewHints(0))
		h.Affinity = cmp.Or(h.Affinity, routing.NewAffinity())
		h.Budget = cmp.Or(h.Budget, &retry.Budget{Burst: retryBurst})
		h.UnavailableWait = cmp.Or(h.UnavailableWait, 2*time.Second)
		h.BlockedWait = cmp.Or(h.BlockedWait, 10*time.Second)
		if h.Metrics == nil {
			h.Metrics = metrics.NewRegistry()
		}
		h.mux = http.NewServeMux()
		h.mux.HandleFunc("/v1/completions", h.admissionHandler("prompt", h.serveCompletion))
		h.mux.HandleFunc("/v1/chat/completions", h.admissionHandler("prompt", h.serveChat))
		h.mux.HandleFunc("/v1/models", h.admissionHandler("models", h.serveModels))
		h.mux.HandleFunc("/services/{name}/{path...}", h.admissionHandler("call", h.serveCall))
		h.mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
		h.mux.HandleFunc("/readyz", h.serveReady)
		h.mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			metrics.WriteJSONOnce(h.Metrics, w)
		})
		h.mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { newFailure(ReasonUnknownPath, "").write(w, "") })
	})
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.init()
	// Clear the write deadline that the previous request on this connection may have set.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	h.mux.ServeHTTP(w, r)
}

// Apply puts a configuration version in force for new requests and for further attempts for prompts in progress. A version that
// is not higher than the one in force is ignored.
func (h *Handler) Apply(version uint64, d *settings.Deployment) {
	h.init()
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	previous := h.snapshot.Load()
	if previous != nil && previous.version >= version {
		return
	}
	s := h.newSnapshot(version, d, previous)
	h.snapshot.Store(s)
	if previous != nil {
		close(previous.superseded)
	}
	h.Budget.SetRatio(d.Limits.RetryRatio)
	h.Loads.Retain(func(name string) bool { _, ok := s.rings.Endpoints[name]; return ok })
	event.Info(h.Log, event.EntryConfigApplied, "version", version, "endpoints", len(d.Endpoints))
}

// Drain refuses new requests and waits until none is in progress or ctx ends. It returns the number of requests still in
// progress by kind.
func (h *Handler) Drain(ctx context.Context) map[string]int {
	h.init()
	return h.activeRequests.drain(ctx)
}

// CancelAll cancels all requests in progress, and every later one, and returns the number of those in progress by kind. Their
// callers receive an error event or an error answer.
func (h *Handler) CancelAll() map[string]int {
	h.init()
	remaining := h.activeRequests.counts()
	h.cancelAll(ErrStopping)
	return remaining
}

// announceStop makes an answer whose header has not been sent state that the connection closes, if the entry stops: the caller's next request then
// reaches another instance, and does not cross the close of the connection.
func (h *Handler) announceStop(w http.ResponseWriter) {
	if h.activeRequests.isDraining() {
		w.Header().Set("Connection", "close")
	}
}

func (h *Handler) serveReady(w http.ResponseWriter, _ *http.Request) {
	h.announceStop(w)
	if h.snapshot.Load() == nil || h.activeRequests.isDraining() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "not ready\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// newConfigTimeout is how long a request that an agent refused because of its old configuration waits for the new one. The
// agent announces the new version to the entry with the refusal, so that the entry receives that version within a few round
// trips.
const newConfigTimeout = time.Second

// awaitNewer waits until a configuration newer than s is in force and returns it, or nil if there is none within
// newConfigTimeout or before ctx ends.
func (h *Handler) awaitNewer(ctx context.Context, s *snapshot) *snapshot {
	timer := time.NewTimer(newConfigTimeout)
	defer timer.Stop()
	select {
	case <-s.superseded:
		return h.snapshot.Load()
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

// request is an HTTP request of a caller. Its organisation is nil until the request is authenticated.
type request struct {
	id           string
	snapshot     *snapshot
	limits       settings.Limits
	organisation *organisation
	priority     int
	receivedAt   time.Time
	w            http.ResponseWriter
	r            *http.Request
	control      *http.ResponseController
}

// admissionHandler returns a handler that admits each request, calls serve and writes the failure, if any, as the answer.
func (h *Handler) admissionHandler(kind string, serve func(context.Context, *request) *failure) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req := &request{id: h.Name + "-" + strconv.FormatUint(rand.Uint64(), 16), receivedAt: time.Now(), w: w, r: r,
			control: http.NewResponseController(w)}
		w.Header().Set("X-Request-Id", req.id)
		h.count("Requests." + kind)
		f := newFailure("Draining", "")
		if h.activeRequests.begin(kind) {
			defer h.activeRequests.end(kind)
			f = h.admitAndServe(req, serve)
		}
		if f == nil {
			return
		}
		h.announceStop(w)
		name := ""
		if req.organisation != nil {
			name = req.organisation.Name
		}
		h.count("Refused." + string(f.reason))
		event.Info(h.Log, event.RequestRefused, "request", req.id, "organisation", name, "reason", string(f.reason),
			"status", f.info().status, "outcome", outcomeText(f.outcome), "detail", f.detail)
		f.write(w, req.id)
	}
}

// admitAndServe authenticates the request, applies the rate limit of its organisation and calls serve with the deadline of the
// request.
func (h *Handler) admitAndServe(req *request, serve func(context.Context, *request) *failure) *failure {
	if req.snapshot = h.snapshot.Load(); req.snapshot == nil {
		return newFailure(ReasonNotReady, "")
	}
	req.limits = LimitsWithDefaults(req.snapshot.deployment)
	// The read deadline also bounds the time spent on reading the rest of the body of a refused request.
	_ = req.control.SetReadDeadline(req.receivedAt.Add(req.limits.BodyTimeout))
	if req.organisation = req.snapshot.authenticate(req.r); req.organisation == nil {
		return newFailure(ReasonUnauthenticated, "")
	}
	if wait, ok := takeToken(req.organisation, req.receivedAt); !ok {
		return &failure{reason: "OverLimit", retryAfter: wait}
	}
	timeout, f := parseHeaders(req)
	if f != nil {
		return f
	}
	// The request is cancelled by a disconnect of the caller, by its deadline and by CancelAll.
	ctx, cancel := context.WithCancelCause(req.r.Context())
	defer cancel(nil)
	defer context.AfterFunc(h.shutdown, func() { cancel(ErrStopping) })()
	ctx, stop := context.WithDeadlineCause(ctx, req.receivedAt.Add(timeout), context.DeadlineExceeded)
	defer stop()
	return serve(ctx, req)
}

// takeToken takes a token from the organisation's token bucket, or returns the time until one is available.
func takeToken(o *organisation, now time.Time) (wait time.Duration, ok bool) {
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

// parseHeaders returns the timeout from X-Request-Timeout, limited to RequestTimeout, and sets the priority from X-Priority.
func parseHeaders(req *request) (timeout time.Duration, f *failure) {
	timeout = req.limits.RequestTimeout
	if text := req.r.Header.Get("X-Request-Timeout"); text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || !(seconds > 0) {
			return 0, newFailure("BadRequest", "X-Request-Timeout must be a positive number of seconds")
		}
		timeout = time.Duration(min(seconds, timeout.Seconds()) * float64(time.Second))
	}
	if text := req.r.Header.Get("X-Priority"); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil || priority < -10 || priority > 10 {
			return 0, newFailure("BadRequest", "X-Priority must be a whole number from -10 to 10")
		}
		req.priority = priority
	}
	return timeout, nil
}

// readBody reads the body within the limits of size and time. One that has been read already is not copied.
func (req *request) readBody() ([]byte, *failure) {
	if whole, ok := req.r.Body.(interface{ Bytes() []byte }); ok && int64(len(whole.Bytes())) <= req.limits.MaxBodyBytes {
		return whole.Bytes(), nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(req.w, req.r.Body, req.limits.MaxBodyBytes))
	// Clear the read deadline, so that it does not end the detection of a disconnect of the caller.
	_ = req.control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, newFailure(ReasonBodyTooLarge, "at most "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	case errors.Is(err, os.ErrDeadlineExceeded):
		req.w.Header().Set("Connection", "close")
		return nil, newFailure(ReasonBodyTimeout, "")
	}
	return nil, newFailure("BadRequest", "the body ended early")
}

func (h *Handler) serveModels(_ context.Context, req *request) *failure {
	if req.r.Method != http.MethodGet {
		return methodNotAllowed(req.w, http.MethodGet)
	}
	type modelEntry struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	models := []modelEntry{}
	for _, name := range req.organisation.Models {
		if _, ok := req.snapshot.models[name]; ok {
			models = append(models, modelEntry{ID: name, Object: "model", OwnedBy: req.snapshot.deployment.Site})
		}
	}
	h.announceStop(req.w)
	req.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(req.w).Encode(map[string]any{"object": "list", "data": models})
	return nil
}

func methodNotAllowed(w http.ResponseWriter, allowed ...string) *failure {
	w.Header().Set("Allow", strings.Join(allowed, ", "))
	return newFailure(ReasonMethodNotAllowed, "")
}

func (h *Handler) count(name string) { metrics.GetOrRegisterCounter(name, h.Metrics).Inc(1) }

func (h *Handler) observe(name string, value int64) {
	sample := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewExpDecaySample(1028, 0.015)) }
	if histogram, ok := h.Metrics.GetOrRegister(name, sample).(metrics.Histogram); ok {
		histogram.Update(value)
	}
}

// failureFromContext returns the failure of a request whose context has ended. The calling function sets the outcome.
func failureFromContext(ctx context.Context) *failure {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return newFailure("Deadline", "")
	case errors.Is(cause, ErrStopping):
		return newFailure("Draining", "the request was cut off")
	}
	return newFailure("Cancelled", "")
}
