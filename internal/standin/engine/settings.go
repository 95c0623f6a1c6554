package engine

import (
	"net/netip"
	"time"
)

// Settings configures an Engine. The default rates are high, so that tests take milliseconds.
type Settings struct {
	// Model and Version are loaded at the start. If they are empty, the engine starts without a model.
	Model   string
	Version string
	// Role is the initial role that Health reports. Default "Serve".
	Role string
	// BatchLimit is the number of concurrent runs of a warm engine, default 16, and ColdCapacity that of an engine that
	// has just turned cold, default 2 but at most BatchLimit. The engine is warm once WarmUpRuns runs have generated their
	// first token; the default is BatchLimit-ColdCapacity, at least 1. With WarmStart the first incarnation starts warm.
	BatchLimit   int
	ColdCapacity int
	WarmUpRuns   int
	WarmStart    bool
	// PrefillRate is in prefilled tokens per second of the engine, default 50e6. DecodeRate is the highest rate of one run in
	// generated tokens per second, default 20e3.
	PrefillRate float64
	DecodeRate  float64
	// PrefillChunk bounds the tokens that one step prefills over all runs. Default 8192.
	PrefillChunk int
	// ColdSlowdown is the factor by which the steps of a cold engine take longer. Default 1.
	ColdSlowdown float64
	// CacheBlocks is the capacity of the prefix cache in blocks, default 4096. BlockTokens is the number of tokens of a
	// block, default 1024, and BlockBytes the size of an exported block, default 1024.
	CacheBlocks int
	BlockTokens int
	BlockBytes  int
	// EventDelay is the time before a cache event becomes visible to clients. Every EventLossInterval-th event is lost;
	// 0 loses none.
	EventDelay        time.Duration
	EventLossInterval int
	// LoadLag is the minimum age of load reports.
	LoadLag time.Duration
	// LoadTime is the duration of an order to load weights if Weights is not set.
	LoadTime time.Duration
	// Weights is the address of the weight store from which an order loads weights. If it is not set, LoadTime applies.
	Weights netip.AddrPort
	// RestartTime is the time for which a crashed engine responds with 503, except on the ledger and admin routes.
	RestartTime time.Duration
	// ChecksFencing makes the engine refuse an order whose epoch is lower than that of an earlier order.
	ChecksFencing bool
	// CrashMarker is a text that crashes the engine if a prompt contains it. Default "CRASH-ENGINE".
	CrashMarker string
	// StopAfter is the number of tokens after which a run ends with the finish reason "Stop", unless the MaxTokens of its
	// request is lower. 0 sets no limit.
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
