// Package platform is a stand-in for the platform's versioned object API. It serves the interface that package
// internal/process/platform documents, from memory, with the limits of the real platform: rates, value size and a
// bounded history for watches.
//
// For tests it also serves:
//
//	GET  /ledger     200 with a JSON list of Call, oldest first; only the latest MaxLedger calls are listed
//	PUT  /instances  replaces the list of instances with a JSON list; the list never changes by itself
//	/fault           the admin interface of package fault
//
// # Usage
//
//	s := platform.NewServer()
//	err := s.Run(ctx, listener)
package platform
