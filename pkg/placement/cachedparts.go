package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// LongPart is the length in tokens from which gateways report to each other at which endpoints a part is cached. At defaultPrefillRate,
// shorter parts are prefilled within 35 ms.
const LongPart = 1024

// maxCacheReportAge is the age from which a report of an endpoint's cache is ignored. It covers the longest time between the responses to
// two consecutive polls of the endpoint's cache events, if neither poll fails.
const maxCacheReportAge = 2500 * time.Millisecond

// Part is a part of a prompt that an endpoint has cached or may have cached.
type Part struct {
	Key    uint64
	Tokens int
}

// PartKey returns the cache key of the part with the given ID within a scope, which is the text of a tiering.Scope.
func PartKey(scope, id string) uint64 { return xxhash.Sum64String(scope + "\n" + id) }

// CachedParts lists the long parts that an endpoint has cached, as reported by the gateway that follows its cache.
type CachedParts struct {
	Endpoint string
	Parts    []Part
}

// cacheReport is the last report of the long parts that an endpoint has cached. It is local if this gateway follows the cache itself.
type cacheReport struct {
	receivedAt time.Time
	local      bool
	// source is the gateway or group of gateways that reported it, empty if it is local.
	source string
	parts  []Part
}

func (r cacheReport) fresh(now time.Time) bool {
	return !r.receivedAt.IsZero() && now.Sub(r.receivedAt) < maxCacheReportAge
}

// SetLocalCache replaces the record of the long parts that an endpoint has cached. It must be called only for endpoints whose
// cache this gateway follows itself.
func (t *Table) SetLocalCache(now time.Time, endpoint string, parts []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[endpoint]; s != nil {
		s.cache = cacheReport{receivedAt: now, local: true, parts: parts}
	}
}

// LocalCaches returns what is cached at the endpoints whose caches this gateway follows itself, at most maxParts parts in all. An endpoint
// whose parts do not all fit is left out, since a part that is missing from a report counts as not cached.
func (t *Table) LocalCaches(now time.Time, maxParts int) (list []CachedParts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.states {
		if s.cache.local && s.cache.fresh(now) && len(s.cache.parts) <= maxParts {
			maxParts -= len(s.cache.parts)
			list = append(list, CachedParts{Endpoint: id, Parts: s.cache.parts})
		}
	}
	return list
}

// SetPeerCaches records what another gateway or group of gateways reports about the endpoints whose caches it follows. A recent local
// report takes precedence.
func (t *Table) SetPeerCaches(now time.Time, peer string, list []CachedParts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range list {
		if s := t.states[c.Endpoint]; s != nil && !(s.cache.local && s.cache.fresh(now)) {
			s.cache = cacheReport{receivedAt: now, source: peer, parts: c.Parts}
		}
	}
}

// cachedTokens returns how many of the leading tokens of a prompt an endpoint has cached, up to the last long part that is cached with
// all long parts before it. known is false if there is no recent report or if the prompt has no long part.
func (s *endpointState) cachedTokens(now time.Time, parts []Part) (tokens int, known bool) {
	if !s.cache.fresh(now) {
		return 0, false
	}
	end := 0
	for _, p := range parts {
		end += p.Tokens
		if p.Tokens < LongPart {
			continue
		}
		known = true
		cached := s.cache.tokens(p.Key)
		if cached < p.Tokens-partRounding {
			break
		}
		tokens = end
	}
	return tokens, known
}

// partRounding is the number of tokens by which a cached part may be shorter than the whole part, since memory is allocated by blocks.
const partRounding = 64

func (r cacheReport) tokens(key uint64) int {
	for _, p := range r.parts {
		if p.Key == key {
			return p.Tokens
		}
	}
	return 0
}
