package placement

import (
	"cmp"
	"slices"
	"time"
)

// A gateway that speaks for a group of gateways, such as those of a failure domain, reports their loads and caches together. The
// methods below sum up what this gateway and the named others cause or reported themselves.

// SumLoads returns the loads of this gateway and of the named others together, at most limit of them, in the order of Loads.
func (t *Table) SumLoads(now time.Time, limit int, peers map[string]bool) (list []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := map[string]Load{}
	for id, s := range t.states {
		if l := s.load(now, id); l.matters() {
			sums[id] = l
		}
	}
	for name := range peers {
		if p, ok := t.peers[name]; ok && now.Sub(p.receivedAt) <= maxPeerLoadAge {
			for id, l := range p.loads {
				sums[id] = sums[id].add(l, now.Sub(p.receivedAt))
			}
		}
	}
	for id, l := range sums {
		if l.Endpoint = id; l.matters() {
			list = append(list, l)
		}
	}
	sortLoads(list)
	return list[:min(limit, len(list))]
}

// SumLoadsAt returns the loads of this gateway and of the named others together at the given endpoints that this gateway knows.
func (t *Table) SumLoadsAt(now time.Time, endpoints []string, peers map[string]bool) (list []Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range endpoints {
		s := t.states[id]
		if s == nil {
			continue
		}
		sum := s.load(now, id)
		for name := range peers {
			if p, ok := t.peers[name]; ok && now.Sub(p.receivedAt) <= maxPeerLoadAge {
				sum = sum.add(p.loads[id], now.Sub(p.receivedAt))
			}
		}
		list = append(list, sum)
	}
	return list
}

// matters reports whether a load is to be reported.
func (l Load) matters() bool {
	return l.InFlight > 0 || l.Pending > 0 || l.Cold > 0 || l.Silent || l.Slowness > 0
}

// add returns the sum of two loads at an endpoint, of which the second was reported some time ago.
func (l Load) add(other Load, ago time.Duration) Load {
	l.InFlight += other.InFlight
	l.Pending += other.Pending
	l.Held += other.Held
	l.Cold = max(l.Cold, other.Cold-ago)
	l.Silent = l.Silent || (other.Silent && ago < silenceReportTime)
	if other.HeardAgo > 0 && (l.HeardAgo == 0 || other.HeardAgo+ago < l.HeardAgo) {
		l.HeardAgo = other.HeardAgo + ago
	}
	if other.Slowness > 0 && other.SlownessAgo+ago < maxPeerLoadAge && (l.Slowness == 0 || other.SlownessAgo+ago < l.SlownessAgo) {
		l.Slowness, l.SlownessAgo = other.Slowness, other.SlownessAgo+ago
	}
	return l
}

func sortLoads(list []Load) {
	slices.SortFunc(list, func(a, b Load) int {
		return cmp.Or(cmp.Compare(min(1, b.Cold), min(1, a.Cold)),
			cmp.Compare(b.Pending, a.Pending), cmp.Compare(b.InFlight, a.InFlight), cmp.Compare(a.Endpoint, b.Endpoint))
	})
}

// GroupCaches returns what is cached at the endpoints whose caches this gateway or one of the named others follows, at most maxParts
// parts in all, and first the endpoints that were returned longest ago. An endpoint whose parts do not all fit is left out, since a
// part that is missing from a report counts as not cached.
func (t *Table) GroupCaches(now time.Time, maxParts int, peers map[string]bool) (list []CachedParts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, s := range t.states {
		if s.cache.fresh(now) && (s.cache.local || peers[s.cache.source]) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(t.states[a].cacheReturned.Compare(t.states[b].cacheReturned), cmp.Compare(a, b))
	})
	for _, id := range ids {
		s := t.states[id]
		if len(s.cache.parts) > maxParts {
			continue
		}
		maxParts -= len(s.cache.parts)
		s.cacheReturned = now
		list = append(list, CachedParts{Endpoint: id, Parts: s.cache.parts})
	}
	return list
}
