// Package endpoint pools HTTP/1.1 connections to endpoints and sends single requests on them.
//
// The package never repeats a request that may have reached the endpoint, and its errors state exactly what is known of the
// request: after ErrNotSent no byte of it has left this process, after ErrBroken it may have run. net/http's client hides this:
// it retries some requests on its own, and it silently discards responses that belong to no request.
//
// A connection carries one request at a time. It is closed when bytes arrive that belong to no request, when a response was
// truncated, when it has been idle for most of the time that the endpoint allows, or when the endpoint asks for it. Call.Matches
// recognises a late response to an earlier request, which is skipped.
//
// # Usage
//
//	p := endpoint.New()
//	go func() { ended <- p.Run(ctx) }()
//	answer, err := p.Send(ctx, endpoint.Target{ID: id, Address: addr, MaxConnections: 20}, &endpoint.Call{...})
//	defer answer.Close()
//	body, err := io.ReadAll(answer.Body)
package endpoint
