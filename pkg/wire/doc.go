// Package wire defines the protocol between the processes of the system: between entries and agents, among entries, and
// from operators' commands to entries and agents.
//
// A connection is a TCP stream of frames. A frame is a 4-byte big-endian length, a 1-byte message type and a msgpack
// body whose field names are the Go field names. The length counts the type byte and the body and is at most
// MaxFrameBytes. Each side sends Hello first. A peer with another protocol version receives Goodbye, and the connection
// is closed. A connection multiplexes many streams: the messages of a stream have its number in their Stream field. The
// dialing side chooses the number.
//
// The package does not dial, retry or route.
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
