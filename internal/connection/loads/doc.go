// Package loads exchanges the load of endpoints between the gateways of a site. An endpoint reports its own load only with its
// responses, so that report is stale when it matters most: while long prompts wait there. A gateway also sends which endpoints are
// cold (for gateways that have lost the platform's store), its weight version floors, and which long prompt parts are cached by the
// endpoints that it follows.
//
// A gateway sends its whole state in one datagram to each other gateway: at short intervals while it has load to report, and at long
// ones while it has none. Large load changes are sent at once, in a datagram that covers only the endpoints concerned. A lost
// datagram is made up for by the next one, and state that is not renewed expires. Datagrams are msgpack maps with Pascal-case names;
// a datagram that cannot be decoded is dropped and counted.
//
// The package makes no decisions about endpoints. The send interval grows with the number of gateways, so that the cost for each of
// them stays the same. Where it would exceed the age at which a report expires, a gateway sends only to those of its own failure
// domain.
//
// # Usage
//
//	e := &loads.Exchange{Name: "Gateway1", Address: addr, Peers: registry, Table: table, Log: log}
//	go func() { ended <- e.Run(ctx) }()
package loads
