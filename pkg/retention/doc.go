// Package retention decides which cache blocks move between an engine and a store.
//
// A block is worth fetching when the store's link delivers it for less than the engine needs to compute it again, both
// weighed by the deployment's policy. A block is worth exporting when it was used at least twice, or when prompts come
// back later than the engine keeps unused blocks: it would be gone by then. The gap before the first return and the
// age at eviction are learned from what the agent sees, as exponentially weighted means.
//
// The package moves nothing, and it does not choose the store.
//
// # Usage
//
//	costs := retention.Costs{PrefillTokensPerSecond: 8000, LinkBytesPerSecond: 1e9, BytesPerToken: 131072}
//	if costs.ShouldFetch(2048) { ... }
//	t := retention.New()
//	t.Use(id, now)
//	if t.ShouldExport(id, now) { ... }
package retention
