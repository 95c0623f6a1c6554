// Package kvstore tracks the contents of KV stores and frees parts in them that are no longer of use.
//
// A store is listed once, and its events are read from then on, by a few gateways from the store itself and by the others from one of
// these. It is listed again after a failed call or lost events, when it has restarted, when saved parts did not appear, while saves are
// unfinished, and when the gateway changes between the store itself and another gateway as its source. A part counts as held only once
// a listing or an event of the store's current epoch has reported it as complete, so that no part is fetched while it is being written.
// A store that does not answer counts as holding nothing. Gateways learn of a restart at different times. See lease for how fetches by what
// was known before end before anything is saved again.
//
// Stores do not evict anything by themselves. For each store, its leader (see View.IsLeader) frees the parts of weight versions that
// no gateway uses any more, and parts whose save has stalled. Whether a version is in use follows from the time since it was replaced, or from the floors
// of all gateways on a list that is up to date (see View.GatewaysAt). A gateway that such a list may lack uses no replaced version.
// See appearedParts for why no part is fetched that was a stalled save a moment ago.
//
// # Usage
//
//	c := &kvstore.Catalog{View: registry, Stores: client, Floors: &tiering.Floors{}, Log: log}
//	go func() { ended <- c.Run(ctx) }()
//	scoped := c.Scope("Shared/Model1/3")
//	actions := tiering.Plan(c.List(), parts, scoped)
package kvstore
