// Package kvstore is a stand-in for a KV store instance: a memory tier and a disk tier, both bounded, behind one link
// of limited capacity.
//
// A block is readable only after it has arrived completely and its checksum matches. If the memory tier has no room for
// a new block, the least recently used blocks of the tier move to the disk tier. If the disk tier has no room for them, the
// store refuses the new block with status 507 and removes no block.
//
// # Usage
//
//	s := kvstore.New()
//	s.MemoryBytes = 64 << 20
//	http.Serve(listener, s.Handler())
package kvstore
