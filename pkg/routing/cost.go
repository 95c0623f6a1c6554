package routing

import (
	"cmp"
	"math"
	"time"

	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// Costs computes the costs of candidates. Durations and weights of 0 get defaults, and so do the fields of Model that are 0: 8,000
// prefill tokens per second, 1,024 tokens per block and 131,072 bytes per token.
type Costs struct {
	Policy settings.Policy
	Model  settings.Model
	// LinkBytesPerSecond is the capacity of the link to a store; 0 means that there is no store.
	LinkBytesPerSecond int64
	// RunTime is the mean time that a run occupies a place in a batch. Default 2 s.
	RunTime time.Duration
	// PriorWait is the expected wait at an endpoint without a report. Default 100 ms.
	PriorWait time.Duration
	// LoadHalfLife is the age at which the weight of a report is one half. Default 2 s, the time between two reports of a busy
	// endpoint at a busy entry in a deployment of 10,000 endpoints.
	LoadHalfLife time.Duration
	// ColdTime is the additional time to first token at a cold endpoint. Default 300 ms.
	ColdTime time.Duration
	// CopyWeight is the total delay in seconds of the first tokens of other prompts for each second of recomputing blocks that are
	// cached elsewhere: the recomputed blocks are copies, which evict as many blocks of other prompts, and these must then be recomputed
	// too and delay further prompts. Default 30. Lower values cause more copies, higher ones longer waits: with one failure domain down,
	// primrose-bench misses its latency target at 8 because there are too many copies and at 60 because the waits are too long.
	CopyWeight float64
	// EngineHalfLife is the time after which half of the blocks have been evicted from the memory of an engine. Default 5 min.
	EngineHalfLife time.Duration
}

func (c *Costs) prefillRate() float64 { return cmp.Or(c.Model.PrefillTokensPerSecond, 8000) }
func (c *Costs) blockTokens() int     { return cmp.Or(c.Model.BlockTokens, 1024) }
func (c *Costs) bytesPerToken() int64 { return cmp.Or(c.Model.BytesPerToken, 131072) }

// Class groups candidates by preference. A candidate of a preferred class comes first, whatever its cost.
type Class uint8

// The classes, the most preferred one first.
const (
	// ClassReady means that the endpoint is expected to accept the request.
	ClassReady Class = iota
	// ClassSpare means that the endpoint is expected to accept the request, but is neither among the first homePlaces of the ring
	// for the prompt's key nor named by the hint table. A copy of the prompt's blocks there would evict the blocks of other prompts.
	ClassSpare
	// ClassFull means that the endpoint is cold and its allowance is used up, so that it will most likely refuse the request.
	ClassFull
	// ClassUnavailable means that the endpoint is down, draining or leaving.
	ClassUnavailable
)

// Candidate is an endpoint that may run a prompt.
type Candidate struct {
	Endpoint      string
	FailureDomain string
	Source        Source
	// Place is the position of the endpoint in the list that the ring gives for the prompt's key, from 0. It is -1 if the endpoint is
	// not in the list or if the prompt has no key.
	Place int
	// Spare is true if the prompt has a key, but the endpoint is neither among the first homePlaces for it nor hinted.
	Spare bool
	// Cached is the expected number of prompt tokens that are cached in the memory of the engine.
	Cached int
	// Observation is the last observation of the endpoint's load.
	Observation Observation
	// BatchLimit is the number of concurrent runs of the endpoint when it is warm. Default 16.
	BatchLimit int
}

// Weighed is a candidate with its cost.
type Weighed struct {
	Candidate
	Class Class
	// Wait is the expected time before the engine starts on the prompt, Cold the additional time at a cold endpoint, Fetch the time on
	// the store link, Prefill the engine time for all tokens that are neither cached nor fetched, and Recompute the part of Prefill for
	// tokens that are cached somewhere else.
	Wait, Cold, Fetch, Prefill, Recompute time.Duration
	// Cost is in weighted seconds.
	Cost float64
}

// FirstToken returns the expected time to the first token.
func (w *Weighed) FirstToken() time.Duration { return w.Wait + w.Cold + w.Fetch + w.Prefill }

// Weigh returns the cost of a candidate for a prompt with the given number of tokens, of which the first cachedAnywhere ones are cached
// somewhere and the first stored ones are in a store.
func (c *Costs) Weigh(now time.Time, candidate Candidate, tokens, cachedAnywhere, stored int) Weighed {
	w := Weighed{Candidate: candidate}
	o := &candidate.Observation
	w.Wait, w.Class = c.wait(now, &candidate)
	if candidate.Spare && w.Class == ClassReady {
		w.Class = ClassSpare
	}
	if o.Load.State == wire.StateCold {
		w.Cold = cmp.Or(c.ColdTime, 300*time.Millisecond)
	}
	cached := min(candidate.Cached, tokens)
	fetched := 0
	if fetchable := min(stored, tokens) - cached; fetchable > 0 && c.LinkBytesPerSecond > 0 {
		linkTime := float64(fetchable) * float64(c.bytesPerToken()) / float64(c.LinkBytesPerSecond)
		if linkTime < float64(fetchable)/c.prefillRate() {
			fetched = fetchable
			w.Fetch = seconds(linkTime)
		}
	}
	w.Prefill = seconds(float64(tokens-cached-fetched) / c.prefillRate())
	w.Recompute = seconds(float64(max(0, min(cachedAnywhere, tokens)-cached-fetched)) / c.prefillRate())
	copyDelay := cmp.Or(c.CopyWeight, 30) * w.Recompute.Seconds()
	w.Cost = weightOrOne(c.Policy.FirstTokenWeight)*(w.FirstToken().Seconds()+copyDelay) +
		weightOrOne(c.Policy.RecomputeWeight)*w.Recompute.Seconds() + weightOrOne(c.Policy.LinkWeight)*w.Fetch.Seconds()
	return w
}

// wait returns the expected time before the engine starts on a new request, and the class that follows from the reported load.
func (c *Costs) wait(now time.Time, candidate *Candidate) (time.Duration, Class) {
	o := &candidate.Observation
	prior := cmp.Or(c.PriorWait, 100*time.Millisecond).Seconds()
	unreported := float64(o.UnreportedTokens) / c.prefillRate()
	if o.At.IsZero() {
		return seconds(prior + unreported), ClassReady
	}
	limit := o.Load.Allowance
	if limit <= 0 {
		limit = cmp.Or(candidate.BatchLimit, 16)
	}
	class := ClassReady
	excess := o.Load.Running + o.Load.Queued + o.Unreported + 1 - limit
	switch o.Load.State {
	case wire.StateCold:
		if excess > 0 {
			class = ClassFull
		}
	case wire.StateDown, wire.StateDraining, wire.StateLeaving:
		class = ClassUnavailable
	}
	reported := float64(o.Load.QueuedTokens) / c.prefillRate()
	if excess > 0 {
		reported += float64(excess) / float64(limit) * cmp.Or(c.RunTime, 2*time.Second).Seconds()
	}
	reportWeight := decay(now.Sub(o.At), cmp.Or(c.LoadHalfLife, 2*time.Second))
	return seconds(reportWeight*reported + (1-reportWeight)*prior + unreported), class
}

// decay returns 1 at age 0, one half at the half-life, one quarter at twice the half-life and so on.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, age.Seconds()) / halfLife.Seconds())
}

func weightOrOne(w float64) float64 { return cmp.Or(w, 1) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
