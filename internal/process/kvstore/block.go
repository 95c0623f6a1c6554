package kvstore

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// MaxBlockBytes bounds a block: 4096 tokens of 128 KiB of cache each would be 512 MiB.
const MaxBlockBytes = 512 << 20

// The ways in which a call fails. A caller treats each of them as a missing block and recomputes it.
var (
	ErrNotFound    = errors.New("kvstore: no such block")
	ErrMismatch    = errors.New("kvstore: block differs from what was asked for")
	ErrFull        = errors.New("kvstore: store is full")
	ErrUnavailable = errors.New("kvstore: store is unavailable")
)

// Block is a cache block with what a reader checks before it uses the bytes.
type Block struct {
	// ID is the identity by package prefix, in hexadecimal digits.
	ID           string
	Organisation string
	// Version is the version of the weights that computed the block.
	Version string
	Bytes   []byte
}

// Present is a block that a store holds.
type Present struct {
	ID    string
	Bytes int64
	// Tier is "Memory" or "Disk".
	Tier string
}

// Status is the state of a store instance.
type Status struct {
	BytesUsed          int64
	BytesLimit         int64
	LinkBytesPerSecond int64
	// Queued is the number of transfers that wait for the link.
	Queued int
}

// Checksum returns the SHA-256 of bytes in hexadecimal digits.
func Checksum(bytes []byte) string {
	sum := sha256.Sum256(bytes)
	return hex.EncodeToString(sum[:])
}
