// Package tiering decides which parts of a prompt an engine fetches from KV stores, and which ones it saves there.
//
// A part has a fixed order of stores: small parts prefer stores with little delay before a transfer, large ones those with
// much room, and among equals a hash spreads the parts by capacity. A part is fetched from the first store of its order that
// is known to hold it whole; if none does, it is saved to the first one with room. A part is of use only if all parts before
// it are at hand, so that nothing is fetched after a part that must be read.
//
// Stores that never drop anything by themselves keep parts of weight versions that are no longer served. Retired tells when
// such parts may be freed by the time alone: when no gateway, however old its view, may still let an engine fetch them. Floors
// tells it sooner: when all gateways have said that they gave the version up, and the fetches that they began before are over.
//
// The package does no input or output and reads no clock; times are passed in.
//
// # Usage
//
//	order := tiering.Order(stores, part)
//	actions := tiering.Plan(stores, parts, catalog)
package tiering
