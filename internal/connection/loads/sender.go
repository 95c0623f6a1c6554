package loads

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"primrosecourse/internal/event"
	"primrosecourse/internal/process/bootclock"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/site"
)

// sender is the state of sendLoop.
type sender struct {
	exchange *Exchange
	conn     *net.UDPConn
	number   uint64
	// lastSent is when the last full message was sent, lastIdle whether it had no loads, lastCached when the last one with cached parts
	// and floors was sent. lastSummary, lastUrgentSummary and lastCachedSummary are the same for summaries.
	lastSent, lastCached                              time.Time
	lastSummary, lastUrgentSummary, lastCachedSummary time.Time
	lastIdle                                          bool
}

// sendLoop sends the state of this gateway to the others of its domain, and summaries to other domains while it speaks for its own,
// until ctx is done.
func (e *Exchange) sendLoop(ctx context.Context, conn *net.UDPConn) {
	s := &sender{exchange: e, conn: conn}
	for ctx.Err() == nil {
		now := time.Now()
		same, others := split(e.Peers.Peers(), e.Domain)
		s.sendFull(now, same)
		speaks := e.speaks(same, now)
		if speaks && now.Sub(s.lastSummary) >= max(summaryInterval, interval(len(same))) {
			s.sendSummary(now, others)
		}
		wait, started := interval(len(same)), time.Now()
		s.sendUrgent(ctx, same, others, speaks, wait)
		if e.Delayed != nil && ctx.Err() == nil {
			e.Delayed(max(0, time.Since(started)-wait))
		}
	}
}

// interval returns the time between two full messages to n peers.
func interval(n int) time.Duration {
	return min(maxInterval, minInterval*time.Duration(max(1, n/peersAtMinInterval)))
}

// plan returns the number of the plan of builds that this gateway knows, 0 if there is none.
func (e *Exchange) plan() uint64 {
	if e.Plan == nil {
		return 0
	}
	return e.Plan()
}

func (e *Exchange) speaks(same []site.Gateway, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.speakers.speaks(same, now)
}

func (s *sender) next() *message {
	s.number++
	return &message{Name: s.exchange.Name, Incarnation: s.exchange.Incarnation, Number: s.number}
}

func (s *sender) sendFull(now time.Time, same []site.Gateway) {
	loads := s.exchange.Table.Loads(now, maxLoads)
	idle := len(loads) == 0
	if len(same) == 0 || (idle && s.lastIdle && now.Sub(s.lastSent) < idleInterval) {
		return
	}
	m := s.next()
	m.Plan = s.exchange.plan()
	m.setLoads(loads)
	s.exchange.setSaves(m, now, nil)
	if s.exchange.Intake != nil {
		m.Intake = newIntakeLists(s.exchange.Intake.Reports(now, maxIntakes, nil))
	}
	if now.Sub(s.lastCached) >= cachePeriod {
		s.lastCached = now
		if s.exchange.Floors != nil {
			m.Floors = s.exchange.Floors.Own()
		}
		m.setCached(s.exchange.Table.LocalCaches(now, maxCachedParts))
		if s.exchange.Links != nil {
			m.setLinks(s.exchange.Links.Reports(now, nil))
		}
		s.exchange.setAges(m)
	}
	s.exchange.broadcast(s.conn, same, m)
	s.lastSent, s.lastIdle = now, idle
}

func (s *sender) sendSummary(now time.Time, others map[string][]site.Gateway) {
	if len(others) == 0 {
		return
	}
	e := s.exchange
	members := e.memberNames()
	m := s.next()
	m.Domain, m.Plan = e.Domain, e.plan()
	m.setLoads(e.Table.SumLoads(now, maxSummaryLoads, members))
	e.setSaves(m, now, members)
	if e.Intake != nil {
		m.Intake = newIntakeLists(e.Intake.Reports(now, maxSummaryIntakes, members))
	}
	if now.Sub(s.lastCachedSummary) >= cachePeriod {
		s.lastCachedSummary = now
		m.setCached(e.Table.GroupCaches(now, maxSummaryParts, members))
		m.GroupFloors = e.groupFloors(members)
		if e.Links != nil {
			m.setLinks(e.Links.Reports(now, members))
		}
		e.setAges(m)
	}
	e.broadcast(s.conn, draw(others), m)
	s.lastSummary = now
}

