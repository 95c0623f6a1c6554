// Package engine is a stand-in for the model engine, with the HTTP interface that package internal/process/engine
// documents.
//
// It uses continuous batching: each step decodes one token of every run whose prefill is complete and prefills at most
// PrefillChunk tokens of prompts and given answers, in order of priority and then of arrival. The answer depends only on
// the prompt (see Answer), so that a test can detect a token that is missing, repeated or from another prompt. The prefix
// cache is bounded, with least-recently-used eviction.
//
// An engine starts cold unless WarmStart is set: its capacity is ColdCapacity runs at first and rises to BatchLimit over
// the first tokens of WarmUpRuns runs. A run that arrives while the engine is at capacity is refused with 429 and counted
// in Ledger.Excess, since an agent must not exceed the capacity. A prompt that contains CrashMarker crashes the engine when
// its prefill ends.
//
// For tests it also serves:
//
//	GET  /ledger               Ledger: every accepted run and every order received
//	POST /admin/cold           restarts the worker: new incarnation, cold, empty cache, open streams cut
//	POST /admin/cut            ends all runs and cuts their streams, without a restart
//	POST /admin/detach         closes the connections of open streams; the runs continue
//	POST /admin/set?Version=v  changes Version, Model or Role without an order
//	POST /admin/pause, resume  stops and resumes the execution of batch steps
//	/fault                     the admin interface of package fault
//
// # Usage
//
//	e := engine.New(engine.Settings{Model: "M1", Version: "v1"})
//	err := e.Serve(ctx, listener)
package engine
