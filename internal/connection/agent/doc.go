// Package agent holds an entry's connections to agents, over the protocol of package wire.
//
// A connection is dialed when the first request needs it, greets with Hello, carries many streams and is closed after
// IdleTimeout without one. A wrong protocol version or another name than expected fails the dial.
//
// While streams are open and nothing arrives, the agent is pinged each HeartbeatInterval. An agent that is silent for
// PeerTimeout counts as down: its streams end with ErrMayHaveArrived, its load state becomes down, and it is dialed again
// with back-off until it greets. Meanwhile every new request to it fails at once with ErrNotSent.
//
// Every error tells whether the request may have left. ErrNotSent means that no byte of it was given to the connection;
// after ErrMayHaveArrived the agent may have received it. A request waits in the queue of its connection and is taken out
// of it either by the writer or by the one who gives up, never by both.
//
// Each stream has a bounded buffer. A reader that falls behind loses the stream: the run is cancelled and Next returns
// ErrSlowReader. Messages that don't belong to an open stream, or are out of turn, are dropped and counted; tokens that
// were delivered before are cut off, and a gap in the tokens ends the stream with ErrGap, so that an answer is never
// silently short.
//
// Load states, marks and configuration versions that arrive are passed on; a version difference is settled by pushing the
// own configuration or asking for the other one. The package decides neither where a request goes nor whether it is tried
// again.
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
