package routing

import (
	"cmp"
	"slices"
	"time"

	"primrosecourse/pkg/prefix"
	"primrosecourse/pkg/ring"
)

// Source is why an endpoint is a candidate.
type Source uint8

// The sources of candidates.
const (
	// SourceRing means that the ring lists the endpoint for the placement key.
	SourceRing Source = iota
	// SourceHint means that the hint table names the endpoint for the longest known prefix.
	SourceHint
	// SourceRandom means that the endpoint was drawn at random, or that the ring lists it for the random key of a prompt without a key.
	SourceRandom
)

// Reason is why the first candidate was chosen.
type Reason uint8

// The reasons of a choice.
const (
	// ReasonNoCandidate means that no endpoint is left to try.
	ReasonNoCandidate Reason = iota
	// ReasonOnlyCandidate means that there was no other candidate.
	ReasonOnlyCandidate
	// ReasonPlacement means that the endpoint is the first of the ring for the placement key.
	ReasonPlacement
	// ReasonPrefix means that the hint table names the endpoint for the longest known prefix.
	ReasonPrefix
	// ReasonLoad means that another candidate has more of the prompt cached, but its wait is longer or it would refuse the request.
	ReasonLoad
	// ReasonCost means that the endpoint has the lowest cost of the most preferred class, and that no other reason applies.
	ReasonCost
	// ReasonLastResort means that no candidate is expected to accept the request.
	ReasonLastResort
)

// randomCandidates is the number of endpoints drawn at random. They find idle endpoints that the ring does not list; two draws are
// enough to keep the longest queue short.
const randomCandidates = 2

// homePlaces is the number of ring places among which a prompt with a key is placed by load. With two, the blocks of a
// conversation (prompts that each extend the one before) are cached at no more than two engines, unless neither is ready. If all
// places and the random endpoints took part, a peak of load would spread each conversation over most engines, which would then evict
// the blocks of other conversations and spend all their time on recomputing them.
const homePlaces = 2

// Prompt is the input of a routing decision.
type Prompt struct {
	Key    Key
	Chain  []prefix.ID
	Tokens int
	// Random is the random number from which the random candidates are drawn, and the ring candidates of a prompt without a key.
	Random uint64
}

// Decision is the result of Route.
type Decision struct {
	// Weighed holds the candidates in order of preference.
	Weighed []Weighed
	Reason  Reason
	Key     Key
	// Match is the longest known prefix in the hint table.
	Match Match
}

// Router computes routing decisions among the endpoints of one model. Ring and Loads must be set; the other fields are optional.
type Router struct {
	Ring     *ring.Ring
	Loads    *Loads
	Hints    *Hints
	Affinity *Affinity
	Costs    Costs
	// BatchLimit returns the batch limit of the endpoint with the given ring index. Default 16 for all.
	BatchLimit func(i int) int
}

// Route returns the candidates for a prompt with their costs, without the endpoints in tried.
func (r *Router) Route(now time.Time, p Prompt, tried []string) (d Decision) {
	d.Key = p.Key
	if r.Hints != nil {
		d.Match = r.Hints.Longest(p.Chain)
	}
	var weighed [16]Weighed
	list := r.candidates(weighed[:0], now, &p, d.Match, tried)
	block := r.Costs.blockTokens()
	stored := d.Match.Blocks * block
	cachedAnywhere := stored
	for i := range list {
		cachedAnywhere = max(cachedAnywhere, list[i].Cached)
	}
	for i := range list {
		list[i] = r.Costs.Weigh(now, list[i].Candidate, p.Tokens, cachedAnywhere, stored)
	}
	// The sort is stable, so that candidates of equal cost keep the order of the ring, which is the same at every entry.
	slices.SortStableFunc(list, func(a, b Weighed) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Cost, b.Cost))
	})
	d.Weighed = slices.Clone(list)
	d.Reason = reason(list)
	return d
}

// candidates appends the candidates without their costs to list.
func (r *Router) candidates(list []Weighed, now time.Time, p *Prompt, match Match, tried []string) []Weighed {
	key := p.Key.Hash
	if p.Key.Source == KeyNone {
		key = p.Random
	}
	n := cmp.Or(r.Costs.Policy.Candidates, 4)
	var buf [12]int
	fullTokens := len(p.Chain) * r.Costs.blockTokens()
	for place, i := range r.Ring.Append(buf[:0], key, now, n+len(tried)) {
		if len(list) == n {
			break
		}
		c := Candidate{Source: SourceRing, Place: place}
		if p.Key.Source == KeyNone {
			c.Source, c.Place = SourceRandom, -1
		}
		list = r.add(list, i, c, p.Key.Source, fullTokens, match, now, tried)
	}
	if match.Blocks > 0 {
		if i, ok := r.Ring.Find(match.Endpoint); ok {
			list = r.add(list, i, Candidate{Source: SourceHint, Place: -1}, p.Key.Source, fullTokens, match, now, tried)
		}
	}
	for draw := range randomCandidates {
		if size := uint64(r.Ring.Len()); size > 0 {
			i := int((p.Random >> (32 * draw) & 0xffffffff) * size >> 32)
			if !r.excludedByRamp(i, now, p.Random) {
				list = r.add(list, i, Candidate{Source: SourceRandom, Place: -1}, p.Key.Source, fullTokens, match, now, tried)
			}
		}
	}
	return list
}

// excludedByRamp reports whether a prompt belongs to the share of prompts that the returning failure domain of endpoint i does not take
// yet. The endpoint is then no random candidate.
func (r *Router) excludedByRamp(i int, now time.Time, random uint64) bool {
	share := r.Ring.Share(i, now)
	// The factor is 2^64 divided by the golden ratio. Without it, the test would depend on
	// the same high bits of random as the second draw.
	return share < 1 && float64(random*0x9e3779b97f4a7c15>>11)/(1<<53) >= share
}

// add appends endpoint i of the ring to list unless it was tried or is in list already.
func (r *Router) add(list []Weighed, i int, c Candidate, keySource KeySource, fullTokens int, match Match, now time.Time,
	tried []string,
) []Weighed {
	e := r.Ring.Endpoint(i)
	if slices.Contains(tried, e.Name) ||
		slices.ContainsFunc(list, func(w Weighed) bool { return w.Endpoint == e.Name }) {
		return list
	}
	c.Endpoint, c.FailureDomain = e.Name, e.FailureDomain
	c.Spare = keySource != KeyNone && (c.Place < 0 || c.Place >= homePlaces)
	if match.Blocks > 0 && match.Endpoint == e.Name {
		c.Source, c.Spare = SourceHint, false
		hinted := float64(match.Blocks * r.Costs.blockTokens())
		c.Cached = int(hinted * decay(now.Sub(match.At), cmp.Or(r.Costs.EngineHalfLife, 5*time.Minute)))
	}
	c.Cached = max(c.Cached, int(float64(fullTokens)*r.Affinity.Share(c.Place)))
	c.Observation = r.Loads.Get(e.Name)
	if r.BatchLimit != nil {
		c.BatchLimit = r.BatchLimit(i)
	}
	return append(list, Weighed{Candidate: c})
}

// reason returns why the first of the sorted candidates was chosen.
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
