// Package kvstore moves cache blocks between the engine of one endpoint and the KV store instances, for one version of
// the model's weights. A version swap ends the Mover and starts another one, so that blocks of two versions never meet.
//
// Before a run, Prepare imports the blocks that the engine lacks and a store has, if fetching costs less than computing
// them. After a run, Keep queues the blocks worth exporting. What the engine holds is known from its cache events, which
// are late and have gaps; the index is a hint, so that an error costs a transfer or a computation and never a wrong
// answer. The store of a block is the first in rendezvous order of its identity, so every agent asks the same store.
//
// # Usage
//
//	m := kvstore.New("v7")
//	m.Engine, m.Stores, m.Costs = engineClient, stores, costs
//	go m.Run(ctx)
//	fetched := m.Prepare(ctx, "Org1", ids)
//	m.Keep("Org1", ids)
package kvstore
