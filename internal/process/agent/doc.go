// Package agent implements the process beside an endpoint. Only the agent calls its endpoint, and it is authoritative
// for the endpoint's state: its capacity, its current runs, the weights it serves and the requests that crashed it.
//
// # Prompts
//
// A request from an entry is checked against the configuration, the state of the endpoint, the organisation's rights,
// the weight version and the quarantine, and waits in a fair queue. One goroutine, the dispatcher, takes requests from
// the queue and submits them to the engine one at a time. It submits the next only after the engine has accepted or refused
// the previous one, so that several entries cannot overload an engine that turned cold. Every request that is refused before its
// submission has the outcome NotRun.
//
// # Engine orders
//
// Another goroutine, the reconciler, reads what the engine serves when the configuration changes, when the engine may have
// failed or restarted, and every few seconds. It sends an order if the engine does not serve what the
// configuration says. Requests are refused until it does. An order carries the
// agent's epoch as its fencing token. The listening socket is opened before the epoch is raised and stays open until
// all orders have ended. A paused agent keeps the socket, so its successor sends no orders before the paused agent has
// ended, even to an engine that ignores epochs.
//
// # Shutdown
//
// When the context of Run is done, the agent refuses new requests, notifies the entries and finishes the accepted
// requests within DrainTimeout. Requests that are still running then are cancelled and logged. Abort ends the wait
// early.
//
// # Usage
//
//	a := &agent.Agent{Name: "Endpoint1", Address: addr, Engine: engine.New(e), Platform: p, Configuration: tracker, Log: log}
//	err := a.Run(ctx)
package agent
