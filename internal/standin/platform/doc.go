// Package platform stands in for the platform's versioned object API. It serves the interface that package
// internal/process/platform describes, from memory, with the limits of the real one: rates, value size and a bounded
// history for watches.
//
// Beside the interface it serves:
//
//	GET  /ledger     200 with the JSON list of Call, oldest first; the latest MaxLedger calls are kept
//	PUT  /instances  sets the list of instances from a JSON list; the list never changes by itself
//	/fault           the admin interface of package fault
//
// # Usage
//
//	s := platform.NewServer()
//	err := s.Run(ctx, listener)
package platform
