package engine

import (
	"time"

	"primrosecourse/internal/process/engine"
)

// RunRecord is the ledger entry of a run that the engine accepted.
type RunRecord struct {
	RequestID   string
	Fingerprint uint64
	Version     string
	Incarnation uint64
	Started     time.Time
	// Given is the number of answer tokens that the request carried, Tokens the number that the run generated.
	Given  int
	Tokens int
	// CachedTokens is the number of prompt tokens that were found in the prefix cache.
	CachedTokens int
	// ForeignBlocks is the number of cached blocks that the run used although they belong to another weight version.
	ForeignBlocks int
	// Finished is zero until the run ends. Finish is "Stop", "Length" or "Cancelled", and empty until the run ends or if it
	// was cut.
	Finished time.Time
	Finish   string
}

// OrderRecord is the ledger entry of an order. Refused is set if the engine refused the order because of its epoch.
type OrderRecord struct {
	engine.Order
	At      time.Time
	Refused bool
}

// Ledger lists what the engine has done since New, over all incarnations.
type Ledger struct {
	Runs   []RunRecord
	Orders []OrderRecord
	// Excess is the number of runs refused because the engine was at capacity, ExcessCold the number of them that were
	// refused while it was cold.
	Excess     int
	ExcessCold int
	// MaxRunningCold is the largest number of concurrent runs while the engine was cold.
	MaxRunningCold int
	Incarnation    uint64
}
