package retention

import "time"

// Costs are what a transfer and a computation cost at one endpoint at one time. Weights of 0 count as 1.
type Costs struct {
	// PrefillTokensPerSecond is the rate at which the engine computes prompt tokens.
	PrefillTokensPerSecond float64
	// LinkBytesPerSecond is the capacity of the store's link, QueuedBytes what waits for it.
	LinkBytesPerSecond float64
	QueuedBytes        int64
	// BytesPerToken is the size of the cache of one token.
	BytesPerToken int64

	FirstTokenWeight float64
	RecomputeWeight  float64
	LinkWeight       float64
}

// FetchTime returns the time until tokens came over the link. Without a link it is the longest duration.
func (c Costs) FetchTime(tokens int) time.Duration {
	return seconds(float64(c.QueuedBytes+int64(tokens)*c.BytesPerToken), c.LinkBytesPerSecond)
}

// RecomputeTime returns the time that the engine needs to compute tokens.
func (c Costs) RecomputeTime(tokens int) time.Duration {
	return seconds(float64(tokens), c.PrefillTokensPerSecond)
}

// othersWeight is what a second of computing costs the prompts that wait for the same engine, in seconds of their first
// tokens. A transfer delays only its own prompt. At planned rates a block takes about as long either way, and without this
// weight a site that weighs first tokens most never fetched.
const othersWeight = 2

// ShouldFetch reports whether fetching the cache of tokens costs less than computing it. A second of fetching delays the
// first token and uses the link; a second of computing delays the first token, holds up others and repeats work.
func (c Costs) ShouldFetch(tokens int) bool {
	if tokens <= 0 || c.LinkBytesPerSecond <= 0 {
		return false
	}
	first := weight(c.FirstTokenWeight)
	fetch := (first + weight(c.LinkWeight)) * c.FetchTime(tokens).Seconds()
	recompute := ((1+othersWeight)*first + weight(c.RecomputeWeight)) * c.RecomputeTime(tokens).Seconds()
	return fetch < recompute
}

func seconds(amount, perSecond float64) time.Duration {
	const longest = time.Duration(1<<63 - 1)
	if perSecond <= 0 {
		return longest
	}
	s := amount / perSecond
	if s >= longest.Seconds() {
		return longest
	}
	return time.Duration(s * float64(time.Second))
}

func weight(w float64) float64 {
	if w == 0 {
		return 1
	}
	return w
}
