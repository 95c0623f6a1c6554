// Package platform is a client of the platform's versioned object API. The platform holds the only durable state of the
// system.
//
// The HTTP interface of the platform is:
//
//	GET    /objects/{Kind}/{Name}          200 with header Version and the value; 404
//	PUT    /objects/{Kind}/{Name}          header If-Version (0 creates); 200 with header Version; 409; 413
//	DELETE /objects/{Kind}/{Name}          header If-Version; 200; 404; 409
//	GET    /objects/{Kind}?Prefix=p        200 with a JSON list of Object without values
//	GET    /watch/{Kind}?After=r&Wait=30s  200 with JSON {Events, Revision}; empty after Wait; 410 with the current
//	                                       Revision and no Events if r is too old
//	GET    /instances                      200 with a JSON list of Instance
//
// The response to any call may be 429 (rate limit exceeded) or 503 (outage); such a call had no effect. A write whose
// response does not arrive may have taken effect.
//
// A name is one path segment: slashes in it are escaped. The version of an object also increases when the object is
// deleted and created again, so that a version never denotes two values. Events of one kind are in the order of their
// revisions. An r above the current Revision gets the same response as an r that is too old, since the platform may have been
// restored to an earlier state.
//
// The package neither caches objects nor interprets their values.
//
// # Usage
//
//	c := platform.New(addr)
//	obj, err := c.Get(ctx, "Config", "Current")
//	obj.Value = next
//	version, err := c.Put(ctx, obj) // obj.Version is the expected version
package platform
