// Package registry maintains a gateway's snapshot of the site, on which it bases its decisions. It follows the platform's
// store: the configuration, the endpoints, the evacuated failure domains, the weight versions, and the objects that gateways
// share.
//
// Each kind has one follower, which lists the kind once and then watches it. It lists again when the store has lost the
// watch history or a watch returns a lower revision than before. An object is replaced only by a later revision, and the
// configuration only by a higher version. During an outage of the store the snapshot stays unchanged while the followers
// retry. The heartbeat objects of the gateways have no follower; they are listed periodically. These lists may be seconds old. One that is up
// to date is made for ListGateways only. PresentSince tells since when this gateway is on each such list.
//
// A ready endpoint that is missing after an outage is kept until MissingTime after the store answered again, since the object of a live
// endpoint that expired during the outage is written again within about two seconds.
//
// # Usage
//
//	r := &registry.Registry{Name: "Gateway1", Configurations: ..., Endpoints: ..., Shared: ..., Log: log}
//	go func() { ended <- r.Run(ctx) }()
//	snapshot := r.Current()
package registry
