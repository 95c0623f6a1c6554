// Package entry assembles the entry process: the HTTP interface for callers, the connections to agents, the server for
// peers and the configuration.
//
// Run serves until its context is done and then shuts down gracefully: /readyz answers 503, new requests are refused with
// the outcome "not run" and a Retry-After header, and the requests in progress have DrainTimeout to finish. Requests that
// remain after that are cancelled: their streams end with an error event, and the event EntryCutOff logs their number by
// kind. Abort cancels the requests in progress at once.
//
// An entry has only soft state. Its configuration comes from a Configuration such as config.Tracker; Entry.Run also runs that.
//
// # Usage
//
//	e := &entry.Entry{Name: "Entry1", Address: http, PeerAddress: peers, FailureDomain: "Domain1", Configuration: tracker, Log: log}
//	err := e.Run(ctx)
package entry
