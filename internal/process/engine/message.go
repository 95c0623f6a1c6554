package engine

// Request is a request to run a prompt.
type Request struct {
	RequestID string
	Model     string
	Version   string
	Prompt    []uint32
	// Given lists the tokens of the answer that were generated before; generation continues after them.
	Given []uint32
	// Blocks lists the identities of the complete cache blocks of Prompt, in order.
	Blocks []string
	// MaxTokens limits the length of the answer, including Given.
	MaxTokens int
	// Priority orders the runs in the engine; a higher one runs first.
	Priority int
}

// Accepted is the first event of a stream.
type Accepted struct {
	// CachedTokens is the number of prompt tokens that the engine found in its prefix cache.
	CachedTokens int
	Incarnation  uint64
}

// Tokens is a group of consecutive generated tokens.
type Tokens struct {
	// Index is the position of the first token in the answer, including Given.
	Index  int
	Tokens []uint32
	Text   string
}

// End is the last event of a complete stream.
type End struct {
	// Finish is "Stop", "Length" or "Cancelled".
	Finish string
}

// Health is the current state of an engine.
type Health struct {
	// Incarnation changes when the engine's worker restarts. The engine is then cold and its cache empty.
	Incarnation uint64
	// Warm is true when warm-up is complete.
	Warm bool
	// Capacity is the number of concurrent runs that the engine can execute now. It is lower while the engine is cold.
	Capacity int
	Running  int
	// RateLimited is true if the engine accepts at most MaxRate runs per second for now.
	RateLimited bool    `json:",omitempty"`
	MaxRate     float64 `json:",omitempty"`
	Model       string
	Version     string
	Role        string
	// Epoch is the fencing token of the last order that the engine accepted.
	Epoch uint64
}

// LoadReport is the engine's own report of its load. It is AgeMillis old.
type LoadReport struct {
	// Running counts the runs in decode, Waiting those whose prefill is not complete.
	Running int
	Waiting int
	// CacheUsed is the number of blocks in the prefix cache, CacheBlocks its capacity in blocks.
	CacheUsed   int
	CacheBlocks int
	AgeMillis   int64
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// TokensWaited is the number of prompt tokens that have yet to be prefilled.
	TokensWaited int
}

// CacheEvent reports that a block was stored in the engine's prefix cache, or removed from it if Removed is true.
type CacheEvent struct {
	Sequence uint64
	Block    string
	Removed  bool
}

// CacheEvents is a page of cache events. Missing events leave gaps in Sequence.
type CacheEvents struct {
	Incarnation uint64
	Events      []CacheEvent
	// Next is the value of the parameter After for the next page.
	Next uint64
}

// Order is a command that changes what an engine serves.
type Order struct {
	// Kind is "LoadVersion", "LoadAdapter" or "SetRole".
	Kind    string
	Model   string
	Version string
	Adapter string
	Role    string
	// Epoch is the fencing token of the sender.
	Epoch uint64
}
