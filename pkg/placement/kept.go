package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// LongPart is the length from which processes tell each other where a part is kept, in tokens. Shorter ones are read within some
// milliseconds.
const LongPart = 1024

// keptAge is the age at which the word on what an endpoint keeps counts for nothing. It covers the longest time between two
// answers to the process that follows the endpoint.
const keptAge = 2500 * time.Millisecond

// Part is a part of a prompt that an endpoint keeps or may keep.
type Part struct {
	Key    uint64
	Tokens int
}

// PartKey returns the key of a part within a scope.
func PartKey(scope, id string) uint64 { return xxhash.Sum64String(scope + "\n" + id) }

// Kept is the long parts that an endpoint keeps, by the word of the process that follows it.
type Kept struct {
	Endpoint string
	Parts    []Part
}

// kept is the last word on one endpoint.
type kept struct {
	at    time.Time
	own   bool
	parts []Part
}

func (k kept) known(now time.Time) bool { return !k.at.IsZero() && now.Sub(k.at) < keptAge }

// Keeps replaces what is known of the long parts that an endpoint keeps, which this process follows itself.
func (t *Table) Keeps(now time.Time, endpoint string, parts []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[endpoint]; s != nil {
		s.kept = kept{at: now, own: true, parts: parts}
	}
}

// Kept returns what the endpoints that this process follows itself keep, at most limit parts in all. An endpoint that does not fit is
// left out whole, since a part that is not told counts as not kept.
func (t *Table) Kept(now time.Time, limit int) (list []Kept) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.states {
		if s.kept.own && s.kept.known(now) && len(s.kept.parts) <= limit {
			limit -= len(s.kept.parts)
			list = append(list, Kept{Endpoint: id, Parts: s.kept.parts})
		}
	}
	return list
}

// PeerKept takes the word of another process on the endpoints that it follows.
func (t *Table) PeerKept(now time.Time, list []Kept) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range list {
		if s := t.states[k.Endpoint]; s != nil && !(s.kept.own && s.kept.known(now)) {
			s.kept = kept{at: now, parts: k.Parts}
		}
	}
}

// keeps returns how many of the first tokens of a prompt an endpoint keeps, up to the last long part that it keeps with all long
// parts before it. It is false if that is not known, or if no part is long.
func (s *state) keeps(now time.Time, parts []Part) (tokens int, known bool) {
	if !s.kept.known(now) {
		return 0, false
	}
	before := 0
	for _, p := range parts {
		before += p.Tokens
		if p.Tokens < LongPart {
			continue
		}
		known = true
		has := s.kept.tokens(p.Key)
		if has < p.Tokens-partRounding {
			break
		}
		tokens = before
	}
	return tokens, known
}

// partRounding is the greatest number of tokens by which a kept part may be shorter than the part, since memory goes by blocks.
const partRounding = 64

func (k kept) tokens(key uint64) int {
	for _, p := range k.parts {
		if p.Key == key {
			return p.Tokens
		}
	}
	return 0
}
