// Package loads exchanges the load of endpoints between the gateways of a site. An endpoint reports its own load only with its
// responses, so that report is stale when it matters most: while long prompts wait there. A gateway also sends which endpoints are
// cold (for gateways that have lost the platform's store), its weight version floors, which long prompt parts are cached by the
// endpoints that it follows, and which saves of parts it requested.
//
// A gateway sends its state in one full message to each other gateway of its failure domain: at short intervals while it has load or a
// cold endpoint to report, and at long ones while it has neither. What does not fit into one datagram is left out. The start and the end
// of a long prompt are sent at once, in an urgent message that covers only the endpoints concerned. One gateway of each domain, the
// first by a hash among those that are heard, speaks for it: it sends summaries with the sums of the domain to one gateway of each other
// domain, drawn anew each time, which passes them on within its own. The cost for a gateway thus grows with the size of its domain and
// the number of domains, not with the number of gateways. Two speakers at a time do no harm, since a summary replaces the last one of its
// domain.
//
// A lost message is made up for by the next full one, and loads and cached parts that are not renewed expire. A message is a msgpack
// map with Pascal-case names, in which the hash of its ID stands for an endpoint; a datagram that cannot be decoded is dropped and
// counted. The package makes no decisions about endpoints.
//
// # Usage
//
//	e := &loads.Exchange{Name: "Gateway1", Address: addr, Domain: domain, Peers: registry, View: registry, Table: table, Log: log}
//	go func() { ended <- e.Run(ctx) }()
package loads
