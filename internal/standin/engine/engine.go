package engine

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"primrosecourse/internal/process/engine"
	"primrosecourse/internal/standin/fault"
	"primrosecourse/pkg/token"
)

// Engine is one engine. Its methods are safe for concurrent use, but only one call of Serve may run at a time.
type Engine struct {
	// Faults injects faults into the calls that Serve handles.
	Faults fault.Hook

	settings Settings
	wake     chan struct{} // buffer of one; wakes runBatch
	orderMu  sync.Mutex    // held while an order is being carried out

	mu                   sync.Mutex
	incarnation          uint64
	model, version, role string
	epoch                uint64 // of the latest order that was not refused
	firstTokens          int    // since the engine turned cold
	downUntil            time.Time
	paused               bool
	// rateLimited and maxRate are stated in Health.
	rateLimited bool
	maxRate     float64
	arrivals    uint64
	runs        map[string]*run
	batch       []*run // by priority, then arrival
	cache       *cache
	ledger      Ledger
	samples     []loadSample
}

type loadSample struct {
	takenAt time.Time
	report  engine.LoadReport
}

// run is a request that the engine is processing. The engine's mutex guards it.
type run struct {
	engine.Request
	fingerprint uint64
	arrival     uint64
	prefill     int      // prompt and given tokens that are not prefilled yet
	next        int      // index of the next token
	pinned      []*block // blocks that the run uses; unpinned when it ends
	recordIndex int      // index into Ledger.Runs
	crashes     bool     // the prompt contains the crash marker

	events []any         // not yet taken by the handler of the stream
	wake   chan struct{} // buffer of one; receives a value when an event is added, the run ends or it is detached
	ended  bool          // no further events; a stream without End was cut
	// detached is set when the connection must be closed while the run continues.
	detached bool
}

// New returns an engine. It is cold unless WarmStart is set.
func New(s Settings) *Engine {
	s = s.withDefaults()
	e := &Engine{
		settings: s, wake: make(chan struct{}, 1), incarnation: rand.Uint64() | 1,
		model: s.Model, version: s.Version, role: s.Role,
		runs: map[string]*run{}, cache: newCache(s.CacheBlocks, s.EventLossInterval),
	}
	if s.WarmStart {
		e.firstTokens = s.WarmUpRuns
	}
	return e
}

// capacity returns the number of concurrent runs that the engine accepts. It rises linearly during the warm-up.
func (e *Engine) capacity() int {
	s := &e.settings
	if e.firstTokens >= s.WarmUpRuns {
		return s.BatchLimit
	}
	return s.ColdCapacity + (s.BatchLimit-s.ColdCapacity)*e.firstTokens/s.WarmUpRuns
}

func (e *Engine) warm() bool { return e.firstTokens >= e.settings.WarmUpRuns }

// submit adds a run for a request, or returns engine.ErrBusy, engine.ErrWrongVersion or engine.ErrBadRequest.
func (e *Engine) submit(req engine.Request, now time.Time) (*run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if req.RequestID == "" || e.runs[req.RequestID] != nil || req.MaxTokens <= len(req.Given) {
		return nil, engine.ErrBadRequest
	}
	if len(e.runs) >= e.capacity() {
		e.ledger.Excess++
		if !e.warm() {
			e.ledger.ExcessCold++
		}
		return nil, engine.ErrBusy
	}
	if req.Model != e.model || req.Version != e.version {
		return nil, engine.ErrWrongVersion
	}
	e.arrivals++
	r := &run{
		Request: req, fingerprint: Fingerprint(req.Prompt), arrival: e.arrivals, next: len(req.Given),
		pinned: e.cache.pin(req.Blocks), wake: make(chan struct{}, 1),
		crashes: strings.Contains(token.Decode(req.Prompt), e.settings.CrashMarker),
	}
	cachedTokens := min(len(r.pinned)*e.settings.BlockTokens, len(req.Prompt))
	r.prefill = len(req.Prompt) - cachedTokens + len(req.Given)
	foreignBlocks := 0
	for _, b := range r.pinned {
		if b.version != req.Version {
			foreignBlocks++
		}
	}
	r.recordIndex = len(e.ledger.Runs)
	e.ledger.Runs = append(e.ledger.Runs, RunRecord{
		RequestID: req.RequestID, Fingerprint: r.fingerprint, Version: req.Version, Incarnation: e.incarnation,
		Started: now, Given: len(req.Given), CachedTokens: cachedTokens, ForeignBlocks: foreignBlocks,
	})
	e.runs[req.RequestID] = r
	if !e.warm() {
		e.ledger.MaxRunningCold = max(e.ledger.MaxRunningCold, len(e.runs))
	}
	e.enqueue(r)
	r.emit(engine.Accepted{CachedTokens: cachedTokens, Incarnation: e.incarnation})
	e.wakeBatch()
	return r, nil
}

