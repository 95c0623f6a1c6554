package routing

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"primrosecourse/pkg/prefix"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=KeySource,Source,Class,Reason -output=enum_string.go

// KeySource is what a placement key was derived from.
type KeySource uint8

// The sources of a placement key.
const (
	// KeyNone means that the prompt has no key, since it is shorter than one block and has no prompt_cache_key; it is placed at random.
	KeyNone KeySource = iota
	// KeyCaller means that the key is the caller's prompt_cache_key.
	KeyCaller
	// KeyFirstOwnBlock means that the key is the first block after the part that the organisation's prompts share.
	KeyFirstOwnBlock
	// KeyLastBlock means that the key is the last full block of a prompt that is not longer than the shared part.
	KeyLastBlock
)

// Key determines the position of a prompt on the ring.
type Key struct {
	Hash   uint64
	Source KeySource
}

// PlacementKey returns the key of a prompt with the given chain of block identities. cacheKey is the caller's prompt_cache_key, empty
// if there is none; equal cache keys of different organisations give different keys.
func PlacementKey(organisation, cacheKey string, chain []prefix.ID, sharedBlocks int) Key {
	switch {
	case cacheKey != "":
		h := xxhash.New()
		// The length of the name goes first, so that two different pairs of organisation and cache key never give the same input to the
		// hash.
		_, _ = h.WriteString(strconv.Itoa(len(organisation)) + ":" + organisation)
		_, _ = h.WriteString(cacheKey)
		return Key{h.Sum64(), KeyCaller}
	case len(chain) > max(0, sharedBlocks):
		return Key{chain[max(0, sharedBlocks)].Uint64(), KeyFirstOwnBlock}
	case len(chain) > 0:
		return Key{chain[len(chain)-1].Uint64(), KeyLastBlock}
	}
	return Key{}
}
