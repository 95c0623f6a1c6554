package main

import (
	"container/list"
	"slices"
	"time"

	"primrosecourse/pkg/prefix"
)

const (
	// prefillChunk is the number of prompt tokens that one step of the batch prefills in addition to decoding one token of
	// each run that is past its prefill.
	prefillChunk = 256
	// tokenIntervalTarget is the target for the time between two tokens of an answer.
	tokenIntervalTarget = 34 * time.Millisecond
	// coldSlowdown is the factor by which a cold engine is slower.
	coldSlowdown = 2
)

// engine simulates a model engine. It prefills one prompt at a time, the one with the highest priority, and decodes one
// token per step of every run whose prefill is complete; a step takes longer during a prefill. All rates are constant
// between two events.
type engine struct {
	clock           *clock
	agent           *agent
	prefill, decode float64 // tokens per second
	// batch is the number of runs that the engine can execute at a time when warm, coldLimit the number when it has just
	// turned cold.
	batch, coldLimit int
	cache            *cache
	// unlimited makes a cache hit of every whole block of the prompt tokens that computedBefore counts, for the offline bound.
	unlimited bool

	incarnation uint64
	firstTokens int    // first tokens since the engine turned cold
	waiting     []*run // without a first token, in the order in which their prompts are prefilled
	decoding    []*run
	updatedAt   time.Duration
	// steps counts the steps since the start, slowSteps those that took longer than tokenIntervalTarget.
	steps, slowSteps float64
	// timer is the number of the latest timer; earlier ones are void.
	timer uint64
	// excess counts submissions beyond the capacity, which the agent must prevent.
	excess int
}

// run is a request in the batch. Variables of this type are called u, since r is a request.
type run struct {
	request   *request
	priority  int
	hitTokens int // leading prompt tokens found in the cache
	// remainingTokens counts the prompt tokens that are not prefilled yet.
	remainingTokens float64
	submittedAt     time.Duration
	// firstStep and lastStep are the engine's step counts at the first token of the run and, as planned, at the last one; both
	// are 0 before the first token. slowStepsAtFirst is the engine's count of slow steps at the first token.
	lastStep, firstStep, slowStepsAtFirst float64
	incarnation                           uint64
}

func (e *engine) warm() bool { return e.firstTokens >= e.batch-e.coldLimit }

func (e *engine) capacity() int { return min(e.coldLimit+e.firstTokens, e.batch) }

func (e *engine) running() int { return len(e.waiting) + len(e.decoding) }

// step returns the duration of a step and the prompt tokens prefilled per second.
func (e *engine) step() (seconds, prefill float64) {
	seconds, prefill = 1/e.decode, e.prefill
	if len(e.waiting) > 0 {
		seconds = max(seconds, prefillChunk/e.prefill)
	}
	if !e.warm() {
		seconds, prefill = seconds*coldSlowdown, prefill/coldSlowdown
	}
	return seconds, prefill
}

// advance updates the progress of all runs to the current time.
func (e *engine) advance() {
	seconds, prefill := e.step()
	elapsed := (e.clock.now - e.updatedAt).Seconds()
	e.updatedAt = e.clock.now
	e.steps += elapsed / seconds
	if seconds > tokenIntervalTarget.Seconds() {
		e.slowSteps += elapsed / seconds
	}
	if len(e.waiting) > 0 {
		e.waiting[0].remainingTokens -= elapsed * prefill
	}
}

// submit adds a run to the batch, in which prompts are prefilled by priority and, within a priority, in the order of
// submission. Leading prompt tokens found in the cache are not prefilled, except that the last token always is.
func (e *engine) submit(r *request, priority int) *run {
	e.advance()
	if e.running() >= e.capacity() {
		e.excess++
	}
	hitTokens := e.cache.use(r.chain) * r.sim.plan.blockTokens
	if e.unlimited {
		hitTokens = r.computedBefore() / r.sim.plan.blockTokens * r.sim.plan.blockTokens
	}
	tokens := r.tokens + r.deliveredTokens
	u := &run{request: r, hitTokens: min(hitTokens, tokens-1), priority: priority, submittedAt: e.clock.now,
		incarnation: e.incarnation}
	u.remainingTokens = float64(tokens - u.hitTokens)
	position := len(e.waiting)
	for position > 0 && e.waiting[position-1].priority < priority {
		position--
	}
	e.waiting = slices.Insert(e.waiting, position, u)
	e.schedule()
	return u
}

