// Package buildplan keeps the plan of builds and the reports of streams in the platform's store.
//
// Every gateway runs a Planner. When the endpoints of a service with resumable streams change their builds, the gateways propose the next
// plan, the first one in the rendezvous-hash order at once and each other one later, so that mostly one of them writes. After a change of
// the plan each gateway writes which of its streams the plan would look for at the wrong build. In steady state a Planner makes no calls.
// Package builds has the decisions; the registry passes on what it reads.
//
// # Usage
//
//	p := &buildplan.Planner{Name: name, View: registry, Objects: shared, Book: book, Log: log}
//	go func() { ended <- p.Run(ctx) }()
package buildplan
