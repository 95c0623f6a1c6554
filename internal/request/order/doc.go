// Package order runs orders, which are requests that must not be repeated, at most once. Package claim decides what to
// do with an order; this package carries the decisions out on the platform, which stores the claim log, and on the
// plain service beside the agent.
//
// The orders of a service are divided among shards, each with its own claim log. An Owner serves the shards whose
// preferred live owner is this agent. When the first order of a shard arrives, the step Takeover reads its claim log and
// makes this agent its owner. The steps of an order are Claim, Send and Complete, or Abandon if the order was certainly
// not sent. Commits of a shard are batched: records that arrive during one conditional update are written by the next
// one.
//
// Guarantees to the caller, by the message that Execute returns:
//
//	wire.Reply                   the order ran, in this attempt or earlier (Replayed)
//	wire.Refused NotRun          this attempt did not run the order and never will
//	wire.Refused Ran             the order ran; its response is not available
//	wire.Refused OutcomeUnknown  the order may have run or may still run; it never runs twice while its record is kept
//
// # Usage
//
//	o := &order.Owner{Platform: platform.New(addr), Service: service.New(svc), Name: "Orders1", Incarnation: start}
//	go func() { runErr <- o.Run(ctx) }()
//	msg := o.Execute(ctx, call) // wire.Reply or wire.Refused
package order
