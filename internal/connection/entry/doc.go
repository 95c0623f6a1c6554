// Package entry is the agent's side of the connections from entries: a TCP server of package wire.
//
// Each side sends Hello first. A connection carries many streams; a Submit or a Call starts one, and its answers go back
// with the stream's number. Cancel and the loss of the connection cancel the context of the streams. A peer that sends
// anything that does not belong here loses its connection and nothing else.
//
// Answers are buffered up to BufferBytes for each connection. An entry that reads slower than that, or takes longer
// than WriteTimeout for one write, is disconnected: its streams can be resumed, while waiting for it would hold runs
// of other entries up.
//
// The package decides nothing about requests; that is up to the Handler.
//
// # Usage
//
//	s := &entry.Server{Name: "Endpoint1", Handler: agent, Configuration: tracker, Log: log}
//	err := s.Serve(ctx, listener) // ends with Goodbye on each connection after ctx is done
package entry
