// Package entry is the agent's side of the connections from entries: a TCP server for the protocol of package wire.
//
// Each side sends Hello first. A connection carries many streams. A Submit or a Call starts a stream, and the responses
// to it carry its stream ID. Cancel ends the context of one stream, the end of the connection that of all its streams.
// A peer that sends invalid or unexpected messages is disconnected; other connections are not affected.
//
// Messages to the entry are buffered up to BufferBytes per connection. An entry that falls further behind, or for which
// one write takes longer than WriteTimeout, is disconnected, since waiting for it would delay the runs of other
// entries. It can continue its runs in new streams (wire.Submit.Given).
//
// The package makes no decisions about requests; the Handler does.
//
// # Usage
//
//	s := &entry.Server{Name: "Endpoint1", Handler: agent, Configuration: tracker, Log: log}
//	err := s.Serve(ctx, listener) // when ctx is done, sends Goodbye on each connection and returns
package entry
