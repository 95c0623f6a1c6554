package engine

import (
	"net/netip"
	"time"
)

// Settings describe an engine. The defaults are fast, so that tests take milliseconds.
type Settings struct {
	// Model and Version are loaded at the start; an engine may start without.
	Model   string
	Version string
	// Role is what the engine does, default "Serve".
	Role string
	// BatchLimit is the capacity when warm, default 16; ColdCapacity that of a cold engine, default 2. The engine is warm
	// after WarmUpRuns first tokens, default BatchLimit-ColdCapacity. WarmStart skips the cold start of the process.
	BatchLimit   int
	ColdCapacity int
	WarmUpRuns   int
	WarmStart    bool
	// PrefillRate and DecodeRate are in tokens per second, the latter for one run. Defaults 50e6 and 20e3.
	PrefillRate float64
	DecodeRate  float64
	// PrefillChunk bounds the prompt tokens that one step computes. Default 8192.
	PrefillChunk int
	// ColdSlowdown multiplies the step time of a cold engine. Default 1.
	ColdSlowdown float64
	// CacheBlocks bounds the cache. Default 4096. BlockTokens is the size of a block, default 1024; BlockBytes that of
	// its exported form, default 1024.
	CacheBlocks int
	BlockTokens int
	BlockBytes  int
	// EventDelay holds cache events back. Every EventHole-th is lost; 0 loses none.
	EventDelay time.Duration
	EventHole  int
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// LoadTime is how long an order to load weights takes, without Weights.
	LoadTime time.Duration
	// Weights is the address of the weight store that an order to load weights reads from; unset for none.
	Weights netip.AddrPort
	// RestartTime is how long a crashed engine answers 503.
	RestartTime time.Duration
	// ChecksFencing makes the engine refuse an order with an older epoch than one seen before.
	ChecksFencing bool
	// CrashMarker is the text of prompts that crash the engine. Default "CRASH-ENGINE".
	CrashMarker string
	// StopAfter ends answers after so many tokens with "Stop"; 0 runs each to its MaxTokens.
	StopAfter int
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.BatchLimit, 16)
	setDefault(&s.ColdCapacity, min(2, s.BatchLimit))
	setDefault(&s.WarmUpRuns, max(1, s.BatchLimit-s.ColdCapacity))
	setDefault(&s.PrefillRate, 50e6)
	setDefault(&s.DecodeRate, 20e3)
	setDefault(&s.PrefillChunk, 8192)
	setDefault(&s.ColdSlowdown, 1)
	setDefault(&s.CacheBlocks, 4096)
	setDefault(&s.BlockTokens, 1024)
	setDefault(&s.BlockBytes, 1024)
	setDefault(&s.CrashMarker, "CRASH-ENGINE")
	setDefault(&s.Role, "Serve")
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
