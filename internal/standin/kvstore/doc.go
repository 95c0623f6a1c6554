// Package kvstore is the stand-in of a KV store instance: a memory tier and a disk tier, both bounded, behind one link
// of limited capacity.
//
// A block is readable only after all its bytes came and its checksum matched. A block that memory has no room for moves
// the least recently used blocks to disk; when disk is full the store answers 507 and keeps what it has.
//
// # Usage
//
//	s := kvstore.New()
//	s.MemoryBytes = 64 << 20
//	http.Serve(listener, s.Handler())
package kvstore
