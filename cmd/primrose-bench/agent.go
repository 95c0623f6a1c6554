package main

import (
	"math"
	"time"

	"primrosecourse/pkg/fairqueue"
	"primrosecourse/pkg/prefix"
	"primrosecourse/pkg/retention"
	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/warmup"
	"primrosecourse/pkg/wire"
)

const (
	// hopDelay is the one-way delay between an entry and an agent.
	hopDelay = 1500 * time.Microsecond
	// exportQueueLength is the limit of blocks that wait for export; it equals that of the real agent.
	exportQueueLength = 256
)

// agent combines the decision packages for one engine as the real agent does.
type agent struct {
	sim       *simulation
	endpoint  settings.Endpoint
	engine    *engine
	queue     *fairqueue.Queue[*request]
	allowance *warmup.Allowance
	// leaving means that the failure domain is Leaving, down that the instance is gone. Scenarios set both.
	leaving, down bool

	index      map[prefix.ID]bool // blocks in the engine's cache, according to its events and the runs that have ended
	sequence   uint64             // of the last cache event read
	lostEvents retention.LostEvents
	tracker    *retention.Tracker
	links      map[string]*retention.LinkRate // by store
	costs      retention.Costs
	exports    []prefix.ID // blocks that wait for export
	exporting  bool
}

// load returns the load state that the agent reports to entries.
func (a *agent) load() wire.LoadState {
	l := wire.LoadState{State: wire.StateWarm, Running: a.engine.running(), Queued: a.queue.Len(),
		QueuedTokens: int(a.queue.Cost()) + a.prefillTokens(), Allowance: a.allowance.Limit()}
	switch {
	case a.leaving:
		l.State = wire.StateLeaving
	case a.allowance.Cold():
		l.State = wire.StateCold
	}
	return l
}

// prefillTokens returns the tokens that the runs without a first token had to prefill when they were submitted.
func (a *agent) prefillTokens() (tokens int) {
	for _, u := range a.engine.waiting {
		tokens += u.request.tokens + u.request.deliveredTokens - u.hitTokens
	}
	return tokens
}

// receive handles a request from an entry.
func (a *agent) receive(r *request) {
	switch {
	case a.down:
		a.sim.clock.after(hopDelay, func() { r.entry.retryUnreachable(r, a) })
	case a.leaving:
		a.refuse(r, wire.ReasonLeaving)
	default:
		a.importBlocks(r)
	}
}

func (a *agent) refuse(r *request, reason wire.Reason) {
	load := a.load()
	a.sim.clock.after(hopDelay, func() { r.entry.refused(r, a, reason, load) })
}

// importBlocks fetches the blocks that follow the cached prefix from the stores if that costs less than prefilling them, and
// then queues the request.
func (a *agent) importBlocks(r *request) {
	cached := 0
	for cached < len(r.chain) && a.index[r.chain[cached]] {
		cached++
	}
	r.cachedTokens = cached * a.sim.plan.blockTokens
	stored := r.chain[cached:]
	for i, id := range stored {
		if s := a.sim.storeOf(id); s == nil || !s.has(id) {
			stored = stored[:i]
			break
		}
	}
	r.fetchedTokens = 0
	if a.engine.unlimited || !a.fetchCosts(stored).ShouldFetch(len(stored)*a.sim.plan.blockTokens) {
		a.enqueue(r)
		return
	}
	a.fetch(r, stored)
}

// fetch imports the blocks one after the other and then queues the request. It stops early if a block is gone or the agent is
// down.
func (a *agent) fetch(r *request, ids []prefix.ID) {
	if len(ids) == 0 || a.down {
		a.enqueue(r)
		return
	}
	s, requestedAt := a.sim.storeOf(ids[0]), a.sim.clock.now
	if !s.has(ids[0]) {
		a.enqueue(r)
		return
	}
	s.transfer(a.blockBytes(), func() {
		a.links[s.name].Observe(int(a.blockBytes()), a.sim.clock.now-requestedAt, a.sim.clock.time())
		a.engine.cache.put(ids[:1])
		r.fetchedTokens += a.sim.plan.blockTokens
		a.fetch(r, ids[1:])
	})
}

// fetchCosts returns the costs of fetching these blocks, at the rate of the slowest link among their stores.
func (a *agent) fetchCosts(ids []prefix.ID) retention.Costs {
	c := a.costs
	c.LinkBytesPerSecond = 0
	if len(ids) > 0 {
		c.LinkBytesPerSecond = math.MaxFloat64
	}
	for _, id := range ids {
		c.LinkBytesPerSecond = min(c.LinkBytesPerSecond, a.links[a.sim.storeOf(id).name].Estimate(a.sim.clock.time()))
	}
	return c
}

func (a *agent) blockBytes() float64 {
	return float64(a.costs.BytesPerToken) * float64(a.sim.plan.blockTokens)
}

