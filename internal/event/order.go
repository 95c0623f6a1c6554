package event

// Events 4000 to 4999, of orders.
const (
	// OrderStarted is logged when an agent starts to run orders, which are service calls that run at most once.
	OrderStarted ID = 4000 + iota
	// OrderStopped is logged when an agent has stopped running orders.
	OrderStopped
	// OrderShardTaken is logged when an agent becomes the owner of a shard of the claim log.
	OrderShardTaken
	// OrderShardLost is logged when another agent has become the owner of a shard, or its owner must read the shard
	// again.
	OrderShardLost
	// OrderTakeoverFailed is logged when an agent fails to read a shard or to become its owner.
	OrderTakeoverFailed
	// OrderPlatformFailed is logged when writing claims to the platform fails, with the number of orders that are
	// refused and not run.
	OrderPlatformFailed
	// OrderOutcomeUnknown is logged when an order was sent and the response to it was lost.
	OrderOutcomeUnknown
	// OrderResultNotStored is logged when an order ran but its response could not be stored.
	OrderResultNotStored
	// OrderSegmentsExpired is logged when segments of the claim log that are older than the retention time have been
	// deleted.
	OrderSegmentsExpired
	// OrderSegmentMalformed is logged when a stored segment of the claim log cannot be decoded.
	OrderSegmentMalformed
)
