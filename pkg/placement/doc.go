// Package placement chooses the endpoint of a service for a request. If no endpoint can serve the request in time, it refuses
// the request.
//
// Requests are placed as follows. A prompt with a reusable prefix goes to one of its homes, which are the first endpoints
// of a hash ring for the key of the prefix and so most likely have it cached, unless prefilling the whole prompt elsewhere
// takes less time than waiting there. A short prompt or a request without a prompt goes to the least loaded endpoint. When the
// endpoints are full, a request whose expected wait exceeds its remaining time is refused at once, with the time after which
// capacity is likely to be free.
//
// Gateways may report to each other which long prompt parts an endpoint has cached; such a report takes precedence over the homes.
// They also exchange their loads: at regular intervals, and at once when a prompt will occupy an endpoint for long.
//
// A Table records for each endpoint the requests and prompt tokens that this gateway has in flight there, the load that the
// endpoint last reported, whether it is cold, and how its last attempts ended. An endpoint that failed is probed with single
// requests after increasing back-off times. An endpoint whose error rate is above that of the other endpoints gets fewer
// requests.
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
