// Package enginecache follows which long prompt parts engines have cached in their memory, so that a prompt can be sent to the engine
// that has its first parts, and the prefill work that it adds there can be estimated.
//
// For each engine, its leader (see View.IsLeader) polls the engine's cache events, at most once per pollInterval, and passes the result
// on to the other gateways with its loads (see package loads). A gateway follows at most maxEngines engines; those above the limit are
// not followed. An engine is never listed, since a listing stalls it: parts that it cached before the first event still available are
// unknown and count as not cached. The contents are a hint only: a part that is wrongly taken to be cached is prefilled again.
//
// Short parts are left out: an engine prefills them in less time than a gateway needs to report them.
//
// # Usage
//
//	f := &enginecache.Follower{View: registry, Events: client, Table: table, Log: log}
//	go func() { ended <- f.Run(ctx) }()
package enginecache
