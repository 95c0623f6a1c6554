package retention

import "time"

// Costs describe what fetching and prefilling cache blocks costs at one endpoint at one time. Weights of 0 count as 1.
type Costs struct {
	// PrefillTokensPerSecond is the rate at which the engine prefills prompt tokens.
	PrefillTokensPerSecond float64
	// LinkBytesPerSecond is the rate of the store's link, 0 or less if there is no link. QueuedBytes is the number of bytes
	// that wait for transfer over the link.
	LinkBytesPerSecond float64
	QueuedBytes        int64
	// BytesPerToken is the size of the cache of one token.
	BytesPerToken int64

	// FirstTokenWeight is the weight of a second of delay of a first token, RecomputeWeight that of a second of repeated
	// prefill and LinkWeight that of a second of link use.
	FirstTokenWeight float64
	RecomputeWeight  float64
	LinkWeight       float64
}

// FetchTime returns the time until the cache of tokens has been transferred over the link, including the time for the bytes
// queued before. Without a link it returns the longest duration.
func (c Costs) FetchTime(tokens int) time.Duration {
	return timeFor(float64(c.QueuedBytes+int64(tokens)*c.BytesPerToken), c.LinkBytesPerSecond)
}

// RecomputeTime returns the time that the engine needs to prefill tokens.
func (c Costs) RecomputeTime(tokens int) time.Duration {
	return timeFor(float64(tokens), c.PrefillTokensPerSecond)
}

// queueDelayWeight is the delay that a second of prefill adds to the first tokens of the prompts that wait for the same
// engine, in seconds. A transfer delays only its own prompt. At the planned rates, fetching a block takes about as long as
// prefilling it, and without this weight a site with a high FirstTokenWeight would never fetch blocks.
const queueDelayWeight = 2

// ShouldFetch reports whether fetching the cache of tokens costs less than prefilling it. A second of fetching delays the
// first token and uses the link. A second of prefill delays the first token, delays other prompts and repeats work.
func (c Costs) ShouldFetch(tokens int) bool {
	if tokens <= 0 || c.LinkBytesPerSecond <= 0 {
		return false
	}
	firstTokenWeight := weightOrOne(c.FirstTokenWeight)
	fetch := (firstTokenWeight + weightOrOne(c.LinkWeight)) * c.FetchTime(tokens).Seconds()
	recompute := ((1+queueDelayWeight)*firstTokenWeight + weightOrOne(c.RecomputeWeight)) * c.RecomputeTime(tokens).Seconds()
	return fetch < recompute
}

// timeFor returns the time for an amount of work at a rate, limited to the longest duration. It returns the longest duration
// for a rate of 0 or less.
func timeFor(amount, perSecond float64) time.Duration {
	const longest = time.Duration(1<<63 - 1)
	if perSecond <= 0 {
		return longest
	}
	seconds := amount / perSecond
	if seconds >= longest.Seconds() {
		return longest
	}
	return time.Duration(seconds * float64(time.Second))
}

// weightOrOne returns w, or 1 if w is 0.
func weightOrOne(w float64) float64 {
	if w == 0 {
		return 1
	}
	return w
}