// enqueue queues a request, which may evict another one from the queue. It refuses the request if the queue has no room for it.
func (a *agent) enqueue(r *request) {
	if a.down || a.leaving {
		a.receive(r)
		return
	}
	_, evicted, err := a.queue.Push(a.sim.clock.time(), fairqueue.Request[*request]{Organisation: r.org.Name,
		Cost:     float64(max(0, r.tokens-r.cachedTokens-r.fetchedTokens) + r.answerTokens),
		Deadline: epoch.Add(r.deadline()), Value: r})
	if evicted != nil {
		a.refuse(evicted.Value, wire.ReasonBusy)
	}
	if err != nil {
		reason := wire.ReasonBusy
		if a.allowance.Cold() {
			reason = wire.ReasonCold
		}
		a.refuse(r, reason)
		return
	}
	a.dispatch()
}

// dispatch submits queued requests to the engine while the allowance has room.
func (a *agent) dispatch() {
	for a.queue.Len() > 0 && !a.down {
		now := a.sim.clock.time()
		if a.allowance.NeedsReport(now) {
			a.allowance.Observe(now, warmup.Report{Incarnation: a.engine.incarnation, Warm: a.engine.warm(),
				Capacity: a.engine.capacity(), Running: a.engine.running()})
		}
		if a.allowance.Free() == 0 {
			return
		}
		item, expired := a.queue.Pop(now)
		for _, e := range expired {
			a.refuse(e.Value, wire.ReasonDeadline)
		}
		if item == nil {
			return
		}
		u := a.engine.submit(item.Value, item.EnginePriority())
		a.allowance.Accepted(now, u.incarnation)
		a.sim.meter.recordPrefill(u.request, u.hitTokens)
		load := a.load()
		a.sim.clock.after(hopDelay, func() { u.request.entry.accepted(u, a, load) })
	}
}

func (a *agent) firstToken(u *run) {
	a.allowance.FirstToken(u.incarnation, a.sim.clock.now-u.submittedAt)
	a.sim.clock.after(hopDelay, func() { u.request.entry.firstToken(u) })
	a.dispatch()
}

func (a *agent) runEnded(u *run) {
	a.allowance.Ended(u.incarnation)
	a.recordUse(u.request.chain)
	a.dispatch()
	load := a.load()
	a.sim.clock.after(hopDelay, func() { u.request.entry.runEnded(u, a, load) })
}

// restartEngine restarts the engine, which cuts off its runs.
func (a *agent) restartEngine() {
	runs := a.engine.restart()
	a.allowance.Lost()
	for _, u := range runs {
		a.sim.clock.after(hopDelay, func() { u.request.entry.interrupted(u, a) })
	}
}

// stop cuts off all runs, refuses the queued requests and marks the instance as down.
func (a *agent) stop() {
	a.restartEngine()
	for {
		item, _ := a.queue.Pop(epoch)
		if item == nil {
			break
		}
		a.refuse(item.Value, wire.ReasonDraining)
	}
	a.down = true
}

// recordUse records the use of blocks and queues those that are worth exporting.
func (a *agent) recordUse(chain []prefix.ID) {
	if a.engine.unlimited {
		return
	}
	for _, id := range chain {
		a.index[id] = true // the run has just used the block, so it is in the cache
		a.tracker.Use(id.Uint64(), a.sim.clock.time())
		if a.tracker.ShouldExport(id.Uint64()) && len(a.exports) < exportQueueLength {
			a.exports = append(a.exports, id)
			a.tracker.Exported(id.Uint64())
		}
	}
	a.export()
}

// export sends the queued blocks to their stores, one at a time. It skips a block that is no longer cached or no longer worth
// exporting, and all blocks while the agent or the store is down.
func (a *agent) export() {
	if a.exporting || len(a.exports) == 0 {
		return
	}
	id := a.exports[0]
	a.exports = a.exports[1:]
	s := a.sim.storeOf(id)
	if a.down || s == nil || s.down || a.engine.cache.byID[id] == nil ||
		!a.fetchCosts([]prefix.ID{id}).ShouldFetch(a.sim.plan.blockTokens) {
		a.tracker.Lost(id.Uint64())
		a.export()
		return
	}
	a.exporting = true
	requestedAt := a.sim.clock.now
	s.transfer(a.blockBytes(), func() {
		a.exporting = false
		a.links[s.name].Observe(int(a.blockBytes()), a.sim.clock.now-requestedAt, a.sim.clock.time())
		if s.down {
			a.tracker.Lost(id.Uint64())
		} else {
			s.put(id)
		}
		a.export()
	})
}

// readCacheEvents applies the engine's cache events to the index. It clears the index if too many events were lost, as the
// real agent does, or if the cache is empty.
func (a *agent) readCacheEvents() {
	for _, e := range a.engine.cache.events {
		a.lostEvents.Missed(e.sequence - a.sequence - 1)
		if a.lostEvents.Exceeds(len(a.index)) {
			clear(a.index)
		}
		a.sequence = e.sequence
		if e.removed {
			delete(a.index, e.id)
			a.tracker.Evicted(e.id.Uint64(), a.sim.clock.time())
		} else {
			a.index[e.id] = true
		}
	}
	a.engine.cache.events = a.engine.cache.events[:0]
	if a.engine.cache.sequence == 0 || len(a.engine.cache.byID) == 0 {
		clear(a.index)
	}
}
