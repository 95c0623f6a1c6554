// Package enginecache follows which long parts of prompts engines keep in their memory, so that a prompt goes where its first
// parts are and the load that it adds is known.
//
// Of all gateways the first in an engine's order reads the engine's events, at most once in a period, and tells the others in
// its word on loads. An engine is never listed, since that stalls it: what it kept before its first event that is still told is
// not known, and counts as not kept. What an engine keeps is soft: a part that is believed to be there and is not is read again.
//
// Short parts are left out. They are read sooner than a gateway could tell of them.
//
// # Usage
//
//	f := &enginecache.Follower{View: registry, Events: client, Table: table, Log: log}
//	go func() { ended <- f.Run(ctx) }()
package enginecache
