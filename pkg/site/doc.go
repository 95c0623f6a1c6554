// Package site holds what a gateway knows of a deployment: the configuration in force, the endpoints, the failure domains
// that operators have taken out, and the weight versions that are to be served.
//
// All types are values that are replaced as a whole and never changed after they were published, so that a request keeps
// one consistent view from its admission to its end. The package does no input or output and reads no clock.
//
// # Usage
//
//	c := site.NewConfiguration(version, routes, services, organisations, limits)
//	route, ok := c.Match("host.example", "/prefix/rest")
//	organisation, ok := c.Organisation(credential)
package site
