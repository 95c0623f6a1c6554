// Package agent maintains an entry's connections to agents, over the protocol of package wire.
//
// A connection is dialed when the first request needs it. Both sides exchange Hello; a different protocol version or
// an unexpected name fails the dial. A connection carries many streams and is closed after IdleTimeout without one.
//
// While streams are open and nothing arrives, the agent is pinged every HeartbeatInterval. An agent is considered down
// if a dial fails, if its connection breaks, or if it sends nothing for PeerTimeout while streams are open: requests
// that were sent end with ErrMayHaveArrived and queued ones with ErrNotSent, the load state of the agent becomes down,
// and it is dialed again with back-off until the exchange of Hello succeeds or ProbeTime has passed. Meanwhile every new
// request to it fails at once with ErrNotSent.
//
// Every error is marked by whether the request may have been sent. ErrNotSent means that no byte of it was written to
// the connection; after ErrMayHaveArrived the agent may have received it. A request waits in the send queue of its
// connection until either the writer takes it or it is withdrawn; an atomic state ensures that only one of the two
// happens.
//
// Each stream has a bounded buffer. If the reader falls so far behind that the buffer is full, the run is cancelled and
// Next returns ErrSlowReader. Messages that do not belong to an open stream, or that are out of order, are dropped and
// counted. Tokens that were already delivered are removed from a message, and a gap in the tokens ends the stream with
// ErrGap, so that an answer never lacks tokens unnoticed.
//
// Load states, crash marks and configuration versions that arrive are passed on. If the configuration versions of the
// two sides differ, the entry announces its own version or requests the agent's configuration. The package decides
// neither where a request goes nor whether it is retried.
//
// # Usage
//
//	p := &agent.Pool{Name: "Entry1", Loads: loads, Config: tracker, Log: log}
//	go p.Run(ctx)
//	stream, err := p.Submit(ctx, agent.Target{Name: "Model1", Address: addr}, submit)
//	if errors.Is(err, agent.ErrNotSent) { ... }
//	for {
//		m, err := stream.Next(ctx) // Accepted, Tokens, End or Refused
//	}
package agent
