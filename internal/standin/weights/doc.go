// Package weights is the stand-in of the rate-limited weight store, from which engines load model versions.
//
//	GET /weights/{Model}/{Version}   answers 200 when the load is done
//	GET /ledger                      JSON {Loads, Running, MostAtOnce}; only tests read it
//
// Up to Parallel loads at a time take LoadTime each. More share the same capacity, so that each takes longer.
//
// # Usage
//
//	w := weights.New()
//	http.Serve(listener, w.Handler())
package weights
