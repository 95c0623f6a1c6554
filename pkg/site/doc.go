// Package site has the types of a gateway's snapshot of its site: the configuration in force, the endpoints, the failure
// domains that operators have evacuated, and the weight versions that are to be served.
//
// Values are replaced as a whole and never modified after publication, so that a request has one consistent snapshot from its
// admission to its end. The package does no input or output and reads no clock.
//
// # Usage
//
//	c := site.NewConfiguration(version, routes, services, organisations, limits)
//	route, ok := c.Match("host.example", "/prefix/rest")
//	organisation, ok := c.Organisation(credential)
package site
