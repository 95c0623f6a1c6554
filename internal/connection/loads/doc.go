// Package loads tells the gateways of a site what each of them has under way at the endpoints. An endpoint's own word arrives
// with its answers, so that it is old when it matters: while long prompts wait there. A gateway also tells which endpoints are
// cold, for those that are cut off from the platform's store, which weight versions it has given up, and which long parts the endpoints
// that it follows keep.
//
// A gateway sends its whole state in one datagram to each other gateway, at short intervals while it changes, and what must be known at
// once, that of some endpoints, as it changes. A lost datagram
// is made good by the next one, and what was not renewed counts for nothing after a while. Datagrams are msgpack maps with
// Pascal-case names; one that cannot be read is dropped and counted.
//
// The package decides nothing about endpoints. With many gateways the interval grows, so that the cost for each of them stays the
// same; where it would grow beyond the age at which a word counts for nothing, only gateways of the same failure domain are told.
//
// # Usage
//
//	e := &loads.Exchange{Name: "Gateway1", Address: addr, Peers: registry, Table: table, Log: log}
//	go func() { ended <- e.Run(ctx) }()
package loads
