// Package loads tells the gateways of a site what each of them has under way at the endpoints. An endpoint's own word arrives
// with its answers, so that it is old when it matters: while long prompts wait there.
//
// A gateway sends its whole state in one datagram to each other gateway, at short intervals while it changes. A lost datagram
// is made good by the next one, and what was not renewed counts for nothing after a while. Datagrams are msgpack maps with
// Pascal-case names; one that cannot be read is dropped and counted.
//
// The package decides nothing. With many gateways the interval grows, so that the cost for each of them stays the same.
//
// # Usage
//
//	e := &loads.Exchange{Name: "Gateway1", Address: addr, Peers: registry, Table: table, Log: log}
//	go func() { ended <- e.Run(ctx) }()
package loads
