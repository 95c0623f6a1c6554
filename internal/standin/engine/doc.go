// Package engine is a stand-in for the model engine, with the interface that package internal/process/engine states.
//
// It batches continuously: each step decodes one token of every run in the batch and computes a chunk of prompts, in
// order of priority. The answer depends only on the prompt (see Answer), so that a reader can find a token that is
// missing, repeated or from another prompt. It holds a prefix cache in bounded memory with least-recently-used
// eviction.
//
// An engine starts cold: it bears ColdCapacity runs at first and BatchLimit after WarmUpRuns first tokens. A run that
// arrives when the capacity is used up is refused with 429 and counted in Ledger.Excess, since an agent must not let
// that happen. A prompt that contains CrashMarker crashes the engine when its computation ends.
//
// Beside the interface of engines it has, for tests:
//
//	GET  /ledger               Ledger: every run and order received
//	POST /admin/cold           turns the engine cold: new incarnation, empty cache, running streams cut
//	POST /admin/cut            cuts the running streams and does nothing else
//	POST /admin/detach         closes the connections of running streams; the runs go on
//	POST /admin/set?Version=v  changes Version, Model or Role without an order
//	POST /admin/pause, resume  stops and continues the steps of the batch
//	/fault                     the rules of package fault
//
// # Usage
//
//	e := engine.New(engine.Settings{Model: "M1", Version: "v1"})
//	err := e.Serve(ctx, listener)
package engine
