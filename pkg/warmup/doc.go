// Package warmup decides how many runs an engine may be given while it warms up.
//
// An engine that started or restarted a moment ago bears only a few runs at a time. The allowance starts at ColdLimit
// and grows by one with each first token that arrives in time, up to BatchLimit. An engine whose incarnation changed
// is cold at once, and runs of its earlier incarnations no longer count.
//
// The allowance is also bounded by the capacity that the engine reported, and a submission needs a recent sign of the
// engine's incarnation. The caller must submit one run at a time: only then does each answer, which is a sign, arrive
// before the next submission.
//
// The package reads no clock and is not safe for concurrent use.
//
// # Usage
//
//	a := warmup.New(warmup.Settings{BatchLimit: 16, ColdLimit: 2})
//	if a.NeedsSign(now) {
//		a.Observe(now, warmup.Sign{Incarnation: h.Incarnation, Warm: h.Warm, Capacity: h.Capacity, Running: h.Running})
//	}
//	if a.Free() > 0 {
//		// submit, then a.Accepted(now, incarnation), a.FirstToken(...) and a.Ended(...)
//	}
package warmup
