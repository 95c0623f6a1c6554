// Package claim is the decision logic of the claim log, which lets an order run at most once.
//
// An order is named by its organisation and its idempotency key. Shard maps it to one of a fixed number of shards, and
// Owners ranks the service endpoints that may own a shard. The package does no I/O and reads no clock.
//
// # Usage
//
//	shard := claim.Shard("Org1", "order-17", 16)
//	preferred := claim.Owners(shard, []string{"Orders1", "Orders2", "Orders3"})[0]
package claim
