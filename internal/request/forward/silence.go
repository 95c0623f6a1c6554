package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"primrosecourse/internal/event"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/progress"
	"primrosecourse/pkg/site"
)

// errSilent is the cause with which the context of an attempt is cancelled because its endpoint was found silent.
var errSilent = errors.New("endpoint is silent")

// Prober asks endpoints for a sign of life.
type Prober interface {
	// Alive returns nil if the endpoint answers.
	Alive(ctx context.Context, e *site.Endpoint) error
}

const (
	// silenceInterval is the time between two checks of the endpoints with attempts in flight.
	silenceInterval = 50 * time.Millisecond
	// A question is sent twice, questionDelay apart, since a packet may be lost; without an answer within questionTimeout, the
	// endpoint is suspect, and silent without one until progress.Rule.ReleaseAt.
	questionDelay   = 150 * time.Millisecond
	questionTimeout = 450 * time.Millisecond
	// maxQuestions bounds the endpoints that are asked at the same time.
	maxQuestions = 32
	// maxLoggedRequests bounds the requests that are named when an endpoint is found silent.
	maxLoggedRequests = 32
)

// SilenceWatch finds engines that stopped sending although requests are in flight there, so that new requests go elsewhere, and releases
// those requests that can go on elsewhere. The others stay: a sound engine may be silent for a second or so. Its exported fields must be set
// before the first call.
type SilenceWatch struct {
	Table  *placement.Table
	Prober Prober
	Rule   progress.Rule
	Log    logr.Logger
	// Count counts an event of a metric; it may be nil.
	Count func(metric string)

	initOnce sync.Once
	done     chan struct{}
	mu       sync.Mutex
	watched  map[string]*watchedEndpoint
	asking   int
}

// watchedEndpoint is an endpoint with attempts in flight.
type watchedEndpoint struct {
	endpoint *site.Endpoint
	flights  map[*flight]struct{}
	asking   bool
	// silentAt is when the endpoint was last found silent. releaseAt is when its requests may be released if it does not answer the present
	// question.
	silentAt, releaseAt time.Time
}

// state returns what is known of the endpoint. The caller must hold the watch's mu.
func (e *watchedEndpoint) state(heardAt, others time.Time) progress.Endpoint {
	s := progress.Endpoint{HeardAt: heardAt, OthersHeardAt: others}
	for f := range e.flights {
		s.Attempts = append(s.Attempts, f.state)
	}
	return s
}

// flight is an attempt in flight at an endpoint that is watched for silence.
type flight struct {
	watch   *SilenceWatch
	attempt *attempt
	release context.CancelCauseFunc
	// state is guarded by watch.mu.
	state progress.Attempt
}

func (w *SilenceWatch) init() {
	w.initOnce.Do(func() { w.done, w.watched = make(chan struct{}), map[string]*watchedEndpoint{} })
}

// Done is closed when Run has ended.
func (w *SilenceWatch) Done() <-chan struct{} {
	w.init()
	return w.done
}

// begin adds an attempt whose first token is expected after the given time. release cancels its context.
func (w *SilenceWatch) begin(a *attempt, now time.Time, expected time.Duration, release context.CancelCauseFunc) *flight {
	if w == nil {
		return nil
	}
	w.init()
	f := &flight{watch: w, attempt: a, release: release, state: progress.Attempt{SentAt: now, Expected: expected,
		Deadline: a.req.deadline, Repeatable: a.req.route.Repeat != site.Never && a.req.possibleRuns+1 < a.req.route.Attempts}}
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.watched[a.endpoint.ID]
	if e == nil {
		e = &watchedEndpoint{flights: map[*flight]struct{}{}}
		w.watched[a.endpoint.ID] = e
	}
	e.endpoint = a.endpoint
	e.flights[f] = struct{}{}
	return f
}

// end removes an attempt.
func (w *SilenceWatch) end(f *flight) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	id := f.attempt.endpoint.ID
	if e := w.watched[id]; e != nil {
		if delete(e.flights, f); len(e.flights) == 0 && !e.asking {
			delete(w.watched, id)
		}
	}
}

// progress records that an event of the attempt's answer arrived.
func (f *flight) progress(now time.Time) {
	if f == nil {
		return
	}
	f.watch.mu.Lock()
	defer f.watch.mu.Unlock()
	if !f.state.ProgressAt.IsZero() {
		f.state.Pause = max(f.state.Pause, now.Sub(f.state.ProgressAt))
	}
	f.state.ProgressAt = now
}

// hold keeps the watch from releasing the attempt, and from reading the state of its request meanwhile. resume ends that.
func (f *flight) hold() (resume func()) {
	if f == nil {
		return func() {}
	}
	f.watch.mu.Lock()
	defer f.watch.mu.Unlock()
	repeatable := f.state.Repeatable
	f.state.Repeatable = false
	return func() {
		f.watch.mu.Lock()
		defer f.watch.mu.Unlock()
		f.state.Repeatable = repeatable
	}
}

// Run checks the endpoints with attempts in flight until ctx is done. It always returns nil, once its goroutines have ended.
func (w *SilenceWatch) Run(ctx context.Context) error {
	w.init()
	defer close(w.done)
	var questions sync.WaitGroup
	defer questions.Wait()
	ticker := time.NewTicker(silenceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, e := range w.doubtful(time.Now()) {
			questions.Go(func() { w.examine(ctx, e) })
		}
	}
}

