// Package tiering decides which parts of a prompt an engine fetches from KV stores, and which ones it saves there.
//
// Each part has a fixed order of stores. Small parts prefer stores with a short delay before a transfer, large parts those
// with a large capacity, and weighted rendezvous hashing spreads the parts over otherwise equal stores. A part is fetched
// from the first store in its order that is known to contain all of it. If there is none, the part is saved to the first
// store with room, unless it is already being saved. An engine can use a part only if it has all parts before it, so no
// part is fetched after one that the engine must prefill. Saves sees to it that no part is fetched while an engine may still begin to save
// it: the store may have restarted, so that the part is being written.
//
// The named version of a model is the weight version that the platform says is to be served. Stores that never evict parts
// by themselves would retain the parts of earlier versions for ever. Retired decides by elapsed time alone when such parts
// may be freed: when no gateway, however stale its snapshot, may still let an engine fetch them. Floors allows it earlier: when
// all gateways have reported that they no longer use the version, and the fetches that they started before have ended.
//
// The package does no I/O and reads no clock: times are passed in.
//
// # Usage
//
//	order := tiering.Order(stores, part)
//	actions := tiering.Plan(stores, parts, catalog)
package tiering
