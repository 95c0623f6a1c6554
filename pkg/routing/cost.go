package routing

import (
	"cmp"
	"math"
	"time"

	"primrosecourse/pkg/settings"
	"primrosecourse/pkg/wire"
)

// Costs turns what is known of a candidate into a cost. Only Model needs to be set.
type Costs struct {
	Policy settings.Policy
	Model  settings.Model
	// LinkBytesPerSecond is the capacity of the store link; 0 means that there is no store.
	LinkBytesPerSecond int64
	// RunTime is the mean time that a run keeps its place in a batch. Default 2 s.
	RunTime time.Duration
	// PriorWait is the expected wait at an endpoint without a report. Default 100 ms.
	PriorWait time.Duration
	// LoadHalfLife is the age at which a report counts half. Default 2 s, the time between two reports of a busy endpoint
	// at a busy entry at full size.
	LoadHalfLife time.Duration
	// ColdTime is the extra time of a first token at a cold endpoint. Default 300 ms.
	ColdTime time.Duration
	// CopyWeight is what a second of recomputing costs the other prompts of the fleet, in seconds of their first tokens: the
	// copy pushes out as many blocks of others, which are then computed again in front of others still. Default 30. With a
	// failure domain out, 8 missed the latency target of primrose-bench for many copies, and 60 for long waits.
	CopyWeight float64
	// EngineHalfLife is the time after which half of the blocks left the memory of an engine. Default 5 min.
	EngineHalfLife time.Duration
}

func (c *Costs) prefillRate() float64 { return cmp.Or(c.Model.PrefillTokensPerSecond, 8000) }
func (c *Costs) blockTokens() int     { return cmp.Or(c.Model.BlockTokens, 1024) }
func (c *Costs) bytesPerToken() int64 { return cmp.Or(c.Model.BytesPerToken, 131072) }

// Class separates candidates before their cost is compared.
type Class uint8

// The classes, the preferred one first.
const (
	// ClassReady means that the endpoint should take the request.
	ClassReady Class = iota
	// ClassSpare means an endpoint that should take the request, but is neither among the first homePlaces of the ring for
	// the prompt's key nor known to hold a part of it. A copy of the prompt's blocks there would push out those of others.
	ClassSpare
	// ClassFull means a cold endpoint whose allowance is used up; it will most likely refuse.
	ClassFull
	// ClassUnavailable means that the endpoint is down, draining or leaving.
	ClassUnavailable
)

// Candidate is an endpoint that may run a prompt.
type Candidate struct {
	Endpoint      string
	FailureDomain string
	Source        Source
	// Place is the position on the ring for the prompt's key, -1 if it is not among the first.
	Place int
	// Spare tells that the prompt has a key and that this is not a place for it.
	Spare bool
	// Cached is the expected number of prompt tokens in the memory of the engine.
	Cached int
	// Observation is what is known of its load.
	Observation Observation
	// BatchLimit is the number of runs at a time when it is warm. Default 16.
	BatchLimit int
}

// Weighed is a candidate with its cost.
type Weighed struct {
	Candidate
	Class Class
	// Wait is the expected time before the engine starts, Cold the allowance for a cold endpoint, Fetch the link time,
	// Prefill the engine time for all tokens that are neither cached nor fetched, and Recompute the part of Prefill for
	// tokens that some cache holds.
	Wait, Cold, Fetch, Prefill, Recompute time.Duration
	// Cost is in weighted seconds.
	Cost float64
}

// FirstToken is the expected time to the first token.
func (w *Weighed) FirstToken() time.Duration { return w.Wait + w.Cold + w.Fetch + w.Prefill }

// Weigh returns the cost of a candidate for a prompt of the given number of tokens, of which the first held ones are in some
// cache and the first stored ones in a store.
func (c *Costs) Weigh(now time.Time, candidate Candidate, tokens, held, stored int) Weighed {
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
	if more := min(stored, tokens) - cached; more > 0 && c.LinkBytesPerSecond > 0 {
		link := float64(more) * float64(c.bytesPerToken()) / float64(c.LinkBytesPerSecond)
		if link < float64(more)/c.prefillRate() {
			fetched = more
			w.Fetch = seconds(link)
		}
	}
	w.Prefill = seconds(float64(tokens-cached-fetched) / c.prefillRate())
	w.Recompute = seconds(float64(max(0, min(held, tokens)-cached-fetched)) / c.prefillRate())
	others := cmp.Or(c.CopyWeight, 30) * w.Recompute.Seconds()
	w.Cost = weight(c.Policy.FirstTokenWeight)*(w.FirstToken().Seconds()+others) +
		weight(c.Policy.RecomputeWeight)*w.Recompute.Seconds() + weight(c.Policy.LinkWeight)*w.Fetch.Seconds()
	return w
}

// wait returns the expected time before the engine starts on a new request.
func (c *Costs) wait(now time.Time, candidate *Candidate) (time.Duration, Class) {
	o := &candidate.Observation
	prior := cmp.Or(c.PriorWait, 100*time.Millisecond).Seconds()
	sent := float64(o.UnreportedTokens) / c.prefillRate()
	if o.At.IsZero() {
		return seconds(prior + sent), ClassReady
	}
	limit := o.Load.Allowance
	if limit <= 0 {
		limit = cmp.Or(candidate.BatchLimit, 16)
	}
	class := ClassReady
	over := o.Load.Running + o.Load.Queued + o.Unreported + 1 - limit
	switch o.Load.State {
	case wire.StateCold:
		if over > 0 {
			class = ClassFull
		}
	case wire.StateDown, wire.StateDraining, wire.StateLeaving:
		class = ClassUnavailable
	}
	reported := float64(o.Load.QueuedTokens) / c.prefillRate()
	if over > 0 {
		reported += float64(over) / float64(limit) * cmp.Or(c.RunTime, 2*time.Second).Seconds()
	}
	fresh := half(now.Sub(o.At), cmp.Or(c.LoadHalfLife, 2*time.Second))
	return seconds(fresh*reported + (1-fresh)*prior + sent), class
}

// half returns 1 at age 0, a half at the half-life and so on.
func half(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, age.Seconds()) / halfLife.Seconds())
}

func weight(w float64) float64 { return cmp.Or(w, 1) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
