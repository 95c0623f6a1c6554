// Package order runs orders, which are requests that may not be repeated, at most once. It drives the decisions of
// package claim with the platform and with the plain service beside the agent.
//
// An Owner serves the shards of the claim log whose preferred live owner is this agent. It takes a shard with the first
// order that needs it. For each order it does Claim, Send and Complete, or Abandon if the order was certainly not sent.
// The commits of a shard are grouped: while one conditional update is in flight, the records of the next one gather.
//
// What a caller may rely on:
//
//	wire.Reply                   the order ran, now or earlier (Replayed)
//	wire.Refused NotRun          this attempt did not run the order and never will
//	wire.Refused Ran             the order ran; its response cannot be given
//	wire.Refused OutcomeUnknown  the order may have run; the key never runs again while its record is kept
//
// # Usage
//
//	o := &order.Owner{Platform: platform.New(addr), Service: service.New(svc), Name: "Orders1", Incarnation: start}
//	go func() { ended <- o.Run(ctx) }()
//	msg := o.Execute(ctx, call) // wire.Reply or wire.Refused
package order
