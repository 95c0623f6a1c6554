package forward

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"primrosecourse/internal/connection/endpoint"
	"primrosecourse/internal/event"
)

// Marks records requests that crashed endpoints, for all gateways.
type Marks interface {
	Crashed(ctx context.Context, fingerprint uint64, endpoint string) error
}

// Dropper closes the idle connections to an endpoint; endpoint.Pool is one.
type Dropper interface {
	Drop(t endpoint.Target)
}

const (
	// crashProbe is the pause before an endpoint that broke a connection is asked whether it is still there.
	crashProbe = 30 * time.Millisecond
	// probeTime bounds the question and the mark.
	probeTime = 2 * time.Second
	// maxSuspicions bounds the requests that wait for the question: an endpoint that crashes breaks off all that it has under
	// way, which is at most about this many.
	maxSuspicions = 256
	// verdictTime is how long an answer is kept: longer than any suspicion waits.
	verdictTime = maxSuspicions / probers * probeTime
	// probers is the number of endpoints that are asked at a time.
	probers = 4
)

// CrashWatch finds out which endpoints crashed under a request: a connection that broke alone says nothing. Its exported
// fields are set before Run.
type CrashWatch struct {
	Marks     Marks
	Endpoints Dropper
	Log       logr.Logger
	// Dropped is called for each request that was not looked into since too many wait. It may be nil.
	Dropped func()

	once       sync.Once
	suspicions chan suspicion
	done       chan struct{}

	mu       sync.Mutex
	verdicts map[string]verdictOn
}

// verdictOn is what an endpoint showed when it was last asked.
type verdictOn struct {
	asked time.Time
	gone  bool
}

// suspicion is a request under which the connection to an endpoint broke.
type suspicion struct {
	request     string
	fingerprint uint64
	target      endpoint.Target
	at          time.Time
}

func (w *CrashWatch) init() {
	w.once.Do(func() {
		w.suspicions, w.done = make(chan suspicion, maxSuspicions), make(chan struct{})
		w.verdicts = map[string]verdictOn{}
	})
}

// Done is closed when Run has ended.
func (w *CrashWatch) Done() <-chan struct{} {
	w.init()
	return w.done
}

// Run looks into suspicions until ctx is done. It returns once all its goroutines ended.
func (w *CrashWatch) Run(ctx context.Context) error {
	w.init()
	defer close(w.done)
	var work sync.WaitGroup
	for range probers {
		work.Go(func() { w.watch(ctx) })
	}
	work.Wait()
	return nil
}

func (w *CrashWatch) watch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-w.suspicions:
			w.look(ctx, s)
		}
	}
}

// Broke tells that the connection to an endpoint broke under a request. It does not wait.
func (w *CrashWatch) Broke(request string, fingerprint uint64, target endpoint.Target) {
	w.init()
	select {
	case w.suspicions <- suspicion{request: request, fingerprint: fingerprint, target: target, at: time.Now()}:
	default:
		event.Info(w.Log, event.RequestMarked, "request", request, "endpoint", target.ID, "outcome", "not looked into: too many wait")
		if w.Dropped != nil {
			w.Dropped()
		}
	}
}

// look marks the request if its endpoint is gone.
func (w *CrashWatch) look(ctx context.Context, s suspicion) {
	timer := time.NewTimer(time.Until(s.at.Add(crashProbe)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	if !w.gone(ctx, s) {
		return
	}
	event.Info(w.Log, event.RequestMarked, "request", s.request, "endpoint", s.target.ID, "fingerprint", strconv.FormatUint(s.fingerprint, 10))
	if err := w.Marks.Crashed(ctx, s.fingerprint, s.target.ID); err != nil {
		event.Info(w.Log, event.StoreWriteFailed, "request", s.request, "reason", err.Error())
	}
}

// gone reports whether the endpoint of a suspicion is gone. A question asked since the connection broke answers for all that
// broke before it.
func (w *CrashWatch) gone(ctx context.Context, s suspicion) bool {
	w.mu.Lock()
	v, known := w.verdicts[s.target.ID]
	w.mu.Unlock()
	if known && v.asked.After(s.at) {
		return v.gone
	}
	w.Endpoints.Drop(s.target)
	v = verdictOn{asked: time.Now(), gone: refuses(ctx, s.target)}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, old := range w.verdicts {
		if time.Since(old.asked) > verdictTime {
			delete(w.verdicts, id)
		}
	}
	w.verdicts[s.target.ID] = v
	return v.gone
}

// refuses reports whether an endpoint refuses connections, or answers no packet.
func refuses(ctx context.Context, t endpoint.Target) bool {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", t.Address.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(ctx.Err(), context.DeadlineExceeded)
	}
	_ = c.Close()
	return false
}
