// Package operator implements the commands of primrosectl: it changes the accepted configuration and reports the state of
// a deployment.
//
// # Acceptance
//
// A change reads the object Config/Current, builds the next deployment, checks it and writes it with a conditional
// update. The value of the successful write is the accepted configuration; its object version is the configuration
// version. A command that loses the race reports the winner and the winner's changes, and the operator runs it again.
// After a write whose response is lost, the object is read again: the value contains the operator and the time, which show
// whether it is this command's value or another's. Retrying a conditional update is safe, since at most one of the
// attempts matches the expected version.
//
// # Distribution
//
// After acceptance the version is pushed to the entries of the old and of the new deployment over package wire, so
// that it reaches them even if a platform outage begins right after acceptance. A push is Hello, then ConfigPush with
// the stored value, then Ping; the peer responds with Load, which carries the version in force there. Waiting sends Ping
// until every entry and agent reports the version.
//
// # Outcomes
//
// Each command ends with an outcome of type Code, which is the exit code of primrosectl.
//
// The package routes no requests and keeps no state between commands.
//
// # Usage
//
//	o := &operator.Operator{Platform: platform.New(addr), Name: "ada"}
//	report, err := o.LeaveDomain(ctx, "South", operator.Options{Wait: true})
//	os.Exit(int(operator.CodeOf(err)))
package operator
