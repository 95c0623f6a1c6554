package kvstore

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// MaxBlockBytes limits the size of a block. It is the size of 4096 tokens with 128 KiB of cache each, 512 MiB.
const MaxBlockBytes = 512 << 20

// The errors of a call. After any error of Get, a caller treats the block as missing and the engine prefills its tokens.
var (
	ErrNotFound    = errors.New("kvstore: no such block")
	ErrMismatch    = errors.New("kvstore: block does not match its checksum, organisation or version")
	ErrFull        = errors.New("kvstore: store is full")
	ErrUnavailable = errors.New("kvstore: store is unavailable")
)

// Block is a cache block with the fields that a reader verifies before it uses the bytes.
type Block struct {
	// ID is the identity that package prefix derives, in hexadecimal digits.
	ID           string
	Organisation string
	// Version is the version of the weights with which the block was computed.
	Version string
	Bytes   []byte
}

// Present is a block that is present in a store. Bytes is its size.
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
	// Queued is the number of transfers in progress or waiting for the link.
	Queued int
}

// Checksum returns the SHA-256 of data in hexadecimal digits.
func Checksum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