// schedule sets the timer for the next end of a prefill or an answer and cancels the previous timer.
func (e *engine) schedule() {
	e.timer++
	seconds, prefill := e.step()
	next := -1.0
	if len(e.waiting) > 0 {
		next = e.waiting[0].remainingTokens / prefill
	}
	for _, u := range e.decoding {
		if d := (u.lastStep - e.steps) * seconds; next < 0 || d < next {
			next = d
		}
	}
	if next < 0 {
		return
	}
	timer := e.timer
	// One nanosecond compensates for rounding down.
	e.clock.after(time.Duration(max(0, next)*1e9)+1, func() {
		if e.timer == timer {
			e.completeDue()
		}
	})
}

// completeDue moves a run whose prefill is complete to decoding, removes the runs whose answers are complete, and reports both to
// the agent.
func (e *engine) completeDue() {
	e.advance()
	var first *run
	if len(e.waiting) > 0 && e.waiting[0].remainingTokens <= 1e-6 {
		first = e.waiting[0]
		e.waiting = e.waiting[1:]
		e.firstTokens++
		e.cache.put(first.request.chain)
		first.firstStep, first.slowStepsAtFirst = e.steps, e.slowSteps
		first.lastStep = e.steps + float64(first.request.answerTokens-first.request.deliveredTokens-1)
		e.decoding = append(e.decoding, first)
	}
	var ended []*run
	unfinished := e.decoding[:0]
	for _, u := range e.decoding {
		if u.lastStep-e.steps <= 1e-6 {
			ended = append(ended, u)
		} else {
			unfinished = append(unfinished, u)
		}
	}
	e.decoding = unfinished
	e.schedule()
	if first != nil {
		e.agent.firstToken(first)
	}
	for _, u := range ended {
		e.agent.runEnded(u)
	}
}

// restart makes the engine cold, empties its cache and returns the interrupted runs.
func (e *engine) restart() (interrupted []*run) {
	e.advance()
	interrupted = append(append(interrupted, e.waiting...), e.decoding...)
	e.waiting, e.decoding = nil, nil
	e.incarnation++
	e.firstTokens = 0
	e.timer++
	e.cache.clear()
	return interrupted
}

// cacheEvent reports that a block was stored or removed. A gap in the sequence numbers shows that events were lost.
type cacheEvent struct {
	sequence uint64
	id       prefix.ID
	removed  bool
}

// cache is a bounded set of blocks that evicts the least recently used one.
type cache struct {
	limit    int
	byID     map[prefix.ID]*list.Element
	order    *list.List // of prefix.ID, the most recently used in front
	sequence uint64
	events   []cacheEvent
	// dropEvents simulates the loss of events.
	dropEvents bool
}

func newCache(limit int) *cache {
	return &cache{limit: limit, byID: make(map[prefix.ID]*list.Element), order: list.New()}
}

// use returns the number of leading blocks of the chain in the cache and marks these as recently used.
func (c *cache) use(chain []prefix.ID) int {
	for i, id := range chain {
		el := c.byID[id]
		if el == nil {
			return i
		}
		c.order.MoveToFront(el)
	}
	return len(chain)
}

func (c *cache) put(chain []prefix.ID) {
	for _, id := range chain {
		if el := c.byID[id]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		if len(c.byID) >= c.limit {
			oldest := c.order.Back()
			c.recordEvent(oldest.Value.(prefix.ID), true)
			delete(c.byID, oldest.Value.(prefix.ID))
			c.order.Remove(oldest)
		}
		c.byID[id] = c.order.PushFront(id)
		c.recordEvent(id, false)
	}
}

func (c *cache) clear() {
	clear(c.byID)
	c.order.Init()
	c.events, c.sequence = nil, c.sequence+1 // the skipped number makes the loss of the events visible
}

func (c *cache) recordEvent(id prefix.ID, removed bool) {
	c.sequence++
	if !c.dropEvents {
		c.events = append(c.events, cacheEvent{c.sequence, id, removed})
	}
}
