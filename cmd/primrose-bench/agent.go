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
	// hop is the one-way delay between two processes.
	hop = 1500 * time.Microsecond
	// exportQueueLength is that of the agent's mover.
	exportQueueLength = 256
)

// agent composes the decision packages beside one engine as the agent process does.
type agent struct {
	world     *world
	endpoint  settings.Endpoint
	engine    *engine
	queue     *fairqueue.Queue[*request]
	allowance *warmup.Allowance
	// leaving and down are set by scenarios.
	leaving, down bool

	index    map[prefix.ID]bool
	sequence uint64
	doubt    retention.Doubt
	tracker  *retention.Tracker
	links    map[string]*retention.LinkRate
	costs    retention.Costs
	exports  []prefix.ID
	moving   bool
}

func (a *agent) load() wire.LoadState {
	l := wire.LoadState{State: wire.StateWarm, Running: a.engine.running(), Queued: a.queue.Len(),
		QueuedTokens: int(a.queue.Cost()) + a.prefill(), Allowance: a.allowance.Limit()}
	switch {
	case a.leaving:
		l.State = wire.StateLeaving
	case a.allowance.Cold():
		l.State = wire.StateCold
	}
	return l
}

// prefill returns the prompt tokens of runs that have no first token yet.
func (a *agent) prefill() (tokens int) {
	for _, u := range a.engine.waiting {
		tokens += u.request.tokens + u.request.given - u.hit
	}
	return tokens
}

// arrive takes a request from an entry.
func (a *agent) arrive(r *request) {
	switch {
	case a.down:
		a.world.clock.after(hop, func() { r.entry.unreachable(r, a) })
	case a.leaving:
		a.refuse(r, wire.ReasonLeaving)
	default:
		a.prepare(r)
	}
}

func (a *agent) refuse(r *request, reason wire.Reason) {
	load := a.load()
	a.world.clock.after(hop, func() { r.entry.refused(r, a, reason, load) })
}

// prepare imports the blocks that the engine lacks where that costs less than computing them.
func (a *agent) prepare(r *request) {
	held := 0
	for held < len(r.chain) && a.index[r.chain[held]] {
		held++
	}
	r.cached = held * a.world.plan.block
	present := r.chain[held:]
	for i, id := range present {
		if s := a.world.storeOf(id); s == nil || !s.has(id) {
			present = present[:i]
			break
		}
	}
	r.fetched = 0
	if a.engine.unlimited || !a.fetchCosts(present).ShouldFetch(len(present)*a.world.plan.block) {
		a.enqueue(r)
		return
	}
	a.fetch(r, present)
}

func (a *agent) fetch(r *request, ids []prefix.ID) {
	if len(ids) == 0 || a.down {
		a.enqueue(r)
		return
	}
	s, asked := a.world.storeOf(ids[0]), a.world.clock.now
	if !s.has(ids[0]) {
		a.enqueue(r)
		return
	}
	s.transfer(a.blockBytes(), func() {
		a.links[s.name].Observe(int(a.blockBytes()), a.world.clock.now-asked, a.world.clock.time())
		a.engine.cache.put(ids[:1])
		r.fetched += a.world.plan.block
		a.fetch(r, ids[1:])
	})
}

// fetchCosts returns the costs with the rate of the slowest link among the stores of ids.
func (a *agent) fetchCosts(ids []prefix.ID) retention.Costs {
	c := a.costs
	c.LinkBytesPerSecond = 0
	if len(ids) > 0 {
		c.LinkBytesPerSecond = math.MaxFloat64
	}
	for _, id := range ids {
		c.LinkBytesPerSecond = min(c.LinkBytesPerSecond, a.links[a.world.storeOf(id).name].Estimate(a.world.clock.time()))
	}
	return c
}

func (a *agent) blockBytes() float64 {
	return float64(a.costs.BytesPerToken) * float64(a.world.plan.block)
}

