// Package front serves HTTP/1.1 connections of callers.
//
// It reads one request at a time, hands it to a Handler and writes the answer. net/http parses the request, but only after
// the raw header passed checks that leave no doubt where the request ends: a request with both a length and chunks, with two
// lengths, with a folded or bare line or with a space before a colon is answered with 400 and the connection is closed.
// net/http's own server accepts some of these, and what one side takes for the next request the other takes for a body.
//
// While a request is handled, the connection is watched: when the caller leaves, the request's context is cancelled.
//
// Connections and the bytes of bodies may be bounded. What exceeds a bound is turned away at once: a connection by closing it
// unread, a request by a refusal before it is handled.
//
// The package does not route, and it knows no header except those that frame messages.
//
// # Usage
//
//	s := front.New(handler)
//	s.Limits = func() site.Limits { return registry.Current().Configuration.Limits }
//	go func() { ended <- s.Run(ctx, listener) }()
//	...
//	s.Drain() // answers carry Connection: close from now on
package front
