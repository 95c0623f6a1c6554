// Package endpoints reads and updates the objects Endpoints/<name> of the platform. Each start of an agent increments the Epoch
// in the object of its endpoint and uses it as the fencing token of its orders to the engine. An engine that checks fencing
// tokens refuses orders with an older epoch, so that an agent that was paused cannot undo the orders of its successor.
//
// An object must not be deleted while an engine still remembers its epoch, since a new object starts again at epoch 1.
//
// # Usage
//
//	epoch, err := endpoints.RaiseEpoch(ctx, client, "Model1", incarnation)
package endpoints
