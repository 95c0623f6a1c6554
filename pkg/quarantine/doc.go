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
// # Usage
//
//	t := quarantine.New(quarantine.Settings{})
//	mark := t.Crashed(now, fingerprint, "Endpoint1")
//	switch t.State(now, fingerprint) {
//	case quarantine.Suspect:
//	case quarantine.Quarantined:
//	}
package quarantine
