// Package warmup limits the number of concurrent runs on an engine while the engine warms up.
//
// An engine that has just started or restarted can serve only a few runs at a time. Its allowance, the number of
// concurrent runs, starts at ColdLimit and grows by one with each first token that arrives in time, up to BatchLimit.
// It rises to BatchLimit at once when the engine reports that it is warm. An engine whose incarnation changed counts as
// cold at once, and runs of its earlier incarnations no longer count.
//
// The allowance is also limited by the capacity that the engine reported, and a submission needs a recent message from the
// engine. A message names the engine's incarnation; it is a status report or the acceptance of a run. The caller must
// submit one run at a time, so that the engine's response to each submission, which is such a message, arrives before the
// next submission.
//
// Rate limits the requests per second to a cold endpoint that several processes use.
//
// The package reads no clock and is not safe for concurrent use.
//
// # Usage
//
//	a := warmup.New(warmup.Settings{BatchLimit: 16, ColdLimit: 2})
//	if a.NeedsReport(now) {
//		a.Observe(now, warmup.Report{Incarnation: h.Incarnation, Warm: h.Warm, Capacity: h.Capacity, Running: h.Running})
//	}
//	if a.Free() > 0 {
//		// submit, then a.Accepted(now, incarnation), a.FirstToken(...) and a.Ended(...)
//	}
package warmup
