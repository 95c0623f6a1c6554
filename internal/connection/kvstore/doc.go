// Package kvstore follows what KV stores hold, and frees what is no longer of use in them.
//
// A store is listed once, then its events are read. It is listed again when events were lost, when it restarted, or when a
// part that was saved does not appear. A part counts as held only after a list or an event said that it is whole, under the
// present epoch of the store; so nothing is fetched that is being written. A store that does not answer holds nothing.
//
// Stores do not drop anything by themselves. Of all gateways the first in the store's order frees the parts of weight
// versions that are no longer served, and parts whose save broke off.
//
// # Usage
//
//	c := &kvstore.Catalog{View: registry, Stores: client, Log: log}
//	go func() { ended <- c.Run(ctx) }()
//	view := c.Scope("Shared.3")
//	actions := tiering.Plan(c.List(), parts, view)
package kvstore
