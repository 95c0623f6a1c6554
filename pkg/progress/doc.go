// Package progress decides when an endpoint that has requests in flight has fallen silent, and in which order its requests are
// released.
//
// The load that it answers: some of the engines stop sending without closing their connections, a few seconds' worth of requests wait
// for them, and each of these callers would wait until its deadline. An engine that works sends something all the time, to one
// gateway or another: first tokens, events, load reports, cache events. An endpoint is therefore doubtful once it has sent nothing to
// any gateway for longer than the work in flight explains: the time that was expected until the first token, or several times the
// usual pause between two events. A doubtful endpoint is asked for a sign of life, and only one that does not answer is silent. A
// slow but sound engine answers and keeps its streams, whatever its pace.
//
// Silence is no proof of a crash: a sound engine may send nothing for a second or so and go on. So it decides at once where new requests go, later
// which requests in flight go on elsewhere, since each of them draws on the retry budget and runs twice if the endpoint is sound, but it ends
// none.
//
// The package does not measure, call or cancel anything, and reads no clock.
//
// # Usage
//
//	rule := progress.Rule{}
//	if rule.Doubtful(now, progress.Endpoint{HeardAt: heard, Attempts: attempts}) {
//		// Ask the endpoint; if it does not answer until rule.ReleaseAt:
//		for _, i := range progress.ReleaseOrder(now, attempts) { ... }
//	}
package progress
