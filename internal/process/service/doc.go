// Package service is an HTTP client of the plain service that runs beside an agent.
//
// A plain service neither authenticates callers nor detects repeated calls. The stand-in for a plain service has the following
// HTTP interface for orders:
//
//	POST /orders    runs an order: appends the body to the ledger and responds 201 with the order's number
//	GET  /status    responds 200 with the number of runs; may be retried
//	GET  /ledger    responds with the runs so far, as a JSON list of {Key, Body, At}; used only by tests
//
// A call that must not be retried has an idempotency key, which is sent in the header Idempotency-Key for the service's own
// records. Such a call is never replayed by the HTTP transport: package net/http sends a request again when a reused connection
// breaks, if it considers the request replayable. Each call uses a new connection.
//
// # Usage
//
//	c := service.New(addr)
//	reply, err := c.Do(ctx, call)
//	if errors.Is(err, service.ErrNotSent) {
//		// the service did not receive the call
//	}
package service
