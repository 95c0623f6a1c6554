// Package prefix derives the identities of cache blocks.
//
// The identity of a block is the SHA-256 over its organisation, its weight version, the identity of the block before it
// and its tokens, cut to 128 bits. Two organisations or two weight versions therefore never share an identity, and a
// block's identity fixes the whole prompt up to its end. Identities are derived from the authenticated organisation
// and are never taken from a caller.
//
// The package neither stores blocks nor decides where they go.
//
// # Usage
//
//	ids := prefix.Chain("Org1", "v7", tokens, 1024)
//	last := ids[len(ids)-1].String()
package prefix
