// Package claim is the decision logic of the claim log, which lets an order run at most once.
//
// An order is named by its organisation and its idempotency key (KeyOf). Shard maps it to one of a fixed number of
// shards, and Owners ranks the service endpoints that may own a shard. The log of a shard is a sequence of segments,
// each an object of the platform that changes only by conditional update. The owner is whoever raised the term of the
// last segment most recently; every write of an earlier owner fails, since the version it expects is gone. There is no
// lease.
//
// The steps of an order, named alike here, in package order and in models/claim.pml, are:
//
//	Takeover  raise the term of the last segment and read the log into an Index
//	Claim     append a Claimed record with the nonce of this incarnation
//	Send      only by the incarnation that wrote the claim, only once, only after the claim is durable
//	Complete  append the status and, if it is small, the response
//	Abandon   append that the order was certainly not sent; the key may be claimed again
//
// A Claimed record that another incarnation wrote and did not complete is never sent again by anyone.
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
//		next, taken := tail.Segment.Append(pending)
//	}
package claim
