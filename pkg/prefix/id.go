package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// ID identifies a cache block.
type ID [16]byte

// String returns the identity as lower-case hexadecimal digits.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// Uint64 returns the first 8 bytes of the identity as a big-endian number. It is used as a placement key.
func (id ID) Uint64() uint64 { return binary.BigEndian.Uint64(id[:8]) }

// Chain returns the identities of the full blocks of tokens, in order. A partial last block has no identity. blockTokens must
// be positive.
func Chain(organisation, weightVersion string, tokens []uint32, blockTokens int) []ID {
	ids := make([]ID, 0, len(tokens)/blockTokens)
	var parent ID
	for start := 0; start+blockTokens <= len(tokens); start += blockTokens {
		parent = blockID(organisation, weightVersion, parent, tokens[start:start+blockTokens])
		ids = append(ids, parent)
	}
	return ids
}

func blockID(organisation, weightVersion string, parent ID, tokens []uint32) (id ID) {
	h := sha256.New()
	writeString(h, organisation)
	writeString(h, weightVersion)
	h.Write(parent[:])
	buffer := make([]byte, 0, 4*len(tokens))
	for _, t := range tokens {
		buffer = binary.BigEndian.AppendUint32(buffer, t)
	}
	h.Write(buffer)
	copy(id[:], h.Sum(nil))
	return id
}

// writeString writes the length of s before s, so that two different pairs of strings never give the same input to the hash.
func writeString(h hash.Hash, s string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(s)))
	h.Write(length[:])
	h.Write([]byte(s))
}
