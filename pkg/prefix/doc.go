// Package prefix derives the identities of cache blocks.
//
// The identity of a block is the SHA-256 hash of its organisation, its weight version, the identity of the preceding block
// and its tokens, truncated to 128 bits. Blocks of different organisations or weight versions therefore have different
// identities, and a block's identity determines the whole prompt up to the end of the block. Identities are derived from the
// authenticated organisation and are never taken from a caller.
//
// The package does not store blocks or decide where they are placed.
//
// # Usage
//
//	ids := prefix.Chain("Org1", "v7", tokens, 1024)
//	last := ids[len(ids)-1].String()
package prefix
