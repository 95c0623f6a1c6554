package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// ID identifies a cache block.
type ID [16]byte

// String returns the identity in lower-case hexadecimal digits.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// Uint64 returns the first 8 bytes of the identity, for placement.
func (id ID) Uint64() uint64 { return binary.BigEndian.Uint64(id[:8]) }

// Chain returns the identities of the whole blocks of tokens, in order. A last block that is not full has none.
// blockTokens must be positive.
func Chain(organisation, weightVersion string, tokens []uint32, blockTokens int) []ID {
	ids := make([]ID, 0, len(tokens)/blockTokens)
	var parent ID
	for start := 0; start+blockTokens <= len(tokens); start += blockTokens {
		parent = next(organisation, weightVersion, parent, tokens[start:start+blockTokens])
		ids = append(ids, parent)
	}
	return ids
}

func next(organisation, weightVersion string, parent ID, tokens []uint32) (id ID) {
	h := sha256.New()
	writeString(h, organisation)
	writeString(h, weightVersion)
	h.Write(parent[:])
	buf := make([]byte, 0, 4*len(tokens))
	for _, t := range tokens {
		buf = binary.BigEndian.AppendUint32(buf, t)
	}
	h.Write(buf)
	copy(id[:], h.Sum(nil))
	return id
}

// writeString puts the length first, so that two different pairs of strings never give the same input.
func writeString(h hash.Hash, s string) {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(s)))
	h.Write(n[:])
	h.Write([]byte(s))
}
