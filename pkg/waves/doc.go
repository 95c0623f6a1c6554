// Package waves decides how many endpoints of a service load new weights at the same time.
//
// It answers the load of a fleet whose weights are replaced while it serves: an endpoint that loads weights takes no requests, and the
// first prompts after it must be prefilled anew, since a cache is of no use to other weights. Where too many endpoints load at once, the
// others are overloaded and prompts wait behind prefills for seconds. Where too few do, endpoints reach the limit from which no request may
// begin on replaced weights and are lost to the load until they are updated.
//
// Pace.Concurrency weighs both: the updates that are left, the time that one takes as measured by Times, the time until the limit, and the
// time that a prompt waits now. While callers wait longer than they bear, updates are postponed to a time of less load, as long as the
// remaining time suffices for them at a higher concurrency. An update that takes long keeps its place in the count until it has taken
// twice the usual time; otherwise updates that are slowed down by each other would admit more and more of them.
//
// Compare orders the endpoints that can be updated next. An endpoint with few prompt tokens in flight finishes its requests soonest.
//
// The package does no input or output and reads no clock.
//
// # Usage
//
//	pace := waves.Pace{TolerableWait: 100 * time.Millisecond}
//	state := waves.State{Endpoints: 43, Pending: backlog, Updating: elapsed, UpdateTime: times.Typical(elapsed), Wait: wait}
//	for range pace.Concurrency(state) - state.Occupied() { update the next endpoint }
//	...
//	times.Add(took)
package waves
