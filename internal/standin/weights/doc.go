// Package weights is a stand-in for the rate-limited weight store from which engines load model versions.
//
//	GET /weights/{Model}/{Version}   200 once the load is complete
//	GET /ledger                      200 with the JSON of Ledger, for tests
//
// Up to Parallel concurrent loads take LoadTime each. More loads share the capacity of Parallel loads, so that each takes
// longer.
//
// # Usage
//
//	w := weights.New()
//	http.Serve(listener, w.Handler())
package weights
