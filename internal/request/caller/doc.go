// Package caller serves the HTTP requests of callers: completions, chat completions, the list of models and calls to plain
// services. The interface is documented in docs/http.md.
//
// A request is authenticated, admitted by the token bucket of its organisation, read within size and time limits, routed by
// package routing and sent to an agent. A prompt that an agent refuses is sent to the next candidate, unless the reason lies in
// the request itself. A prompt whose stream breaks is resumed at another endpoint after the tokens that the caller already has,
// so that the answer has neither repeated nor missing tokens. Each further attempt for a prompt is charged to the retry budget,
// except after an attempt of which no byte was sent and after a refusal because of a planned shutdown, a different
// configuration or the isolation of a suspect: those cost no engine any work. A prompt that has run or may have run on two
// endpoints, at least one of which crashed, is refused. Further attempts for calls that may be repeated are always charged,
// those for calls that must not be repeated never.
//
// A call that must not be repeated is sent to the owner of its shard. It is tried elsewhere only after a refusal with the
// outcome "not run", or when it is certain that no byte of it was sent.
//
// Each failure has an outcome and a reason; one table maps each reason to its HTTP status. A stream that cannot be completed
// ends with an error event and without [DONE].
//
// The package stores only the hashes of credentials, and logs neither credentials nor hashes. It opens no connections itself.
//
// # Usage
//
//	h := &caller.Handler{Name: "Entry1", FailureDomain: "Domain1", Agents: agents, Loads: loads, Log: log}
//	h.Apply(version, deployment)
//	server := &http.Server{Handler: h}
//	remaining := h.Drain(ctx)
package caller
