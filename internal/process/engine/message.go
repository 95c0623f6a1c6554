package engine

// Request asks the engine to run a prompt. Generation continues after Given.
type Request struct {
	RequestID string
	Model     string
	Version   string
	Prompt    []uint32
	Given     []uint32
	// Blocks holds the identities of the whole cache blocks of Prompt, in order.
	Blocks    []string
	MaxTokens int
	Priority  int
}

// Accepted is the first event of a stream.
type Accepted struct {
	// CachedTokens counts prompt tokens whose cache the engine held.
	CachedTokens int
	Incarnation  uint64
}

// Tokens is a group of generated tokens; Index counts from the start of the answer, Given included.
type Tokens struct {
	Index  int
	Tokens []uint32
	Text   string
}

// End is the last event of a whole stream. Finish is "Stop", "Length" or "Cancelled".
type End struct {
	Finish string
}

// Health is the current state of an engine.
type Health struct {
	// Incarnation changes when the engine's worker restarts; its cache is empty and it is cold then.
	Incarnation uint64
	Warm        bool
	// Capacity is the number of runs that the engine can bear now.
	Capacity int
	Running  int
	Model    string
	Version  string
	Role     string
	Epoch    uint64
}

// LoadReport is the engine's own lagging view of its load.
type LoadReport struct {
	Running      int
	Waiting      int
	CacheUsed    int
	CacheBlocks  int
	AgeMillis    int64
	PrefillRate  float64
	TokensWaited int
}

// CacheEvent tells that a block was stored in or removed from the engine's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Block    string
	Removed  bool
}

// CacheEvents is a page of events. Events that were lost leave holes in Sequence.
type CacheEvents struct {
	Incarnation uint64
	Events      []CacheEvent
	// Next is the After of the following call.
	Next uint64
}

// Order changes what an engine serves.
type Order struct {
	// Kind is "LoadVersion", "LoadAdapter" or "SetRole".
	Kind    string
	Model   string
	Version string
	Adapter string
	Role    string
	Epoch   uint64
}
