// Package watchrelay passes on the objects of the platform's store between the gateways of one failure domain, so that the calls to
// the store grow with the number of domains and not with the number of gateways.
//
// The first gateway of a domain in the rendezvous-hash order lists and watches a kind of object at the store itself and keeps a
// log of the changes. The others watch that gateway over HTTP, or the second one if the first does not answer, and the store itself if
// neither does. A gateway serves a kind only while its own last answer of the store is recent: a reader that is cut off from the store
// is left within MaxAge, and one that is frozen within the time limit of a call. The time limit of a call and MaxAge together
// bound how much later a change is seen than by a watch of the store.
//
// A relay never merges what two readers say: each answer is relative to a revision of the store, and a position that the log does
// not reach is a gap, after which the objects are listed again. The follower ignores revisions that decrease, as with the store
// itself. The package does not decode objects and does not write any.
//
// # Usage
//
//	relay := &watchrelay.Relay{Leaders: registry, Port: port, Calls: calls, Log: log}
//	configurations := relay.Source("Configuration", time.Second, store)
//	mux.Handle(watchrelay.Path, relay)
package watchrelay