// doubtful returns the endpoints that are to be asked for a sign of life, and marks them as being asked.
func (w *SilenceWatch) doubtful(now time.Time) (list []*watchedEndpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.watched {
		if e.asking || w.asking >= maxQuestions {
			continue
		}
		heardAt, others, accused := w.Table.LastHeard(now, e.endpoint)
		state := e.state(heardAt, others)
		if e.silentAt.After(heardAt) && !slices.ContainsFunc(state.Attempts, func(a progress.Attempt) bool { return progress.Releasable(now, a) }) {
			continue // nothing depends on the answer
		}
		if (accused && len(e.flights) > 0) || w.Rule.Doubtful(now, state) {
			e.asking, e.releaseAt = true, w.Rule.ReleaseAt(state)
			w.asking++
			list = append(list, e)
		}
	}
	return list
}

// examine asks a doubtful endpoint for a sign of life and releases its attempts if it gives none.
func (w *SilenceWatch) examine(ctx context.Context, e *watchedEndpoint) {
	// begin replaces e.endpoint while the question is open, if the endpoint's entry has changed.
	w.mu.Lock()
	asked := e.endpoint
	w.mu.Unlock()
	askedAt := time.Now()
	suspicion := time.AfterFunc(questionTimeout, func() { w.suspect(asked, askedAt) })
	err := w.ask(ctx, asked, latest(e.releaseAt, askedAt.Add(questionTimeout)))
	suspicion.Stop()
	now := time.Now()
	if ctx.Err() != nil {
		err = nil
	}
	if err == nil {
		w.Table.Heard(now, asked)
	}
	// An endpoint that sent something after all is not silent.
	heardAt, _, _ := w.Table.LastHeard(now, asked)
	silent := err != nil && !heardAt.After(askedAt)
	w.mu.Lock()
	defer w.mu.Unlock()
	e.asking = false
	w.asking--
	if len(e.flights) == 0 {
		delete(w.watched, asked.ID)
	}
	if !silent {
		w.count("Endpoints.Quiet")
		event.Debug(w.Log, event.EndpointQuiet, "endpoint", asked.ID, "inFlight", len(e.flights), "answeredMs", now.Sub(askedAt).Milliseconds())
		return
	}
	w.count("Endpoints.Silent")
	w.Table.Silent(now, asked)
	e.silentAt = now
	released, withoutRetry := w.releaseFlights(e, now, askedAt)
	event.Info(w.Log, event.EndpointSilent, "endpoint", asked.ID, "released", len(released), "kept", len(e.flights)-len(released), "withoutRetry", withoutRetry,
		"heardMs", agoMillis(now, heardAt), "askedMs", now.Sub(askedAt).Milliseconds(), "reason", err.Error(), "requests", released[:min(len(released), maxLoggedRequests)])
}

// releaseFlights cancels the attempts that were sent to a silent endpoint before it was asked and whose requests can go on elsewhere, in the
// order of progress.ReleaseOrder, and takes retries for them from the budget in that order. It returns the IDs of their requests, and the
// number of attempts that stay since the budget is used up. The caller must hold mu, so that no attempt ends meanwhile and the requests' own
// goroutines don't use their state.
func (w *SilenceWatch) releaseFlights(e *watchedEndpoint, now, askedAt time.Time) (released []string, withoutRetry int) {
	var flights []*flight
	var states []progress.Attempt
	for f := range e.flights {
		if f.state.SentAt.Before(askedAt) && f.state.Repeatable && f.attempt.req.hasAlternative(now) {
			flights, states = append(flights, f), append(states, f.state)
		}
	}
	for _, i := range progress.ReleaseOrder(now, states) {
		req := flights[i].attempt.req
		if !req.takeRetry() {
			withoutRetry++
			continue
		}
		req.retryTaken = true
		released = append(released, req.meta.ID)
		flights[i].release(errSilent)
	}
	return released, withoutRetry
}

// hasAlternative reports whether there is an eligible endpoint to which the request was not sent yet.
func (req *request) hasAlternative(now time.Time) bool {
	eligible := req.handler.serviceRing(req.snapshot, req.service, nil).eligible
	if req.pinned.active {
		eligible = req.endpointsOfBuild(now)
	}
	return slices.ContainsFunc(eligible, func(e *site.Endpoint) bool { return !slices.Contains(req.tried, e.ID) })
}

// agoMillis returns how long ago t was in milliseconds, or -1 if t is zero.
func agoMillis(now, t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Milliseconds()
}

// suspect makes new requests avoid an endpoint that has sent nothing since askedAt.
func (w *SilenceWatch) suspect(e *site.Endpoint, askedAt time.Time) {
	now := time.Now()
	heardAt, _, _ := w.Table.LastHeard(now, e)
	if !heardAt.After(askedAt) && w.Table.Silent(now, e) {
		event.Info(w.Log, event.EndpointSuspect, "endpoint", e.ID, "outcome", placement.Silent.String(), "heardMs", agoMillis(now, heardAt),
			"askedMs", now.Sub(askedAt).Milliseconds())
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ask asks an endpoint for a sign of life, twice unless the first question is answered soon. It returns the first error if neither
// is answered by a time. A refused connection is an error at once.
func (w *SilenceWatch) ask(ctx context.Context, e *site.Endpoint, by time.Time) (err error) {
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	answers := make(chan error, 2)
	question := func() { answers <- w.Prober.Alive(ctx, e) }
	go question()
	again := time.NewTimer(questionDelay)
	defer again.Stop()
	for outstanding := 1; outstanding > 0; {
		select {
		case <-again.C:
			outstanding++
			go question()
		case answer := <-answers:
			if answer == nil {
				return nil
			}
			err = errors.CombineErrors(err, answer)
			outstanding--
		}
	}
	return err
}

func (w *SilenceWatch) count(metric string) {
	if w.Count != nil {
		w.Count(metric)
	}
}
