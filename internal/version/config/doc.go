// Package config tracks the configuration in force. The platform object Config/Current holds the configuration, and its
// object version is the configuration version. A Tracker learns of new versions from the platform, from peers and from
// pushes on any connection. It accepts a version only if it is higher than its latest one and the content is valid.
// The version in force therefore never decreases; an invalid version is logged and the last valid one stays in force.
//
// In each failure domain only the first WatchersPerDomain entries, in rendezvous order, watch the platform; these are
// the watchers. Every other process subscribes to two peers: an entry to entries that precede it in the order of its
// domain, an agent to any entries of its domain, and both to watchers of other domains if their domain has too few such
// entries. Watchers subscribe to watchers of the next two domains, so that a version pushed to a single entry reaches
// all processes while the platform is down. A process other than a watcher that receives no heartbeat for two seconds
// reads the platform directly, with jitter and at most once every 6 s.
//
// Peers send a version as deltas from the version that the receiver has, or as the whole content if that version is too
// old. A delta carries a checksum of its result; a process that cannot apply it requests the whole content.
//
// A process starts without a configuration: Current returns nil until a valid version has been received and either the
// platform has responded or, if the platform fails, BootstrapPeers distinct peers have reported that the version that
// they have in force is not higher. The highest valid version received then comes into force.
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