// wakeBatch wakes runBatch if it is idle.
func (e *Engine) wakeBatch() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (r *run) emit(event any) {
	r.events = append(r.events, event)
	r.notify()
}

// notify wakes the handler of the stream without blocking.
func (r *run) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// finish ends a run with an End event that carries the reason, or cuts its stream if the reason is empty. It has no effect
// on a run that has ended.
func (e *Engine) finish(r *run, reason string, now time.Time) {
	if r.ended {
		return
	}
	r.ended = true
	if reason != "" {
		r.events = append(r.events, engine.End{Finish: reason})
	}
	r.notify()
	e.cache.unpin(r.pinned)
	delete(e.runs, r.RequestID)
	record := &e.ledger.Runs[r.recordIndex]
	record.Finished, record.Finish = now, reason
}

// Cancel cancels a run and reports whether it was running.
func (e *Engine) Cancel(requestID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runs[requestID]
	if r != nil {
		e.finish(r, "Cancelled", time.Now())
	}
	return r != nil
}

// abandon cancels a run that has not ended when the handler of its stream returns, unless the run is detached.
func (e *Engine) abandon(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !r.detached {
		e.finish(r, "Cancelled", time.Now())
	}
}

// TurnCold restarts the engine's worker without warning: it cuts all streams, empties the cache and starts a new, cold
// incarnation.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.turnCold(time.Now())
}

// turnCold implements TurnCold. The sequence numbers of cache events continue. The caller must hold mu.
func (e *Engine) turnCold(now time.Time) {
	e.cutAll(now)
	e.incarnation++
	e.firstTokens = 0
	sequence := e.cache.sequence
	e.cache = newCache(e.settings.CacheBlocks, e.settings.EventLossInterval)
	e.cache.sequence = sequence
}

// Detach closes the connections of all open streams while their runs continue, like an engine that detects lost
// connections late.
func (e *Engine) Detach() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		r.detached = true
		r.notify()
	}
}

// Cut ends all runs and cuts their streams without an End event.
func (e *Engine) Cut() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cutAll(time.Now())
}

func (e *Engine) cutAll(now time.Time) {
	for _, r := range e.runs {
		e.finish(r, "", now)
	}
}

// Pause stops the execution of batch steps if paused is true, and resumes it otherwise.
func (e *Engine) Pause(paused bool) {
	e.mu.Lock()
	e.paused = paused
	e.mu.Unlock()
	e.wakeBatch()
}

// LimitRate makes the engine state that it accepts at most so many runs per second, or no limit if perSecond is negative. The engine accepts more
// all the same, so that a test sees what it gets.
func (e *Engine) LimitRate(perSecond float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rateLimited, e.maxRate = perSecond >= 0, max(0, perSecond)
}

// Set changes the model, version and role without an order. An empty argument leaves the value unchanged.
func (e *Engine) Set(model, version, role string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.set(model, version, role)
}

func (e *Engine) set(model, version, role string) {
	for _, change := range []struct {
		field *string
		value string
	}{{&e.model, model}, {&e.version, version}, {&e.role, role}} {
		if change.value != "" {
			*change.field = change.value
		}
	}
}

// Ledger returns a copy of the ledger.
func (e *Engine) Ledger() Ledger {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.ledger
	l.Incarnation = e.incarnation
	l.Runs = append([]RunRecord(nil), l.Runs...)
	l.Orders = append([]OrderRecord(nil), l.Orders...)
	return l
}

// Order carries out an order. The error is engine.ErrOldEpoch if the engine refuses the order because of its epoch, and
// otherwise that of the load.
func (e *Engine) Order(ctx context.Context, o engine.Order) error {
	e.orderMu.Lock()
	defer e.orderMu.Unlock()
	e.mu.Lock()
	refused := e.settings.ChecksFencing && o.Epoch < e.epoch
	if !refused {
		e.epoch = o.Epoch
	}
	e.ledger.Orders = append(e.ledger.Orders, OrderRecord{Order: o, At: time.Now(), Refused: refused})
	e.mu.Unlock()
	if refused {
		return engine.ErrOldEpoch
	}
	if o.Kind == "LoadVersion" {
		if err := e.loadWeights(ctx, o); err != nil {
			return err
		}
		e.Set(o.Model, o.Version, "")
	}
	if o.Kind == "SetRole" {
		e.Set("", "", o.Role)
	}
	return nil
}
