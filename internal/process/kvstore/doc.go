// Package kvstore is an HTTP client of a KV store instance, which stores cache blocks in memory and on disk behind a network
// link of limited bandwidth.
//
// The HTTP interface of a store is:
//
//	PUT    /blocks/{ID}      stores the bytes with headers Organisation, Version and Checksum (SHA-256, hexadecimal); readable
//	                         only after all bytes have arrived and the checksum matches; 507 when full
//	GET    /blocks/{ID}      returns the bytes with the same headers and Tier (Memory or Disk); 404 if there is none
//	DELETE /blocks/{ID}      removes the block; 404 if there is none
//	POST   /blocks/lookup    takes a JSON list of identities; returns a JSON list of those in the store: {ID, Bytes, Tier}
//	GET    /status           returns JSON {BytesUsed, BytesLimit, LinkBytesPerSecond, Queued}
//
// A reader verifies organisation, version and checksum, and treats a mismatch as a missing block.
//
// # Usage
//
//	c := kvstore.New(addr)
//	block, err := c.Get(ctx, id, organisation, version)
package kvstore
