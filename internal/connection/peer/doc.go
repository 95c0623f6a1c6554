// Package peer connects entries with the processes that take their configuration from them: other entries, agents and
// the operators' command line. Server is the side that an entry runs on its peer address, Client the side of a
// subscriber.
//
// After the greeting both sides behave alike. A side whose version in force rises above the other's announces it with
// a ConfigPush without content; the other side asks with ConfigWant on one of its connections, and gets the content.
// A process with two connections therefore receives the content once. The answer to ConfigWant is the difference from
// the version that it names if the answering side knows it, and else the whole content, which Version 0 asks for. A push with content is offered to the
// configuration whether it was asked for or not, which is how the command line spreads an accepted version itself. The
// server also sends an empty ConfigPush each second as a heartbeat; the client pings every ten seconds.
//
// Mark messages go to every other connection of the process, once for each mark, so that they reach all entries over
// any connected set of subscriptions.
//
// Connections, queues and the content under way are bounded. A peer that does not take its messages in time is
// dropped and may connect again.
//
// # Usage
//
//	marks := &peer.Relay{OnMark: table.Add}
//	s := &peer.Server{Name: name, FailureDomain: domain, Config: tracker, Marks: marks, Log: log}
//	err := s.Run(ctx, listener)
package peer
