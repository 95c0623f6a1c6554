// Package placement chooses the endpoint of a service for a request, and refuses a request that no endpoint can serve in
// time.
//
// It answers three loads. A prompt whose first parts come back goes to its home, the first endpoints of a ring for the key of
// those parts, where they are most likely cached, unless reading it all elsewhere is sooner than waiting there. A short
// prompt or a plain request goes where least is under way. When the endpoints are full, a request is refused at once if the
// wait that its class must expect is longer than what it has left, with the time after which a place is likely free.
//
// Where processes tell each other which long parts an endpoint keeps, a prompt goes by that instead of by its home. They tell each other
// at once of prompts that take up an endpoint for long.
//
// What is known of an endpoint: the requests and prompt tokens that this process has under way there, the load that the
// endpoint last reported, whether it is cold, and how its last attempts ended. An endpoint that failed is tried with single
// requests after growing pauses. One whose answers fail more often than those of its fellows gets fewer.
//
// The package does no input or output and reads no clock. A Table is safe for concurrent use.
//
// # Usage
//
//	t := placement.New()
//	choice, refusal := t.Choose(now, placement.Ask{...}, candidates)
//	...
//	t.Sent(now, choice.Endpoint.ID, ask)
//	t.FirstPiece(now, id, ask)
//	t.Ended(now, id, ask, placement.Answered)
package placement
