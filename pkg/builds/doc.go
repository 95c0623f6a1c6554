// Package builds keeps each resumable stream at the build that began it.
//
// A build is a version of the software of a service's endpoints. Endpoints of several builds may serve side by side, and what two builds
// write does not fit together, so that a stream may be resumed only at the build that wrote its first event. The caller that takes up a
// stream states the ID of the request that brought that event, but not the build, and it may reach any gateway, also one that has just
// started.
//
// Plan therefore determines the build of a stream without a record for each: it assigns the hash of the prompt, or of the request ID, to a
// build, in proportion to the endpoints. All gateways share one plan, which changes only when builds come and go. Book holds what one
// gateway knows: the plan, its own streams, and the reports of the others. When a plan moves streams to another build, each gateway reports
// the streams that it had begun under the plans before and that the new plan would look for at the wrong build. Until all gateways have
// reported, and after the restart of one whose streams are lost, the build of a stream that was moved is unknown; a stream that was not
// moved is always known. A stream that begins without a plan is reported before.
//
// If the plan can't be confirmed, or reports are missing, the other gateways are asked. Finding.Resolve decides by what they answer, each from its
// own Book by Began and Complete.
//
// The package does no input or output and reads no clock. It does not store the plan and the reports; package buildplan does.
//
// # Usage
//
//	book := &builds.Book{}
//	book.SetPlan(now, plan)
//	build, ok := book.Begin(now, stream)
//	build, knowledge, wait := book.TakeUp(now, stream)
//	build, knowledge := finding.Resolve(&answers)
package builds
