// Package config keeps the configuration in force. The object Config/Current of the platform is the configuration, and
// its object version the configuration version. A Tracker learns of versions from the platform, from peers and from
// pushes on any connection, and takes a version only if it is higher than the one it has and its content is valid.
// The version in force therefore never reverts; an invalid one is logged and the last good one stays in force.
//
// In each failure domain only the first WatchersPerDomain entries watch the platform. Every other process subscribes to
// two peers: entries to the entries before them in the order of their domain, agents to any entries of their domain.
// Watching entries subscribe to those of the next two domains, so that a version that was pushed to one entry reaches
// all while the platform is down. A process that hears no heartbeat for two seconds reads the platform itself, with
// jitter and at most every few seconds.
//
// Between peers a version passes as the difference from the one before. It carries a checksum of its result; a process
// that cannot apply it asks for the whole content.
//
// A process that starts has no configuration and serves none: Current is nil until the platform answered or, if that
// failed, until BootstrapPeers distinct peers told the version that they have in force. The highest one is taken.
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
