// Package endpoint keeps HTTP/1.1 connections to endpoints and exchanges single requests on them.
//
// A request is never repeated by the package, and what is known of its fate is exact: ErrNotSent means that no byte of it
// left this process, ErrBroken that it may have run. net/http's client hides both: it repeats some requests on its own, and
// it drops answers that nobody waits for without a trace.
//
// A connection carries one request at a time. It is given up when bytes arrive that belong to no request, when an answer was
// cut, when it stood idle for most of the time that the endpoint allows, or when the endpoint wants it closed. An answer to
// an earlier request is recognised by Call.Mine and skipped.
//
// # Usage
//
//	p := endpoint.New()
//	go func() { ended <- p.Run(ctx) }()
//	answer, err := p.Send(ctx, endpoint.Target{ID: id, Address: addr, MaxConnections: 20}, &endpoint.Call{...})
//	defer answer.Close()
//	body, err := io.ReadAll(answer.Body)
package endpoint
