// Package quarantine records which requests, identified by a fingerprint, were running when an endpoint crashed.
//
// A fingerprint that was running when one endpoint crashed is a suspect. The caller should run at most one suspect on an
// endpoint at a time, so that a further crash can be attributed to it. After crashes of CrashThreshold (by default 2)
// different endpoints, the fingerprint is quarantined: it is refused until its mark expires. Processes send their marks to
// each other and merge them: the result has the union of the endpoints, up to 8 of them, and the later expiry.
//
// The table is bounded. When it is full, expired marks are evicted, else the suspect that expires first, and a quarantined
// fingerprint only if there is no suspect. The package reads no clock and is not safe for concurrent use.
//
// # Requests
//
// Requests is the same decision for processes that share evidence through a store which may be away, and for requests that many callers
// send, which are there when endpoints crash for other reasons. It counts successive crashes, of which each hit a run that began after the
// one before was seen or known, and a run that ends well clears what is known. It does not find out whether an endpoint has crashed, and
// writes nothing itself: Due returns what is to be written, Written takes the result.
//
// # Parts of prompts
//
// Requests that crash endpoints need not be alike: they may share one part of their prompts, whatever else they hold. Judge decides
// which parts are quarantined, from the crashes of endpoints and the parts of the prompts there whose answers had not begun. An answer
// that begins on a part clears it. Each crash is explained by one part, the deepest of which the crashes suffice, so that the parts
// that others share with it stay free. Crashes at the same time count once, those of cold endpoints half. A part is quarantined for the
// organisation whose prompts were there, and for all if those of three organisations were, so that one organisation cannot have a
// part of another refused. The parts are those that the callers state.
//
// Judge considers the latest 64 crashes with 192 candidates each.
//
// # Usage
//
//	t := quarantine.New(quarantine.Settings{})
//	mark := t.Crashed(now, fingerprint, "Endpoint1")
//	switch t.State(now, fingerprint) {
//	case quarantine.Suspect:
//	case quarantine.Quarantined:
//	}
//
//	r := quarantine.NewRequests(quarantine.RequestSettings{})
//	known := r.Known(fingerprint, shared)
//	if known.Count() >= r.Limit(fingerprint) {
//		// refuse the request
//	}
//	r.Crashed(now, quarantine.Run{Fingerprint: fingerprint, Endpoint: "Endpoint1/2", Began: began, Ended: ended, Known: known})
package quarantine
