// Package ring places 64-bit keys on endpoints by consistent hashing and lists further endpoints for each key in an order
// of preference that names distinct failure domains first.
//
// Every process that builds a ring from the same domains and endpoints gets the same lists, so entries agree on the
// candidates of a prompt without talking to each other. Adding or removing an endpoint moves only the keys of that
// endpoint, or of its failure domain as far as the domain's capacity changed.
//
// The order has two levels. Weighted rendezvous hashing orders the failure domains by their capacity. Inside a domain,
// each endpoint has PointsPerWeight points on a circle, and a key takes the endpoints that follow its position. The walk
// takes the first endpoint of each domain, then the second of each, and so on.
//
// A domain that returned is ramped: at share w of its ramp time it takes part for the share w of the keys. For the other
// keys it comes after all other domains. A key that the returning domain gained stays gained, since the share only grows.
//
// The package knows neither the load nor the health of endpoints. A Ring is immutable and safe for concurrent use; time
// is passed in.
//
// # Usage
//
//	r := ring.New(domains, endpoints)
//	candidates = r.Append(candidates[:0], key, time.Now(), 4)
//	first := r.Endpoint(candidates[0]).Name
package ring
