// Package operator does the work of the operators' command line: it changes the configuration in force and reports the
// state of a deployment.
//
// # Acceptance
//
// A change reads the object Config/Current, builds the next deployment, checks it and writes it with a conditional
// update. The write that wins is the accepted configuration; its object version is the configuration version. An
// operator who loses the race is told who won and what the winner changed, and runs the command again. A write whose
// reply is lost is followed by reading the object again: the value names the operator and the time, so it is
// recognised as the operator's own or as another's. A repeated conditional update is harmless, since at most one of
// the attempts finds the expected version.
//
// # Spread
//
// After acceptance the version is pushed to the entries of the old and of the new deployment over package wire, so
// that a platform outage straight after acceptance does not hide it. A push is Hello, then ConfigPush with the stored
// value, then Ping; the peer answers with Load, which carries the version in force there. Waiting repeats Ping until
// every entry and agent reports the version.
//
// # Outcomes
//
// Each command ends in one of the outcomes of type Code, which are the exit codes of the command.
//
// The package routes no requests and keeps no state.
//
// # Usage
//
//	o := &operator.Operator{Platform: platform.New(addr), Name: "ada"}
//	report, err := o.LeaveDomain(ctx, "South", operator.Options{Wait: true})
//	os.Exit(int(operator.CodeOf(err)))
package operator
