// Package routing chooses the endpoint for a prompt among a short list of candidates.
//
// The placement key of a prompt is the caller's prompt_cache_key, else the chained identity of the first cache block after the
// part that all prompts of the organisation share, else that of its last full block, else none. The candidates are the first
// endpoints of the ring for the key, the endpoint that the hint table names for the longest known prefix, and two random
// endpoints. The cost of a candidate is:
//
//	FirstTokenWeight * (expected time to first token + CopyWeight * recompute seconds) +
//	RecomputeWeight * recompute seconds + LinkWeight * link seconds
//
// A prompt with a key goes to one of the first two endpoints of the ring or to the hinted one while any of them is ready; the
// other candidates are spare.
//
// The expected time to first token is the sum of the expected wait, the additional time at a cold endpoint, the time to fetch
// cached blocks from a store where that is faster than prefilling them, and the time to prefill the rest. The weight of a load report
// halves with each LoadHalfLife of its age: after one LoadHalfLife, half of the expected wait comes from the report and half
// from PriorWait. The prefill of requests sent since the report is added in full.
//
// The agent of an endpoint decides on admission, so a wrong estimate costs an attempt but never gives a wrong answer.
// The package does no input or output and reads no clock. Hints, Loads and Affinity are safe for concurrent use, and so is a Router
// as long as its fields are not changed.
//
// # Usage
//
//	rings := routing.Rings(deployment, "Region1", nil)
//	r := &routing.Router{Ring: rings.Models["Model"], Hints: hints, Loads: loads, Affinity: affinity, Costs: costs}
//	decision := r.Route(now, routing.Prompt{Key: key, Chain: chain, Tokens: len(tokens), Random: rand.Uint64()}, nil)
//	for _, w := range decision.Weighed { ... } // in order of preference
package routing
