// Package service speaks to the plain service beside an agent, over HTTP.
//
// A plain service does not check who calls it and does not recognise a repeated call. Its stand-in, for orders, has:
//
//	POST /orders    runs an order: appends the body to the ledger and answers 201 with the order's number
//	GET  /status    answers 200; may be repeated
//	GET  /ledger    the runs so far, as a JSON list of {Key, Body, At}; only tests read it
//
// A call that may not be repeated has an idempotency key, which is passed on in the header Idempotency-Key for the
// service's own records. Such a call gets a connection of its own and is never repeated by the HTTP transport: package
// net/http sends a request again when a reused connection breaks, if it regards the request as replayable.
//
// # Usage
//
//	c := service.New(addr)
//	reply, err := c.Do(ctx, call)
//	if errors.Is(err, service.ErrNotSent) {
//		// the service never saw the call
//	}
package service
