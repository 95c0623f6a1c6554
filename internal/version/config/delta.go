package config

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"primrosecourse/pkg/bounded"
)

// maxJSONBytes limits the JSON of a configuration, which takes 2.2 MB at full size.
const maxJSONBytes = 32 << 20

// errMalformedDelta is returned for a delta that cannot be decoded or does not match its base or its checksum.
var errMalformedDelta = errors.New("malformed configuration delta")

// delta transforms the JSON of version Base into the JSON of Version. Its msgpack encoding uses the field names.
type delta struct {
	Base    uint64
	Version uint64
	// Sum is the xxhash of the resulting JSON.
	Sum  uint64
	Hunk []hunk
}

// hunk copies Length bytes from Offset in the base and then appends Literal.
type hunk struct {
	Offset  int
	Length  int
	Literal []byte
}

// nextPartLen returns the length of the first part of b, which ends at the first closing brace. Parts end with JSON
// objects because each element of a deployment is an object, and changes affect whole elements.
func nextPartLen(b []byte) int {
	if i := bytes.IndexByte(b, '}'); i >= 0 {
		return i + 1
	}
	return len(b)
}

// diff returns the hunks that transform base into next.
func diff(base, next []byte) (hunks []hunk) {
	offsets := map[uint64]int{}
	for offset := 0; offset < len(base); {
		n := nextPartLen(base[offset:])
		offsets[xxhash.Sum64(base[offset:offset+n])] = offset
		offset += n
	}
	var h hunk
	// continuation is the offset in base at which the current copy ends. A part found there extends the copy.
	continuation := 0
	for len(next) > 0 {
		n := nextPartLen(next)
		part := next[:n]
		next = next[n:]
		offset := continuation
		if !bytes.HasPrefix(base[min(offset, len(base)):], part) {
			match, ok := offsets[xxhash.Sum64(part)]
			if !ok || !bytes.HasPrefix(base[match:], part) {
				h.Literal = append(h.Literal, part...)
				continue
			}
			offset = match
		}
		if len(h.Literal) > 0 || offset != h.Offset+h.Length {
			if h.Length > 0 || len(h.Literal) > 0 {
				hunks = append(hunks, h)
			}
			h = hunk{Offset: offset}
		}
		h.Length += n
		continuation = offset + n
	}
	return append(hunks, h)
}

// patch applies a delta to its base and verifies the checksum of the result.
func patch(base []byte, d delta) (next []byte, err error) {
	next = make([]byte, 0, len(base)+4096)
	for _, h := range d.Hunk {
		if h.Offset < 0 || h.Length < 0 || h.Offset > len(base) || h.Length > len(base)-h.Offset ||
			len(next)+h.Length+len(h.Literal) > maxJSONBytes {
			return nil, errMalformedDelta
		}
		next = append(next, base[h.Offset:h.Offset+h.Length]...)
		next = append(next, h.Literal...)
	}
	if xxhash.Sum64(next) != d.Sum {
		return nil, errMalformedDelta
	}
	return next, nil
}

// chain is a sequence of deltas to the latest version. The base of each delta is the version of the preceding one.
type chain []delta

const (
	// maxChainLength is the number of versions that a peer may be behind and still receive deltas. A peer further
	// behind receives the whole content.
	maxChainLength = 32
	// maxChainBytes limits the literals of a chain, plus 16 bytes for each hunk. Larger changes are sent as whole
	// content.
	maxChainBytes = 64 << 10
)

// add appends deltas and returns the chain, trimmed from the front to its limits. A delta whose base is not the last
// version of the chain starts a new chain.
func (c chain) add(deltas ...delta) chain {
	for _, d := range deltas {
		if len(c) > 0 && c[len(c)-1].Version != d.Base {
			c = nil
		}
		c = append(c[:len(c):len(c)], d)
	}
	size := 0
	for i := len(c) - 1; i >= 0; i-- {
		for _, h := range c[i].Hunk {
			size += len(h.Literal) + 16
		}
		if size > maxChainBytes || len(c)-i > maxChainLength {
			return c[i+1:]
		}
	}
	return c
}

// since returns the encoded deltas that follow a version, or nil if no delta of the chain has that version as its base.
func (c chain) since(version uint64) []byte {
	for i := range c {
		if c[i].Base == version {
			content, err := msgpack.Marshal([]delta(c[i:]))
			if err != nil {
				return nil
			}
			return content
		}
	}
	return nil
}

// applyDeltas applies encoded deltas to base, the JSON of version. It returns the JSON of target and the decoded deltas.
func applyDeltas(base []byte, version uint64, content []byte, target uint64) (next []byte, deltas chain, err error) {
	defer func() { err = errors.Wrapf(err, "delta from version %d to %d", version, target) }()
	if err = bounded.Unmarshal(content, &deltas); err != nil {
		return nil, nil, errors.Mark(err, errMalformedDelta)
	}
	if len(deltas) == 0 || len(deltas) > maxChainLength {
		return nil, nil, errMalformedDelta
	}
	next = base
	for _, d := range deltas {
		if d.Base != version || d.Version <= version {
			return nil, nil, errMalformedDelta
		}
		if next, err = patch(next, d); err != nil {
			return nil, nil, err
		}
		version = d.Version
	}
	if version != target {
		return nil, nil, errMalformedDelta
	}
	return next, deltas, nil
}
