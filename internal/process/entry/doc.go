// Package entry composes the entry process: the HTTP interface of callers, the connections to agents, the server for peers
// and the configuration.
//
// Run serves until its context is done and then shuts down gracefully: readiness goes off, new work is refused as not run
// with Retry-After, and what is under way ends within DrainTimeout. What is left then is cut off: streams end with an error
// event, and the log tells how many there were. Abort cuts off at once.
//
// The entry keeps nothing but soft state. Its configuration comes from the tracker, which it runs.
//
// # Usage
//
//	e := &entry.Entry{Name: "Entry1", Address: http, PeerAddress: peers, FailureDomain: "Domain1", Configuration: tracker, Log: log}
//	err := e.Run(ctx)
package entry
