// Package engine is an HTTP client of the model engine that runs beside an agent.
//
// The HTTP interface of an engine is (JSON bodies with Pascal-case fields):
//
//	POST   /generate              Request; responds with a server-sent event stream of "accepted", "tokens" and "end"
//	                              events; 429 when the engine cannot accept another run; 409 when Version is not loaded
//	DELETE /generate/{RequestID}  cancels a run; 404 if there is none
//	GET    /health                Health, current
//	GET    /load                  LoadReport, a few seconds old
//	GET    /cache/events?After=n  CacheEvents after sequence number n; they are delayed, and some may be missing
//	GET    /cache/blocks/{ID}     exports a block: its bytes and headers Version and Checksum; 404 if it was evicted
//	PUT    /cache/blocks/{ID}     imports a block with headers Version and Checksum; 409 for another version, 507 if full
//	POST   /orders                Order; 409 for an old Epoch if the engine checks fencing tokens
//
// A 503 means that the engine is restarting. A run is cancelled when its connection closes. A stream that ends without
// an "end" event was interrupted; if the next Health has another Incarnation, the engine crashed.
//
// A request carries the identities of its prompt's cache blocks; the engine uses them as opaque cache keys. Package prefix
// derives them so that two organisations or two weight versions never share an identity.
//
// # Usage
//
//	c := engine.New(addr)
//	h, err := c.Health(ctx)
//	run, err := c.Generate(ctx, engine.Request{...})
//	defer run.Close()
//	event, err := run.Next() // engine.Tokens, and engine.End as the last event
package engine
