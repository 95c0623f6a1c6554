// Package weights brings the endpoints of a site to the weight versions that operators named.
//
// Any gateway may do it; the one that holds the lease does. It takes a few endpoints at a time: it publishes which ones, so
// that no gateway sends them new work, then orders each to load the version once its runs have finished, and reads back what
// it has. An order carries the number of orders that the endpoint had accepted when it was asked: an order without an answer
// may be carried out seconds later, and that number keeps it from undoing a newer one.
//
// # Usage
//
//	r := &weights.Rollout{View: registry, Lease: lease, Engines: engines, Log: log}
//	go func() { ended <- r.Run(ctx) }()
package weights
