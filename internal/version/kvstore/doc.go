// Package kvstore moves KV cache blocks between the engine of one endpoint and the KV store instances, for one version of
// the model's weights. A change of the weight version stops the Mover and starts another one, so that blocks of two versions
// are never mixed.
//
// Before a run, Prepare imports the blocks that the engine lacks and a store has, if fetching them costs less than
// recomputing them. After a run, RecordUse queues the blocks that are worth exporting. The contents of the engine's cache are
// derived from its cache events, which arrive late and with gaps. The index of them is therefore only a hint: an error in it
// costs a transfer or a recomputation and never gives a wrong answer. The store of a block is the first in rendezvous order for
// the block's ID, so that all agents use the same store for it.
//
// # Usage
//
//	m := kvstore.New("v7")
//	m.Engine, m.Stores, m.Costs = engineClient, stores, costs
//	go m.Run(ctx)
//	fetched := m.Prepare(ctx, "Org1", ids)
//	m.RecordUse("Org1", ids)
package kvstore
