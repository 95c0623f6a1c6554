// Package retention decides which cache blocks move between an engine and a store.
//
// A block should be fetched when the transfer over the store's link costs less than prefilling the block again, both
// weighted by the deployment's policy. A block should be exported when it was used at least twice, or when blocks are
// usually used again only after the engine would have evicted them. The time from the first to the second use of a block
// and the time from the last use of a block to its eviction are estimated from the agent's observations as exponentially
// weighted means.
//
// The package transfers nothing and does not choose the store.
//
// # Usage
//
//	costs := retention.Costs{PrefillTokensPerSecond: 8000, LinkBytesPerSecond: 1e9, BytesPerToken: 131072}
//	if costs.ShouldFetch(2048) { ... }
//	t := retention.New()
//	t.Use(id, now)
//	if t.ShouldExport(id) { ... }
package retention
