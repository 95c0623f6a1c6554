package engine

import (
	"time"

	"primrosecourse/internal/process/engine"
)

// RunRecord is what the ledger keeps of a run that the engine took.
type RunRecord struct {
	RequestID   string
	Fingerprint uint64
	Version     string
	Incarnation uint64
	Started     time.Time
	// Given counts the tokens that the request carried, Tokens those generated.
	Given  int
	Tokens int
	// CachedTokens counts the prompt tokens that the cache held.
	CachedTokens int
	// ForeignBlocks counts blocks used that were computed with another weight version.
	ForeignBlocks int
	// Finished is zero while the run goes on. Finish is empty for a run that was cut.
	Finished time.Time
	Finish   string
}

// OrderRecord is what the ledger keeps of an order.
type OrderRecord struct {
	engine.Order
	At      time.Time
	Refused bool
}

// Ledger is what the engine did since the process started.
type Ledger struct {
	Runs   []RunRecord
	Orders []OrderRecord
	// Excess counts runs received beyond the capacity; ExcessCold is the part received while cold.
	Excess     int
	ExcessCold int
	// MaxRunningCold is the largest number of runs at a time while cold.
	MaxRunningCold int
	Incarnation    uint64
}
