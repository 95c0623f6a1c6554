// Package service speaks to the plain service beside an agent, over HTTP.
//
// A plain service does not check who calls it and does not recognise a repeated call. Its stand-in, for orders, has:
//
//	POST /orders    runs an order: appends the body to the ledger and answers 201 with the order's number
//	GET  /status    answers 200; may be repeated
//	GET  /ledger    the runs so far, as a JSON list of {Key, Body, At}; only tests read it
//
// # Usage
//
//	c := service.New(addr)
//	reply, err := c.Do(ctx, call)
package service
