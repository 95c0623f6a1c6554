package forward

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"primrosecourse/internal/connection/endpoint"
	"primrosecourse/internal/event"
	"primrosecourse/pkg/quarantine"
)

// Dropper closes the idle connections to an endpoint. endpoint.Pool implements it.
type Dropper interface {
	// Drop closes the idle connections to t. Connections in use stay open.
	Drop(t endpoint.Target)
}

const (
	// probeDelay is the shortest time between the break of a connection and the probe of its endpoint.
	probeDelay = 30 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 2 * time.Second
	// maxSuspicions bounds the queue of suspicions. An endpoint that crashes breaks all its requests in flight, which are at
	// most about this many.
	maxSuspicions = 256
	// resultRetention is the shortest time for which the result of a probe is retained. It covers the time that a suspicion may
	// wait in the queue.
	resultRetention = maxSuspicions / proberCount * probeTimeout
	// proberCount is the number of concurrent probes.
	proberCount = 4
)

// CrashWatch finds out whether a broken connection means that the request crashed its endpoint: it probes the endpoint with a
// new connection, since a connection can also break for other reasons. Its exported fields must be set before the first
// call.
type CrashWatch struct {
	Endpoints Dropper
	// Requests and Parts are told of the crashes. They may be nil.
	Requests *RequestWatch
	Parts    *PartWatch
	Log      logr.Logger
	// Dropped is called for each suspicion that is discarded because the queue is full. It may be nil.
	Dropped func()

	initOnce   sync.Once
	suspicions chan suspicion
	done       chan struct{}

	mu      sync.Mutex
	results map[string]probeResult
}

// probeResult is the result of the latest probe of an endpoint.
type probeResult struct {
	probedAt time.Time
	down     bool
}

// Break describes an attempt during which the connection to an endpoint broke, so that the request may have crashed the endpoint.
type Break struct {
	// Request is the request ID, Attempt the number of the attempt, from 1.
	Request     string
	Attempt     int
	Fingerprint uint64
	// StartedAt is when the attempt began, Known the evidence against the request at that time.
	StartedAt time.Time
	Known     quarantine.Evidence
	Target    endpoint.Target
	// Incarnation identifies the endpoint's incarnation.
	Incarnation string
	// Cold is set if the endpoint was cold.
	Cold bool
	// Organisation is the key of the organisation, Parts are the keys of the shared parts of the prompt, in order.
	Organisation uint64
	Parts        []uint64
	// Begun is set if the answer had begun: its first event arrived at least settleTime before, and the endpoint lived on.
	Begun bool
	// TimedOut is set if the connection broke since nothing came back for long, so that the host or the network path was lost and not
	// the process alone.
	TimedOut bool
}

// suspicion is a break that is not investigated yet.
type suspicion struct {
	Break
	brokenAt time.Time
}

// hexKeys formats keys for logs.
func hexKeys(keys []uint64) string {
	list := make([]string, 0, len(keys))
	for _, k := range keys {
		list = append(list, formatKey(k))
	}
	return strings.Join(list, ",")
}

func (w *CrashWatch) init() {
	w.initOnce.Do(func() {
		w.suspicions, w.done = make(chan suspicion, maxSuspicions), make(chan struct{})
		w.results = map[string]probeResult{}
	})
}

// Done is closed when Run has ended.
func (w *CrashWatch) Done() <-chan struct{} {
	w.init()
	return w.done
}

// Run investigates suspicions until ctx is done. It returns once all its goroutines have ended.
func (w *CrashWatch) Run(ctx context.Context) error {
	w.init()
	defer close(w.done)
	var tasks sync.WaitGroup
	for range proberCount {
		tasks.Go(func() { w.runProber(ctx) })
	}
	tasks.Wait()
	return nil
}

func (w *CrashWatch) runProber(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-w.suspicions:
			w.investigate(ctx, s)
		}
	}
}

// ConnectionBroke queues a break. It never blocks: if the queue is full, the break is discarded.
func (w *CrashWatch) ConnectionBroke(b Break) {
	w.init()
	select {
	case w.suspicions <- suspicion{Break: b, brokenAt: time.Now()}:
	default:
		logBreak(w.Log, b, "not investigated: queue of suspicions is full")
		if w.Dropped != nil {
			w.Dropped()
		}
	}
}

// formatKey formats a fingerprint or another key for logs.
func formatKey(k uint64) string { return strconv.FormatUint(k, 16) }

// logBreak logs what was found out about a break.
func logBreak(log logr.Logger, b Break, outcome string) {
	event.Info(log, event.RequestMarked, "request", b.Request, "attempt", b.Attempt, "endpoint", b.Target.ID, "outcome", outcome,
		"fingerprint", formatKey(b.Fingerprint), "known", b.Known.Count(), "parts", hexKeys(b.Parts), "begun", b.Begun, "timedOut", b.TimedOut)
}

// investigate waits until probeDelay has passed since the break and marks the request if its endpoint is down.
func (w *CrashWatch) investigate(ctx context.Context, s suspicion) {
	timer := time.NewTimer(time.Until(s.brokenAt.Add(probeDelay)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if !w.isDown(ctx, s) {
		logBreak(w.Log, s.Break, "endpoint is up")
		return
	}
	if w.Parts != nil {
		w.Parts.Crashed(s.Break, s.brokenAt)
	}
	if w.Requests != nil {
		logBreak(w.Log, s.Break, w.Requests.Crashed(s.Break, s.brokenAt, time.Now()).String())
	}
}

// isDown reports whether the endpoint of a suspicion is down. It uses the last probe of the endpoint if that probe began after
// the connection broke; otherwise it closes the idle connections to the endpoint and probes it.
func (w *CrashWatch) isDown(ctx context.Context, s suspicion) bool {
	w.mu.Lock()
	result, known := w.results[s.Target.ID]
	w.mu.Unlock()
	if known && result.probedAt.After(s.brokenAt) {
		return result.down
	}
	w.Endpoints.Drop(s.Target)
	result = probeResult{probedAt: time.Now(), down: refusesConnection(ctx, s.Target)}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, old := range w.results {
		if time.Since(old.probedAt) > resultRetention {
			delete(w.results, id)
		}
	}
	w.results[s.Target.ID] = result
	return result.down
}

// refusesConnection reports whether an endpoint refuses a new connection or does not answer within the deadline of ctx.
func refusesConnection(ctx context.Context, t endpoint.Target) bool {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", t.Address.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(ctx.Err(), context.DeadlineExceeded)
	}
	_ = c.Close()
	return false
}
