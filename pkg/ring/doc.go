// Package ring places 64-bit keys on endpoints by consistent hashing. For each key, it lists further endpoints in an order of
// preference that takes distinct failure domains first.
//
// Processes that build a ring from the same domains and endpoints get the same lists for the same time, so entries agree on the
// candidates of a prompt without communication. Adding or removing an endpoint moves only the keys of that endpoint and, since the
// capacity of its failure domain changes, some keys between that domain and the others.
//
// The order has two levels. Weighted rendezvous hashing orders the failure domains by their capacity. Inside a domain, each
// endpoint has PointsPerWeight points on a circle for each unit of its weight, and a key takes the endpoints that follow its
// position. The list has the first endpoint of each domain, then the second of each, and so on.
//
// A domain that has returned to service is ramped up: after the fraction w of its ramp time, it takes part for the fraction w
// of the keys. For the other keys it comes after all domains that do take part. During a ramp the domain never loses a key
// that it has gained, since its share only grows.
//
// The package takes neither the load nor the health of endpoints into account. A Ring is immutable and safe for concurrent use. The
// current time is a parameter.
//
// # Usage
//
//	r := ring.New(domains, endpoints)
//	candidates = r.Append(candidates[:0], key, time.Now(), 4)
//	first := r.Endpoint(candidates[0]).Name
package ring
