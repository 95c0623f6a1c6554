// Package waitlist orders the requests of one service that wait for room at its endpoints, and refuses those that would wait in vain.
//
// It addresses overload: more prompts than the memories of the engines hold. If each request that finds no room looks again now and then,
// chance decides which gets room, short prompts always overtake long ones, and requests are held for long before they are refused.
//
// The order is by priority, then fair between organisations by the tokens placed, then by the time until which a request may wait. One
// waiting request at a time has the turn to choose an endpoint. The first in the order holds the endpoint that is next to have room for it,
// for a bounded time; shorter ones behind it may use room elsewhere up to a bounded number of tokens. The expected wait follows from the
// measured rate at which room comes free. See docs/design/admission-queue.md.
//
// The package does no input or output and reads no clock. A List is not safe for concurrent use.
//
// # Usage
//
//	l := waitlist.New[*request](waitlist.Settings{MaxWaiting: 200})
//	w, refused := l.Enter(now, waitlist.Request{Priority: 1, Organisation: "O", Tokens: 1200, Until: until}, r)
//	// tell each of refused, which may contain w, that it is refused: Refusal
//	if next := l.Next(now); next != nil {
//		// let next choose an endpoint, but not one of l.Reserved(now, next), then call
//		l.Placed(now, next) // and, once the room is taken, Done
//		l.Failed(now, next, waitlist.Failure{Closest: endpointID})
//		// and Next again
//	}
//	l.Sent(now, priority, tokens)   // at the start of each attempt
//	l.Ended(now, tokens, took)      // at its end
//	l.Wake(now)                     // when room may have come free
package waitlist
