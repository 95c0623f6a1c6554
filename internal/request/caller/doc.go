// Package caller serves the HTTP requests of callers: completions, chat completions, the list of models and calls of plain
// services. docs/http.md is the interface.
//
// A request is authenticated, admitted by the token bucket of its organisation, read within limits, routed by package
// routing and sent to an agent. A prompt that an agent refuses goes to the next candidate; one whose stream breaks is
// resumed at another endpoint after the tokens that the caller has, so that none is repeated and none is missing. Every
// further attempt takes from the retry budget, except after refusals of agents that stop as planned or have another
// configuration, and after failed dials: those cost no engine any work. A prompt under which two endpoints crashed is refused.
//
// A call that may not be repeated goes to the owner of its shard. It is tried elsewhere only after a refusal that says "not
// run", or when certainly no byte of it was sent.
//
// Each refusal carries an outcome and a reason; one table gives the status of each reason. A stream that cannot be completed
// ends with an error event and without [DONE].
//
// The package holds no credentials, only their hashes, and logs neither. It opens no connections itself.
//
// # Usage
//
//	h := &caller.Handler{Name: "Entry1", FailureDomain: "Domain1", Agents: agents, Loads: loads, Log: log}
//	h.Apply(version, deployment)
//	server := &http.Server{Handler: h}
//	cut := h.Drain(ctx)
package caller
