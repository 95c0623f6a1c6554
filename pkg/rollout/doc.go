// Package rollout decides on the canary rollout of a build. It addresses a new build that fails or is slow: from the start, later, under
// load, or on one route only.
//
// The requests for the target build are limited by cumulative allowances. The state of an order says for each gateway how many requests it may
// have sent to the target since the order began, over all its restarts. Allowances only grow, and their sum stays within the bound on exposure
// for the requests that gateways have reported. So the bound holds however old the state is that a gateway acts on.
//
// A Ledger counts in each gateway what it sends and how the answers end. Decide derives the next state from the reports of all gateways. The
// package does no input or output and reads no clock.
//
// # Usage
//
//	l := &rollout.Ledger{Name: name}
//	l.Follow(order, state, false)
//	side, target, endpoints := l.Side(service, route, fresh, rand.Float64())
//	end, ok := l.Begin(service, route, build, true, false, fresh)
//	end(rollout.Result{First: took})
//	next := rollout.Decide(state, &rollout.Input{Order: order, Age: age, Reports: reports, Bounds: bounds})
package rollout
