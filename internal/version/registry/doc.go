// Package registry keeps the snapshot of the site that a gateway decides by. It follows the platform's store: the
// configuration, the endpoints, the evacuated failure domains, the weight versions, and the objects that gateways share.
//
// Each kind has one follower: it lists the kind once, then watches it, and lists again when the store has lost the history
// or a watch went back. What was learned never goes back: an object is replaced only by a later revision, the configuration
// only by a higher version. An outage of the store changes nothing; a follower keeps what it has and tries again.
//
// An endpoint that is missing shortly after an outage is kept for MissingTime, since entries that lapsed during the outage
// come back within about two seconds.
//
// # Usage
//
//	r := &registry.Registry{Name: "Gateway1", Configurations: ..., Endpoints: ..., Shared: ..., Log: log}
//	go func() { ended <- r.Run(ctx) }()
//	snapshot := r.Current()
package registry
