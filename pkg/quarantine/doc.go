// Package quarantine remembers which requests were running when an endpoint crashed.
//
// A fingerprint that was running when one endpoint crashed is a suspect: at most one suspect runs on an endpoint, so
// that the next crash names it. After crashes on Endpoints (2) different endpoints it is quarantined and refused until
// the mark expires. Marks are spread by their owners and merged: the union of the endpoints and the later expiry.
//
// The table is bounded. When it is full, the suspect that expires first makes room, and a quarantined fingerprint only
// if there is no suspect. The package reads no clock and is not safe for concurrent use.
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
