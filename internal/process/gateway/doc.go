// Package gateway implements the process that forwards the requests of callers to the endpoints of a site. It watches the
// platform's store, serves callers and readiness checks, maintains connections to endpoints and runs additional components, such as
// the rollout of weight versions.
//
// Shutdown is graceful. The readiness check fails first, and connections are closed after their next answer. Once the load
// balancer has had time to notice, idle connections are closed, and requests in flight may finish until shortly before the end of
// the stop time. Those that have not finished then get a final answer, unless an endpoint's answer has begun, which is broken off. A
// request that arrives during the shutdown and probably cannot end before is refused.
//
// # Usage
//
//	settings, err := gateway.ReadSettings(path)
//	g := &gateway.Gateway{Settings: settings, Registry: r, Codec: codec, Tiers: catalog, ReadyPath: path, Log: log}
//	err = g.Run(ctx)
package gateway
