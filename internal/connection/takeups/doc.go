// Package takeups asks the other gateways which build began a stream that a caller takes up.
//
// What a gateway stated before a take-up arrived can't tell what the stream began with: the stream may be younger than the statement. So the
// question goes out after the arrival, over HTTP, at the port at which the gateways serve each other. Each gateway answers from its own book for
// the streams that its present incarnation began, and states the number of its plan and whether its book is complete. Package builds decides what
// follows from the answers.
//
// Questions at about the same time share a round, which is one call to each of the other gateways. The calls of a gateway are limited in rate:
// while they would exceed it, a round waits for a moment, and asks nobody if that does not suffice. A gateway that is not asked, or that does not
// answer in time, counts as one that did not answer.
//
// # Usage
//
//	exchange := &takeups.Exchange{Peers: registry, Port: port, Calls: calls, Book: book, Log: log}
//	mux.Handle(takeups.Path, exchange)
//	go func() { ended <- exchange.Run(ctx) }()
//	answers := exchange.Ask(ctx, id)
package takeups
