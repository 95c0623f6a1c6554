// Package gateway is the process that takes the requests of callers to the endpoints of a site: it follows the platform's
// store, serves callers and readiness, keeps connections to endpoints and brings named weight versions to them.
//
// A stop is graceful: readiness goes off first, connections end with their next answer, and once the balancer has had the
// time to notice, idle connections are closed and what is under way is finished within the stop time.
//
// # Usage
//
//	settings, err := gateway.ReadSettings(path)
//	g := &gateway.Gateway{Settings: settings, Registry: r, Codec: codec, Log: log}
//	err = g.Run(ctx)
package gateway
