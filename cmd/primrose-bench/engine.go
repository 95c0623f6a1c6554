package main

import (
	"container/list"
	"slices"
	"time"

	"primrosecourse/pkg/prefix"
)

const (
	// prefillChunk is the number of prompt tokens that a step of the batch computes beside one token of each run.
	prefillChunk = 256
	// gapLimit is the target for the time between tokens.
	gapLimit = 34 * time.Millisecond
	// coldSlowdown multiplies the step time of a cold engine.
	coldSlowdown = 2
)

// engine is the fake at the interface of the model engine. It computes one prompt at a time, the one of the highest priority,
// and decodes one token of every run a step; a step takes longer while a prompt is computed. Between two
// events all rates are constant.
type engine struct {
	clock           *clock
	agent           *agent
	prefill, decode float64 // tokens per second
	batch, coldCap  int
	cache           *cache
	// unlimited makes every prompt token that was ever seen a hit, for the offline bound.
	unlimited bool

	incarnation uint64
	firstTokens int // since the engine turned cold
	waiting     []*run
	decoding    []*run
	at          time.Duration
	// progress counts the steps since the start, slow those of them that took longer than gapLimit.
	progress, slow float64
	timer          uint64
	// excess counts submissions over the capacity, which the agent must prevent.
	excess int
}

// run is a request in the batch.
type run struct {
	request   *request
	priority  int
	hit       int
	left      float64 // prompt tokens to compute
	submitted time.Duration
	// end is the progress at which the answer is whole; begun and slow are those at the first token.
	end, begun, slow float64
	incarnation      uint64
}

func (e *engine) warm() bool { return e.firstTokens >= e.batch-e.coldCap }

func (e *engine) capacity() int { return min(e.coldCap+e.firstTokens, e.batch) }

func (e *engine) running() int { return len(e.waiting) + len(e.decoding) }

// step returns the time of a step and the prompt tokens computed in a second.
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

func (e *engine) advance() {
	seconds, prefill := e.step()
	passed := (e.clock.now - e.at).Seconds()
	e.at = e.clock.now
	e.progress += passed / seconds
	if seconds > gapLimit.Seconds() {
		e.slow += passed / seconds
	}
	if len(e.waiting) > 0 {
		e.waiting[0].left -= passed * prefill
	}
}

// submit takes a run into the batch, where prompts are computed in the order of priority and arrival. Its hit is the
// number of leading prompt tokens that need not be computed.
func (e *engine) submit(r *request, priority int) *run {
	e.advance()
	if e.running() >= e.capacity() {
		e.excess++
	}
	hit := e.cache.use(r.chain) * r.world.plan.block
	if e.unlimited {
		hit = r.held() / r.world.plan.block * r.world.plan.block
	}
	tokens := r.tokens + r.given
	u := &run{request: r, hit: min(hit, tokens-1), priority: priority, submitted: e.clock.now, incarnation: e.incarnation}
	u.left = float64(tokens - u.hit)
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].priority < priority {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, u)
	e.schedule()
	return u
}

// schedule sets the timer for the next end of a prompt or an answer.
func (e *engine) schedule() {
	e.timer++
	seconds, prefill := e.step()
	next := -1.0
	if len(e.waiting) > 0 {
		next = e.waiting[0].left / prefill
	}
	for _, u := range e.decoding {
		if d := (u.end - e.progress) * seconds; next < 0 || d < next {
			next = d
		}
	}
	if next < 0 {
		return
	}
	timer := e.timer
	// A nanosecond more makes up for rounding down.
	e.clock.after(time.Duration(max(0, next)*1e9)+1, func() {
		if e.timer == timer {
			e.work()
		}
	})
}

func (e *engine) work() {
	e.advance()
	var first *run
	if len(e.waiting) > 0 && e.waiting[0].left <= 1e-6 {
		first = e.waiting[0]
		e.waiting = e.waiting[1:]
		e.firstTokens++
		e.cache.put(first.request.chain)
		first.begun, first.slow = e.progress, e.slow
		first.end = e.progress + float64(first.request.answer-first.request.given-1)
		e.decoding = append(e.decoding, first)
	}
	var ended []*run
	kept := e.decoding[:0]
	for _, u := range e.decoding {
		if u.end-e.progress <= 1e-6 {
			ended = append(ended, u)
		} else {
			kept = append(kept, u)
		}
	}
	e.decoding = kept
	e.schedule()
	if first != nil {
		e.agent.firstToken(first)
	}
	for _, u := range ended {
		e.agent.ended(u)
	}
}

// turnCold restarts the engine with an empty cache and returns the runs that it cut.
func (e *engine) turnCold() (cut []*run) {
	e.advance()
	cut = append(append(cut, e.waiting...), e.decoding...)
	e.waiting, e.decoding = nil, nil
	e.incarnation++
	e.firstTokens = 0
	e.timer++
	e.cache.clear()
	return cut
}

// cacheEvent is a block stored or removed; sequence numbers show holes.
type cacheEvent struct {
	sequence uint64
	id       prefix.ID
	removed  bool
}

// cache is a bounded set of blocks that drops the least recently used one.
type cache struct {
	limit    int
	byID     map[prefix.ID]*list.Element
	order    *list.List // of prefix.ID, the most recently used in front
	sequence uint64
	events   []cacheEvent
	// losing drops the events, as a fault.
	losing bool
}

func newCache(limit int) *cache {
	return &cache{limit: limit, byID: make(map[prefix.ID]*list.Element), order: list.New()}
}

// use returns how many leading blocks of the chain are held.
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
			c.event(oldest.Value.(prefix.ID), true)
			delete(c.byID, oldest.Value.(prefix.ID))
			c.order.Remove(oldest)
		}
		c.byID[id] = c.order.PushFront(id)
		c.event(id, false)
	}
}

func (c *cache) clear() {
	clear(c.byID)
	c.order.Init()
	c.events, c.sequence = nil, c.sequence+1
}

func (c *cache) event(id prefix.ID, removed bool) {
	c.sequence++
	if !c.losing {
		c.events = append(c.events, cacheEvent{c.sequence, id, removed})
	}
}
