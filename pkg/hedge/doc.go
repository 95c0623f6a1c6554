// Package hedge decides when a request that may run twice is sent to a second endpoint while the first one still works on it, so that a
// few slow answers do not determine the tail latency.
//
// The load that it addresses: most answers of a route take about the same time, and a few take many times as long, since one endpoint pauses,
// its machine is busy with something else or a packet is lost. A second copy of such a request, a hedge, is usually answered in the ordinary
// time. If all endpoints are slow, since there are more requests than they can serve, the same rule would send every request twice and make
// the shortage worse. Most of the package therefore says when no hedge is sent:
//
//   - A hedge is sent after a high percentile of the recent latencies of the route, so that it concerns the slowest requests only. The
//     percentile is learned; until there are enough samples, and with latencies that differ little, there is no hedge.
//   - The hedges to a service are at most a share of its requests.
//   - There is no hedge while the service is short of capacity: the second endpoint has no free place, endpoints or this gateway refused
//     requests in the last second or two, or the median latency has risen, which a few slow answers do not bring about.
//
// A request gives one latency sample: that of its first copy, if that copy answered. If the copy was cancelled after the hedge was due, its
// latency is unknown but long; it counts as longer than any other, so that cancelled copies never lower the percentile. With more than the
// expected share of them, the percentile rises until hedges become rare and requests run to their end again. The latency of a hedge is no
// sample: a hedge that lost was cancelled and one that won was fast.
//
// The package has neither network nor clock: times are passed in. A Controller is safe for concurrent use.
//
// # Usage
//
//	c := &hedge.Controller{MaxShare: 0.05}
//	c.Request(now, service)
//	w := c.Watch(now, service, route)
//	// After w.Delay without an answer, unless that is 0:
//	w.Overdue()
//	denial, share := w.Hedge(now, hasFreePlace)
//	// At the end of the first copy:
//	w.Answered(now, latency) // or w.Ended(now)
package hedge
