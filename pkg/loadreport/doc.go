// Package loadreport keeps what an endpoint states about its load: the requests there, its slots, and how slow its machine is at the moment.
//
// The load that it addresses: servers that share their machines with others, so that the same work takes several times longer on one than
// on another, and which differ within a second. The stated slowness changes many times a second. It is averaged over time, so that a jump of
// the figure does not make all gateways move at once, and decays to the usual value as it grows old. Requests are counted once, though
// the own account, the other gateways' reports and the endpoint's statement all count them.
//
// The package does no input or output and reads no clock. A Report is not safe for concurrent use.
//
// # Usage
//
//	var r loadreport.Report
//	r.Observe(now, loadreport.Statement{Running: 4, Waiting: 1, Slots: 6, Slowness: 180}, own)
//	wait := queueTime(r.Occupancy(now, own, peers), r.Slots()) * r.Slowness(now)
package loadreport