func (a *agent) enqueue(r *request) {
	if a.down || a.leaving {
		a.arrive(r)
		return
	}
	_, evicted, err := a.queue.Push(a.world.clock.time(), fairqueue.Request[*request]{Organisation: r.org.Name,
		Cost: float64(max(0, r.tokens-r.cached-r.fetched) + r.answer), Deadline: epoch.Add(r.deadline()), Value: r})
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

// dispatch submits to the engine while it may be given runs.
func (a *agent) dispatch() {
	for a.queue.Len() > 0 && !a.down {
		now := a.world.clock.time()
		if a.allowance.NeedsSign(now) {
			a.allowance.Observe(now, warmup.Sign{Incarnation: a.engine.incarnation, Warm: a.engine.warm(),
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
		a.world.meter.computed(u.request, u.hit)
		load := a.load()
		a.world.clock.after(hop, func() { u.request.entry.accepted(u, a, load) })
	}
}

func (a *agent) firstToken(u *run) {
	a.allowance.FirstToken(u.incarnation, a.world.clock.now-u.submitted)
	a.world.clock.after(hop, func() { u.request.entry.firstToken(u) })
	a.dispatch()
}

func (a *agent) ended(u *run) {
	a.allowance.Ended(u.incarnation)
	a.keep(u.request.chain)
	a.dispatch()
	load := a.load()
	a.world.clock.after(hop, func() { u.request.entry.ended(u, a, load) })
}

// cut ends the runs of an engine that restarts or goes away.
func (a *agent) cut() {
	runs := a.engine.turnCold()
	a.allowance.Lost()
	for _, u := range runs {
		a.world.clock.after(hop, func() { u.request.entry.broken(u, a) })
	}
}

// stop refuses what is queued; the endpoint is gone until start.
func (a *agent) stop() {
	a.cut()
	for {
		item, _ := a.queue.Pop(epoch)
		if item == nil {
			break
		}
		a.refuse(item.Value, wire.ReasonDraining)
	}
	a.down = true
}

// keep records the use of blocks and queues those worth exporting.
func (a *agent) keep(chain []prefix.ID) {
	if a.engine.unlimited {
		return
	}
	for _, id := range chain {
		a.index[id] = true // the run has just used it
		a.tracker.Use(id.Uint64(), a.world.clock.time())
		if a.tracker.ShouldExport(id.Uint64()) && len(a.exports) < exportQueueLength {
			a.exports = append(a.exports, id)
			a.tracker.Exported(id.Uint64())
		}
	}
	a.export()
}

// export moves one block after the other.
func (a *agent) export() {
	if a.moving || len(a.exports) == 0 {
		return
	}
	id := a.exports[0]
	a.exports = a.exports[1:]
	s := a.world.storeOf(id)
	if a.down || s == nil || s.dead || a.engine.cache.byID[id] == nil ||
		!a.fetchCosts([]prefix.ID{id}).ShouldFetch(a.world.plan.block) {
		a.tracker.Lost(id.Uint64())
		a.export()
		return
	}
	a.moving = true
	asked := a.world.clock.now
	s.transfer(a.blockBytes(), func() {
		a.moving = false
		a.links[s.name].Observe(int(a.blockBytes()), a.world.clock.now-asked, a.world.clock.time())
		if s.dead {
			a.tracker.Lost(id.Uint64())
		} else {
			s.put(id)
		}
		a.export()
	})
}

// follow reads the engine's cache events. A hole counts as that of the agent's mover does.
func (a *agent) follow() {
	for _, e := range a.engine.cache.events {
		a.doubt.Missed(e.sequence - a.sequence - 1)
		if a.doubt.Exceeds(len(a.index)) {
			clear(a.index)
		}
		a.sequence = e.sequence
		if e.removed {
			delete(a.index, e.id)
			a.tracker.Evicted(e.id.Uint64(), a.world.clock.time())
		} else {
			a.index[e.id] = true
		}
	}
	a.engine.cache.events = a.engine.cache.events[:0]
	if a.engine.cache.sequence == 0 || len(a.engine.cache.byID) == 0 {
		clear(a.index)
	}
}
