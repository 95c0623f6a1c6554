package routing

import (
	"cmp"
	"slices"
	"time"

	"primrosecourse/pkg/prefix"
	"primrosecourse/pkg/ring"
)

// Source tells why an endpoint is a candidate.
type Source uint8

// The sources of candidates.
const (
	// SourceRing means that the ring names it for the placement key.
	SourceRing Source = iota
	// SourceHint means that the hint table names it for the longest known prefix.
	SourceHint
	// SourceRandom means that it was drawn at random.
	SourceRandom
)

// Reason tells why the first candidate was chosen.
type Reason uint8

// The reasons of a choice.
const (
	// ReasonNoCandidate means that there is no endpoint left to try.
	ReasonNoCandidate Reason = iota
	// ReasonOnlyCandidate means that there was no other.
	ReasonOnlyCandidate
	// ReasonPlacement means that it is the first of the ring for the placement key.
	ReasonPlacement
	// ReasonPrefix means that it holds the longest known prefix.
	ReasonPrefix
	// ReasonLoad means that another candidate holds more of the prompt and would take longer.
	ReasonLoad
	// ReasonCost means that no single term decided.
	ReasonCost
	// ReasonLastResort means that no candidate is expected to take the request.
	ReasonLastResort
)

// randomCandidates is the number of endpoints drawn at random. They find idle endpoints that the ring does not name, and
// two suffice to keep the longest queue short.
const randomCandidates = 2

// homePlaces is the number of places of the ring among which load decides for a prompt with a key. With two, a story is kept
// by at most two engines. With all places and the random endpoints, a busy moment spread each story over most engines; they
// then evicted each other's stories and spent all their time on computing them again.
const homePlaces = 2

// Prompt is what routing needs to know of a request.
type Prompt struct {
	Key    Key
	Chain  []prefix.ID
	Tokens int
	// Random draws the random candidates, and the ring candidates of a prompt without a key.
	Random uint64
}

// Decision is the outcome of a routing decision.
type Decision struct {
	// Weighed holds the candidates in order of preference.
	Weighed []Weighed
	Reason  Reason
	Key     Key
	// Match is the hint that was found.
	Match Match
}

// Router weighs the endpoints of one model. Ring and Loads must be set; the others may be left out.
type Router struct {
	Ring     *ring.Ring
	Loads    *Loads
	Hints    *Hints
	Affinity *Affinity
	Costs    Costs
	// BatchLimit returns the batch limit of the endpoint with the given index of the ring. Default 16 for all.
	BatchLimit func(i int) int
}

// Route weighs the candidates of a prompt, without the endpoints in tried.
func (r *Router) Route(now time.Time, p Prompt, tried []string) (d Decision) {
	d.Key = p.Key
	if r.Hints != nil {
		d.Match = r.Hints.Longest(p.Chain)
	}
	var weighed [16]Weighed
	list := r.candidates(weighed[:0], now, &p, d.Match, tried)
	block := r.Costs.blockTokens()
	stored := d.Match.Blocks * block
	held := stored
	for i := range list {
		held = max(held, list[i].Cached)
	}
	for i := range list {
		list[i] = r.Costs.Weigh(now, list[i].Candidate, p.Tokens, held, stored)
	}
	// The sort is stable, so that equal costs keep the order of the ring, which is the same at every entry.
	slices.SortStableFunc(list, func(a, b Weighed) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Cost, b.Cost))
	})
	d.Weighed = slices.Clone(list)
	d.Reason = reason(list)
	return d
}

// candidates appends the candidates without their costs.
func (r *Router) candidates(list []Weighed, now time.Time, p *Prompt, match Match, tried []string) []Weighed {
	key := p.Key.Hash
	if p.Key.Source == KeyNone {
		key = p.Random
	}
	n := cmp.Or(r.Costs.Policy.Candidates, 4)
	var buf [12]int
	full := len(p.Chain) * r.Costs.blockTokens()
	for place, i := range r.Ring.Append(buf[:0], key, now, n+len(tried)) {
		if len(list) == n {
			break
		}
		c := Candidate{Source: SourceRing, Place: place}
		if p.Key.Source == KeyNone {
			c.Source, c.Place = SourceRandom, -1
		}
		list = r.add(list, i, c, p.Key.Source, full, match, now, tried)
	}
	if match.Blocks > 0 {
		if i, ok := r.Ring.Find(match.Endpoint); ok {
			list = r.add(list, i, Candidate{Source: SourceHint, Place: -1}, p.Key.Source, full, match, now, tried)
		}
	}
	for k := range randomCandidates {
		if n := uint64(r.Ring.Len()); n > 0 {
			i := int((p.Random >> (32 * k) & 0xffffffff) * n >> 32)
			if !r.rampedOut(i, now, p.Random) {
				list = r.add(list, i, Candidate{Source: SourceRandom, Place: -1}, p.Key.Source, full, match, now, tried)
			}
		}
	}
	return list
}

// rampedOut leaves a returning failure domain out of the random candidates for the share of prompts that it does not take.
func (r *Router) rampedOut(i int, now time.Time, random uint64) bool {
	share := r.Ring.Share(i, now)
	return share < 1 && float64(random*0x9e3779b97f4a7c15>>11)/(1<<53) >= share
}

// add appends endpoint i of the ring unless it was tried or is listed.
func (r *Router) add(list []Weighed, i int, c Candidate, key KeySource, full int, match Match, now time.Time,
	tried []string,
) []Weighed {
	e := r.Ring.Endpoint(i)
	if slices.Contains(tried, e.Name) ||
		slices.ContainsFunc(list, func(w Weighed) bool { return w.Endpoint == e.Name }) {
		return list
	}
	c.Endpoint, c.FailureDomain = e.Name, e.FailureDomain
	c.Spare = key != KeyNone && (c.Place < 0 || c.Place >= homePlaces)
	if match.Blocks > 0 && match.Endpoint == e.Name {
		c.Source, c.Spare = SourceHint, false
		held := float64(match.Blocks * r.Costs.blockTokens())
		c.Cached = int(held * half(now.Sub(match.At), cmp.Or(r.Costs.EngineHalfLife, 5*time.Minute)))
	}
	c.Cached = max(c.Cached, int(float64(full)*r.Affinity.Share(c.Place)))
	c.Observation = r.Loads.Get(e.Name)
	if r.BatchLimit != nil {
		c.BatchLimit = r.BatchLimit(i)
	}
	return append(list, Weighed{Candidate: c})
}

// reason explains the first of the sorted candidates.
func reason(list []Weighed) Reason {
	switch {
	case len(list) == 0:
		return ReasonNoCandidate
	case list[0].Class > ClassSpare:
		return ReasonLastResort
	case len(list) == 1:
		return ReasonOnlyCandidate
	}
	first := &list[0]
	for i := range list[1:] {
		if other := &list[i+1]; other.Cached > first.Cached {
			if other.Class > ClassSpare || other.Wait+other.Cold > first.Wait+first.Cold {
				return ReasonLoad
			}
			return ReasonCost
		}
	}
	switch {
	case first.Source == SourceHint:
		return ReasonPrefix
	case first.Place == 0:
		return ReasonPlacement
	}
	return ReasonCost
}
