// Package front is the HTTP/1.1 server for the connections of callers.
//
// It reads one request at a time, passes it to a Handler and writes the response. net/http parses the request, but only after
// the raw header has passed checks that leave no doubt where the request ends. A request with both a length and a transfer
// encoding, with two lengths, with a folded header line, with a line that ends in a bare line feed or with a space before a
// colon is answered with 400 and the connection is closed. net/http's own server accepts some of these. One parser may then
// take for a body what another takes for the next request (request smuggling).
//
// While a request is handled, the connection is watched: when the caller disconnects, the request's context is cancelled. The
// watch ends early if the caller sends a part of its next request (pipelining).
//
// The number of connections and the memory for requests can be limited. Load above a limit is shed at once: a connection is closed before anything is
// read from it, and a request is refused before it is handled. Clients that take up places or memory and make no progress lose them to others
// while these are short (place.go); otherwise they keep them. Callers that send requests without waiting for answers take turns.
//
// A request is judged by the limits in force when it begins. Its body may arrive for as long as it keeps arriving; a request that does not
// arrive in time is answered with 408. Bytes that have arrived count, even if the process reads them after the deadline. Each connection
// reports its end: Ending names all ways on which one can end, and which of them leave a request without a complete response.
//
// The package does no routing. The only header fields that it interprets are Expect and those that control message framing
// and the connection.
//
// # Usage
//
//	s := front.New(handler)
//	s.Limits = func() site.Limits { return registry.Current().Configuration.Limits }
//	go func() { ended <- s.Run(ctx, listener) }()
//	...
//	s.Drain() // the responses that start from now on carry Connection: close
package front
