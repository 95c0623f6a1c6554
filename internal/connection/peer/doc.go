// Package peer connects an entry with the processes that get their configuration from it: other entries, agents and the
// operators' command line. Server is the side of an entry, which listens on the peer address. Client is the side of a
// subscriber.
//
// After the handshake both sides behave in the same way, except for heartbeats, pings and the silence after which they
// disconnect. When the version in force at one side rises above that of the other, the first side announces it with a
// ConfigPush without content. The other side requests the content with ConfigWant on one of its connections, so that a
// process with two connections receives the content once. ConfigWant contains the version that the requesting side has,
// or 0 to request the whole content. The response is the difference from that version, or the whole content if that
// difference is not available or the version is 0. A push with content is offered to the Config even if it was not
// requested; the command line distributes an accepted version in this way. The server also sends a ConfigPush without
// content each second as a heartbeat. The client sends a Ping every ten seconds.
//
// A Mark message is forwarded to all other connections of the process, once until the mark expires, so that it reaches
// all entries over any connected set of subscriptions.
//
// A server limits the numbers of its connections and of contents being sent at the same time. Both sides limit the number
// of queued messages of a connection. A peer that does not read its messages in time is disconnected and may connect
// again.
//
// # Usage
//
//	marks := &peer.Relay{OnMark: table.Add}
//	s := &peer.Server{Name: name, FailureDomain: domain, Config: tracker, Marks: marks, Log: log}
//	err := s.Run(ctx, listener)
package peer
