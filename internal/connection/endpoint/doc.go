// Package endpoint pools HTTP/1.1 connections to endpoints and sends single requests on them.
//
// The package never retries a request that may have reached the endpoint. Its errors state whether it may have: after
// ErrNotSent no byte of the request has left the gateway, after ErrBroken it may have run. net/http's client hides this: it
// retries some requests on its own, and it silently discards responses that belong to no request.
//
// A connection carries one request at a time. It is closed when bytes arrive that belong to no request, when a response was
// truncated or not read to its end, when the connection has been idle for 500 ms less than the endpoint allows (4 s if the
// endpoint states no limit), or when the endpoint requests it. Call.Matches recognises a late response to an earlier request,
// which is skipped; a call whose response it can't recognise has a connection of its own, see Call.Alone.
//
// An endpoint may also break a response off and send the next one, or the same one once more, on the same connection. A head with the status line
// of another response in it and a body with a copy of its own head in it are ErrBroken. A copy with another head is not recognised.
//
// A head or a trailer with an invalid field name is ErrBroken, see package http1.
//
// An endpoint may start again under its ID and address. A call that is meant for one incarnation, by Call.Incarnation, is sent only on a connection
// on which the endpoint has stated through Pool.Identity that it is that one. Pool.Running tells after an answer that ended with its
// connection whether the endpoint still runs.
//
// # Usage
//
//	p := endpoint.New()
//	go func() { ended <- p.Run(ctx) }()
//	response, err := p.Send(ctx, endpoint.Target{ID: id, Address: addr, MaxConnections: 20}, &endpoint.Call{...})
//	defer response.Close()
//	body, err := io.ReadAll(response.Body)
package endpoint
