// Package gateway implements the process that forwards the requests of callers to the endpoints of a site. It watches the
// platform's store, serves callers and readiness checks, maintains connections to endpoints and runs additional components, such as
// the rollout of weight versions.
//
// Shutdown is graceful. The readiness check fails first, and connections are closed after their next answer. Once the load
// balancer has had time to notice, idle connections are closed, and requests in flight may finish until shortly before the end of
// the stop time.
//
// # Usage
//
//	settings, err := gateway.ReadSettings(path)
//	g := &gateway.Gateway{Settings: settings, Registry: r, Codec: codec, Tiers: catalog, ReadyPath: path, Log: log}
//	err = g.Run(ctx)
package gateway
