// Package claim implements the decisions of the claim log, which ensures that an order runs at most once.
//
// An order is identified by its organisation and its idempotency key (KeyOf). Shard maps it to one of a fixed number of
// shards, and Owners ranks the service endpoints that may own a shard. The log of a shard is a sequence of segments,
// each of them a platform object that changes only by conditional update. The owner of a shard is the agent that raised
// the term of the last segment most recently. Every write of an earlier owner fails, since it expects an object version
// that is no longer the current one. There is no lease.
//
// The steps of an order have the same names here, in package order and in models/claim.pml:
//
//	Takeover  raise the term of the last segment and read the log into an Index
//	Claim     append a Claimed record with the nonce of this incarnation
//	Send      send the order: only by the incarnation that wrote the claim, only once, only after the claim is durable
//	Complete  append the status and, if it is small, the response
//	Abandon   append that the order was certainly not sent, so that the key may be claimed again
//
// An order whose claim another incarnation wrote and neither completed nor abandoned is not sent again. All of this holds
// until the records of the order expire; after that, the key counts as unused.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	shard := claim.Shard("Org1", "order-17", 16)
//	preferred := claim.Owners(shard, []string{"Orders1", "Orders2", "Orders3"})[0]
//
//	tail = tail.Takeover("Orders1", incarnation) // write it, then:
//	index.Apply(tail.Number, tail.Segment.Records)
//	switch index.Decide(key, digest, incarnation, running) {
//	case claim.DoClaim:
//		next, appended := tail.Segment.Append(pending)
//	}
package claim
