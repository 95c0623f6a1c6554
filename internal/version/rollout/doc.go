// Package rollout moves the traffic of services to other builds as operators order it.
//
// Every gateway runs a Controller. While an order is active, each gateway writes what it counts to a shared object of its own, and the first
// gateway in the rendezvous-hash order of the service writes the next state of the order, which all follow; others do if it does not. Package
// rollout under pkg has the decisions. The verdict is recorded on the platform once the state has it, and that of a completed order once no
// gateway has requests at the old endpoints.
//
// # Usage
//
//	c := &rollout.Controller{Name: name, View: registry, Objects: shared, Status: status, Bounds: bounds, RollbackTime: limit, Log: log}
//	registry.Changed = c.Changed
//	go func() { ended <- c.Run(ctx) }()
package rollout
