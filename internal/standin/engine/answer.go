package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint returns the hash of a prompt that identifies it in the ledger.
func Fingerprint(prompt []uint32) uint64 {
	buf := make([]byte, 0, 4*len(prompt))
	for _, t := range prompt {
		buf = binary.LittleEndian.AppendUint32(buf, t)
	}
	return xxhash.Sum64(buf)
}

// Answer returns token i of the answer to the prompt with the given fingerprint: a lower-case letter or a space.
func Answer(fingerprint uint64, i int) uint32 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], fingerprint)
	binary.LittleEndian.PutUint64(buf[8:], uint64(i))
	n := xxhash.Sum64(buf[:]) % 27
	if n == 26 {
		return ' '
	}
	return uint32('a' + n)
}
