// Package wire is the protocol between the system's own processes: entry to agent and entry to entry.
//
// A connection is a TCP stream of frames. A frame is a 4-byte big-endian length, a 1-byte message type and a msgpack
// body whose field names are the Go field names. The length counts the type byte and the body and is at most
// MaxFrameBytes. Each side sends Hello first; a peer that speaks another protocol version is answered with Goodbye
// and the connection is closed. Many streams share a connection; messages of one stream carry its Stream number,
// which the dialing side chooses.
//
// The package does no dialing, no retries and no routing.
//
// # Usage
//
//	c := wire.NewConn(netConn)
//	err := c.Write(wire.Hello{Protocol: wire.ProtocolVersion, Name: "Entry1"})
//	msg, err := c.Read()
//	switch m := msg.(type) {
//	case wire.Hello:
//	case wire.Goodbye:
//	}
package wire
