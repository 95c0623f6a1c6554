// Package scenario runs scripted scenarios against the real programs, each as a process of its own, on loopback.
//
// A scenario is a script in testdata/scripts in the language of testscript with these commands besides its own:
//
//	system [entries=N] [models=N] [orders=N] [stores=N] [fencing=on|off]
//	                               starts the stand-ins, applies a configuration and starts entries and agents
//	start NAME, sigkill NAME, sigstop NAME, sigcont NAME
//	                               a process by its name in the configuration, or a stand-in: platform, weights,
//	                               Model1.engine, Order1.service, Store1
//	sigterm NAME                   fails unless the process exits with 0
//	ready NAME                     waits until the process is ready
//	fault NAME JSON                sets a fault at a stand-in; "fault NAME clear" ends all
//	admin MODEL ROUTE              posts to an admin route of the endpoint's engine, such as cold
//	list NAME...                   the platform lists these instances as live, until it is told otherwise
//	ctl ARGS...                    runs primrosectl
//	prompt [as=ORG] [via=ENTRY] [max=N] TEXT
//	                               prints "status=... outcome=... reason=... body=..."
//	stream [as=ORG] [via=ENTRY] [max=N] TEXT
//	                               the same with server-sent events; prints "whole=... done=... status=..."
//	order [as=ORG] [via=ENTRY] KEY BODY
//	                               prints the same
//	background prompt|order ARGS   sends without waiting; await prints the answer
//	runs KEY N                     the order services ran the order N times in all
//	posted MODEL|all TEXT N        the engines saw N runs of the prompt
//	written KIND N                 the platform took at least N writes of the kind
//	faults N STAND-IN...           N faults are left; one with a Count ends when it was used
//	settled MODEL                  the engine has no run under way
//	count MODEL, unchanged MODEL   the engine got no run in between
//	foreign N                      runs used N cache blocks of another weight version
//	orders MODEL KIND N            the engine took N orders of the kind, such as LoadVersion
//	loads N M                      the weight store served N loads, at most M at a time
//	twin NAME NEW                  starts a second process with the same arguments
//	retry DURATION COMMAND... [-- TEXT]
//	                               repeats a command until it succeeds and prints TEXT
//	sleep DURATION                 lets time pass for faults that need it; never to wait for a result
//	traffic, traffic-end           prompts and orders in the background on every entry, spread as a load balancer does;
//	                               fails if a request failed or an answer was wrong
//	excess N                       the engines counted N runs beyond what they could bear
//
// The package holds tests only; see the scripts for usage.
package scenario