// setSaves adds the saves that this gateway and the members of its domain, if any, requested to a message.
func (e *Exchange) setSaves(m *message, now time.Time, members map[string]bool) {
	switch {
	case e.Saves == nil:
	case members == nil:
		m.setSaves(e.Saves.Reports(now, nil, maxSaves))
	default:
		m.setSaves(e.Saves.Reports(now, members, maxSummarySaves))
	}
}

func (e *Exchange) setAges(m *message) {
	if e.Ages != nil {
		m.setAges(e.Ages.Stated(bootclock.Now()))
	}
}

// memberNames returns the names of the other gateways of this domain that sent a message.
func (e *Exchange) memberNames() map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.members)
}

// groupFloors returns the floors of the named gateways and of this one.
func (e *Exchange) groupFloors(members map[string]bool) map[string]incarnationFloors {
	if e.Floors == nil {
		return nil
	}
	all := map[string]incarnationFloors{e.Name: {Incarnation: e.Incarnation, Floors: e.Floors.Own()}}
	for name := range members {
		if incarnation, floors := e.Floors.Peer(name); incarnation != 0 {
			all[name] = incarnationFloors{Incarnation: incarnation, Floors: floors}
		}
	}
	return all
}

// sendUrgent sends urgent load changes until duration has passed or ctx is done: those of this gateway to its domain, and, if this
// gateway speaks for it, those of the domain to the others.
func (s *sender) sendUrgent(ctx context.Context, same []site.Gateway, others map[string][]site.Gateway, speaks bool, duration time.Duration) {
	e := s.exchange
	end := time.After(duration)
	urgent, summary := e.Table.Urgent(), (<-chan struct{})(e.urgentSummary)
	var pause, summaryPause <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-end:
			return
		case <-pause:
			urgent, pause = e.Table.Urgent(), nil
		case <-summaryPause:
			summary, summaryPause = e.urgentSummary, nil
		case <-urgent:
			loads := e.Table.UrgentLoads(time.Now())
			m := s.next()
			m.setLoads(loads)
			e.setSaves(m, time.Now(), nil)
			m.Some = true
			e.broadcast(s.conn, same, m)
			e.queueSummary(loads)
			urgent, pause = nil, time.After(minUrgentInterval)
		case <-summary:
			if wait := urgentSummaryInterval - time.Since(s.lastUrgentSummary); speaks && wait > 0 {
				e.signalSummary()
				summary, summaryPause = nil, time.After(wait)
				continue
			}
			s.sendUrgentSummary(others, speaks)
		}
	}
}

// queueSummary adds endpoints to those that the next urgent summary reports.
func (e *Exchange) queueSummary(loads []placement.Load) {
	e.mu.Lock()
	for _, l := range loads {
		e.pendingUrgent[l.Endpoint] = true
	}
	e.mu.Unlock()
	e.signalSummary()
}

func (e *Exchange) signalSummary() {
	select {
	case e.urgentSummary <- struct{}{}:
	default:
	}
}

func (s *sender) sendUrgentSummary(others map[string][]site.Gateway, speaks bool) {
	e := s.exchange
	e.mu.Lock()
	endpoints := slices.Collect(maps.Keys(e.pendingUrgent))
	clear(e.pendingUrgent)
	e.mu.Unlock()
	if !speaks || len(others) == 0 || len(endpoints) == 0 {
		return
	}
	now := time.Now()
	m := s.next()
	m.Domain, m.Some = e.Domain, true
	members := e.memberNames()
	m.setLoads(e.Table.SumLoadsAt(now, endpoints[:min(len(endpoints), maxSummaryLoads)], members))
	e.setSaves(m, now, members)
	e.broadcast(s.conn, draw(others), m)
	s.lastUrgentSummary = now
}

func (e *Exchange) broadcast(conn *net.UDPConn, peers []site.Gateway, m *message) {
	b, err := msgpack.Marshal(m)
	if err != nil {
		event.Error(e.Log, err, event.LoadsNotSent)
		return
	}
	for _, p := range peers {
		// A datagram that cannot be sent counts as lost; the next one replaces it.
		_, _ = conn.WriteToUDPAddrPort(b, p.Address)
	}
}
