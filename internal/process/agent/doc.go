// Package agent composes the process beside an endpoint. The agent is the only one that talks to its endpoint, and the
// truth about it: what it may be given, what runs, what it serves and which requests crashed it.
//
// # A prompt
//
// A request from an entry is checked against the configuration, the state of the endpoint, the organisation's rights,
// the weight version and the quarantine, and waits in a fair queue. One goroutine, the dispatcher, takes requests from
// the queue and submits them to the engine one at a time: the engine's answer to one is known before the next is sent,
// so that several entries can't overrun an engine that turned cold. Every refusal before the submission says "not run".
//
// # The engine
//
// Another goroutine, the keeper, reads back what the engine serves, when the configuration changes and every few seconds,
// and orders what the configuration says if it differs. No work is taken while it differs. An order carries the agent's
// epoch. The listening socket is opened before the epoch is raised and is held until the process ends: a paused agent
// still holds it, so no successor gives orders before its predecessor is gone, even to an engine that ignores epochs.
//
// # The end
//
// When the context of Run is done, the agent takes no new work, tells the entries and finishes what it accepted within
// DrainTimeout. What is then still running is cut off and logged. Abort ends the wait.
//
// # Usage
//
//	a := &agent.Agent{Name: "Endpoint1", Address: addr, Engine: engine.New(e), Platform: p, Configuration: tracker, Log: log}
//	err := a.Run(ctx)
package agent
