// Package kvstore tracks the contents of KV stores and frees parts in them that are no longer of use.
//
// A store is listed once, and its events are read from then on. It is listed again when events were lost, when it restarted, or when
// saved parts did not appear. A part counts as held only once a listing or an event of the store's current epoch has reported it as
// complete, so that no part is fetched while it is being written. A store that does not answer counts as holding nothing.
//
// Stores do not evict anything by themselves. For each store, its leader (see View.IsLeader) frees the parts of weight versions that
// are no longer served, and parts whose save has stalled.
//
// # Usage
//
//	c := &kvstore.Catalog{View: registry, Stores: client, Log: log}
//	go func() { ended <- c.Run(ctx) }()
//	scoped := c.Scope("Shared/Model1/3")
//	actions := tiering.Plan(c.List(), parts, scoped)
package kvstore
