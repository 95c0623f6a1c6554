// Package endpoints keeps the objects Endpoints/<name> of the platform. Each start of an agent raises the Epoch in the
// object of its endpoint and uses it as the fencing token of its orders to the engine: an engine that checks refuses
// the orders of an older epoch, so a paused agent cannot undo what its successor did.
//
// An object must not be deleted while an engine remembers an epoch, since a new object starts at 1 again.
//
// # Usage
//
//	epoch, err := endpoints.RaiseEpoch(ctx, client, "Model1", incarnation)
package endpoints
