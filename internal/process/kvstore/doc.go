// Package kvstore speaks to a KV store instance, which keeps cache blocks in memory and on disk behind a limited link.
//
// The HTTP interface of a store is:
//
//	PUT    /blocks/{ID}      the bytes with headers Organisation, Version and Checksum (SHA-256, hexadecimal); readable only
//	                         when all bytes came and the checksum matched; 507 when full
//	GET    /blocks/{ID}      the bytes with the same headers and Tier (Memory or Disk); 404
//	DELETE /blocks/{ID}      404 if there is none
//	POST   /blocks/lookup    JSON list of identities; JSON list of those present, with bytes and tier
//	GET    /status           JSON {BytesUsed, BytesLimit, LinkBytesPerSecond, Queued}
//
// A reader checks organisation, version, identity and checksum and treats a mismatch as a missing block.
//
// # Usage
//
//	c := kvstore.New(addr)
//	block, err := c.Get(ctx, id)
package kvstore
