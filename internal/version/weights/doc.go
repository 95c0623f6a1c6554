// Package weights updates the endpoints of a site to the weight versions that operators have named.
//
// Every gateway runs a Rollout, but only the holder of the lease updates endpoints, a few at a time. The holder first
// publishes the endpoints that it is about to update, so that no gateway sends them new work. It then orders each endpoint
// to load the version once its runs have finished, and polls the endpoint until it reports the version. An order contains
// the number of orders that the endpoint had accepted at its last report. The endpoint refuses an order whose number
// differs, so that an unanswered order that takes effect seconds later cannot undo a newer one.
//
// # Usage
//
//	r := &weights.Rollout{View: registry, Lease: lease, Engines: engines, Log: log}
//	go func() { ended <- r.Run(ctx) }()
package weights
