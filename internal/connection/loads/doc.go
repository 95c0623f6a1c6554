// Package loads exchanges the load of endpoints between the gateways of a site. An endpoint reports its own load only with its
// responses, so that report is stale when it matters most: while long prompts wait there. A gateway also sends which endpoints are
// cold (for gateways that have lost the platform's store), its weight version floors, and which long prompt parts are cached by the
// endpoints that it follows.
//
// A gateway sends its state in one full message to each other gateway: at short intervals while it has load or a cold endpoint to
// report, and at long ones while it has neither. What does not fit into one datagram is left out. The start and the end of the prefill
// of a long prompt are sent at once, in an urgent message that covers only the endpoints concerned. A lost message is made up for by
// the next full one, and loads and cached parts that are not renewed expire. A message is a msgpack map with Pascal-case names; a
// datagram that cannot be decoded is dropped and counted.
//
// The package makes no decisions about endpoints. The send interval grows with the number of gateways, so that the cost for each of
// them stays the same. Where it would exceed the age at which a report expires, a gateway sends only to those of its own failure
// domain, if there are any.
//
// # Usage
//
//	e := &loads.Exchange{Name: "Gateway1", Address: addr, Peers: registry, Table: table, Log: log}
//	go func() { ended <- e.Run(ctx) }()
package loads
