// Package scenario runs scripted scenarios against the real programs on loopback, each program as its own process.
//
// A scenario is a testscript script in testdata/scripts. It may use the following commands in addition to the standard ones:
//
//	system [entries=N] [models=N] [orders=N] [stores=N] [fencing=on|off]
//	                               starts the stand-ins, applies a configuration, and starts entries and agents
//	start NAME, sigkill NAME, sigstop NAME, sigcont NAME
//	                               start or signal a process, given by its name in the configuration, or a stand-in:
//	                               platform, weights, Model1.engine, Order1.service, Store1
//	sigterm NAME                   sends SIGTERM; fails unless the process exits with 0
//	ready NAME                     waits until the process is ready
//	fault NAME JSON                adds a fault to a stand-in; "fault NAME clear" removes all faults
//	admin MODEL ROUTE              posts to an admin route of the endpoint's engine, such as "cold"
//	list NAME...                   makes the platform list these instances as live until the next list
//	ctl ARGS...                    runs primrosectl
//	prompt [as=ORG] [via=ENTRY] [max=N] TEXT
//	                               prints "whole=... status=... outcome=... reason=... body=..."; whole reports
//	                               whether the answer is complete and correct
//	stream [as=ORG] [via=ENTRY] [max=N] TEXT
//	                               the same with server-sent events; prints "whole=... done=... status=...", where
//	                               done reports whether the stream ended with [DONE]
//	order [as=ORG] [via=ENTRY] KEY BODY
//	                               sends an order with an idempotency key; prints the same as prompt without whole
//	background prompt|order ARGS   sends without waiting for the answer
//	await                          waits for the oldest background request not yet awaited and prints its answer
//	runs KEY N                     fails unless the order services together ran the order N times
//	posted MODEL|all TEXT N        fails unless the engine, or all engines together, ran the prompt N times
//	written KIND N                 fails unless the platform applied at least N writes of the object kind
//	faults N STAND-IN...           fails unless N faults remain at the stand-ins; a fault with a Count is removed once
//	                               it has occurred that often, unless it is a pause
//	settled MODEL                  fails if the engine has an unfinished run
//	count MODEL, unchanged MODEL   unchanged fails if the engine accepted a run since count
//	foreign N                      fails unless all runs together used N cache blocks that another weight version computed
//	orders MODEL KIND N            fails unless the engine received N orders of the kind, such as LoadVersion, that it
//	                               did not refuse
//	loads N M                      fails unless the weight store served N loads, with at most M at a time
//	twin NAME NEW                  starts a second process, called NEW, with the arguments of NAME
//	retry DURATION COMMAND... [-- TEXT]
//	                               runs a command until it succeeds and its output contains TEXT, and fails after
//	                               DURATION; the command is ctl, prompt, order, runs, posted or orders, or one of those
//	                               that are available with retry only: written, faults, settled and loads
//	sleep DURATION                 lets time pass for faults that need it; results are awaited with retry
//	traffic [prompts [N]]          sends prompts from N callers per entry (2 by default) in the background, and orders
//	                               unless "prompts" is given, spread over the entries as a load balancer does
//	traffic-stop                   stops the traffic without a verdict, so that later lines are checked even if a request failed
//	traffic-end                    stops the traffic; fails if a request failed, an answer was wrong or none was sent
//	excess N                       fails unless the engines together counted N runs beyond their capacity
//
// The package contains tests only; see the scripts for examples.
package scenario
