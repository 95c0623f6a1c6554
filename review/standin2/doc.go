//go:build review

// Command standin2 plays the cases of the second review that are scripts. It starts real gateways as processes, as the deploy file says, and
// plays their surroundings itself: the platform's store, servers, KV stores and clients, all on loopback addresses and the real clock.
//
// The exit code is 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment, the
// same is played without the disruption.
//
// # Usage
//
//	standin2 CASE FOLDER
//
// CASE is the name of a case. What was sent, answered and run is written to record.txt in FOLDER.
package main
