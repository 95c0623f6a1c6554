package event

// Events 4000 to 4999.
const (
	// OrderStarted tells that the part is running.
	OrderStarted ID = 4000 + iota
	// OrderStopped tells that the part ended.
	OrderStopped
	// OrderShardTaken tells that this agent now owns a shard of the claim log.
	OrderShardTaken
	// OrderShardLost tells that another owner took the shard, or that this one must read it again.
	OrderShardLost
	// OrderTakeoverFailed tells that a shard could not be read or taken.
	OrderTakeoverFailed
	// OrderPlatformFailed tells that a commit failed and how many orders were refused, not run.
	OrderPlatformFailed
	// OrderOutcomeUnknown tells that an order was sent and its reply was lost.
	OrderOutcomeUnknown
	// OrderResultNotStored tells that an order ran but its response could not be recorded.
	OrderResultNotStored
	// OrderSegmentsExpired tells that segments older than the retention were deleted.
	OrderSegmentsExpired
	// OrderSegmentMalformed tells that a stored segment cannot be decoded.
	OrderSegmentMalformed
)
