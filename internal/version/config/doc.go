// Package config tracks the configuration in force. The platform object Config/Current holds the configuration, and its
// object version is the configuration version. A Tracker learns of new versions from the platform, from peers and from
// pushes on any connection. It accepts a version only if it is higher than its latest one and the content is valid.
// The version in force therefore never decreases; an invalid version is logged and the last valid one stays in force.
//
// In each failure domain only the first WatchersPerDomain entries, in rendezvous order, watch the platform; these are
// the watchers. Every other process subscribes to two peers: an entry to entries that precede it in the order of its
// domain, an agent to any entries of its domain. Watchers subscribe to watchers of the next two domains, so that a
// version pushed to a single entry reaches all processes while the platform is down. A process that receives no
// heartbeat for two seconds reads the platform directly, with jitter and at most once every 6 s.
//
// Peers send a version as a delta from the preceding one. A delta carries a checksum of its result; a process that
// cannot apply it requests the whole content.
//
// A process starts without a configuration: Current returns nil until the platform has responded or, if the platform
// fails, until BootstrapPeers distinct peers have reported the version that they have in force. The highest version
// received comes into force.
//
// # Usage
//
//	t := &config.Tracker{Name: name, FailureDomain: domain, Platform: client, Peers: seeds, Log: log}
//	go func() { done <- t.Run(ctx) }()
//	<-t.Ready()
//	for {
//		changed := t.Changed()
//		apply(t.Current())
//		<-changed
//	}
package config
