// Package entry is the agent's side of the connections from entries: a TCP server for the protocol of package wire.
//
// Each side sends Hello first. A connection carries many streams. A Submit or a Call starts a stream, and its answers
// carry the number of the stream. Cancel, and the end of the connection, cancel the context of the streams. A peer that
// sends invalid or unexpected messages is disconnected; other connections are not affected.
//
// Answers are buffered up to BufferBytes per connection. An entry that falls further behind, or takes longer than
// WriteTimeout for one write, is disconnected: its streams can be resumed, while waiting for it would delay the runs of
// other entries.
//
// The package makes no decisions about requests; the Handler does.
//
// # Usage
//
//	s := &entry.Server{Name: "Endpoint1", Handler: agent, Configuration: tracker, Log: log}
//	err := s.Serve(ctx, listener) // when ctx is done, sends Goodbye on each connection and returns
package entry
