// Package forward takes one request of a caller through its life: who it belongs to, where it goes, whether it may be sent
// again, and what the caller is told.
//
// It keeps these rules:
//
//   - A refusal that promises that the request did not run is given only if no byte of it was sent to an endpoint, or each
//     endpoint that it was sent to said that it did not run it. After that only 502, 504 or a closed connection are true.
//   - A request that may not be repeated is sent again only while it is known not to have run.
//   - A stream that may be resumed goes on at another endpoint after the last whole event that the caller has; others end
//     with a closed connection, so that they do not look complete.
//   - An answer reaches the caller only if the endpoint sealed it and it bears the request's identity. A short answer is read
//     whole before its first byte is passed on.
//   - When the caller leaves, the connection to the endpoint is closed, which cancels the work.
//   - Repeats draw on a budget for each service that all gateways share.
//   - A request that crashed endpoints is refused.
//
// Headers are read and written by a Codec, so that the package knows no names of the platform.
//
// # Usage
//
//	h := &forward.Handler{Codec: codec, View: registry, Table: placement.New(), Endpoints: pool, ...}
//	server := front.New(h)
package forward
