// Package placement chooses the endpoint of a service for a request. If no endpoint can serve the request in time, it refuses
// the request.
//
// Requests are placed as follows. A prompt with a reusable prefix goes to one of its homes, which are the first endpoints
// of a hash ring for the key of the prefix and so most likely have it cached, unless the wait there is so long that prefilling or
// fetching the prefix elsewhere takes less time. A request without a reusable prefix goes to the endpoint with the lowest cost in a
// random sample of about sampleSize endpoints. A request whose expected wait exceeds its remaining time is refused at once, with the
// time after which capacity is likely to be free.
//
// If endpoints of a service state how slow their machines are (package loadreport), expected waits are multiplied by the slowness, and a service
// without engines is placed by the free slots of all its endpoints if there are no more than maxConsidered.
//
// Gateways may report to each other which long prompt parts an endpoint has cached; such a report replaces the estimate of the cached
// share that follows from the homes. Gateways also report their loads to each other: at regular intervals, and at once when the prefill
// of a long prompt starts or ends.
//
// A Table records for each endpoint the requests and prompt tokens that this gateway has in flight there, the load that the
// endpoint last reported, whether it is cold, and how its last attempts ended. An endpoint whose attempt ended as Misdirected or
// Unreachable, or whose attempts ended several times in a row as Broken or Late, is suspect: it is probed with single requests after
// increasing back-off times. An endpoint whose error share is far above the mean of all candidates gets fewer requests.
//
// The package does no input or output and reads no clock. A Table is safe for concurrent use.
//
// # Usage
//
//	t := placement.New()
//	choice, refusal := t.Choose(now, &request, candidates)
//	...
//	t.Sent(now, choice.Endpoint, &request, choice.PrefillTokens)
//	t.Prefilled(choice.Endpoint, choice.PrefillTokens, took)
//	t.Ended(now, choice.Endpoint, 0, placement.Answered)
package placement
