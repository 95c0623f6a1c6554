package config

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// maxExpanded bounds the JSON of a configuration; the full size takes 2.2 MB.
const maxExpanded = 32 << 20

// errDelta tells that a delta does not fit what it is applied to.
var errDelta = errors.New("malformed delta of the configuration")

// delta turns the JSON of version Base into that of Version.
type delta struct {
	Base    uint64
	Version uint64
	// Sum is the xxhash of the result.
	Sum  uint64
	Hunk []hunk
}

// hunk copies Length bytes at Offset of the base, and then adds Literal.
type hunk struct {
	Offset  int
	Length  int
	Literal []byte
}

// nextPart returns the length of the part that b starts with: up to the end of a JSON object. Objects are the units of
// change, since each part of a deployment is one.
func nextPart(b []byte) int {
	if i := bytes.IndexByte(b, '}'); i >= 0 {
		return i + 1
	}
	return len(b)
}

// diff describes next in terms of base.
func diff(base, next []byte) (hunks []hunk) {
	places := map[uint64]int{}
	for offset := 0; offset < len(base); {
		n := nextPart(base[offset:])
		places[xxhash.Sum64(base[offset:offset+n])] = offset
		offset += n
	}
	var h hunk
	// follow is where the base goes on if the next part is copied too.
	follow := 0
	for len(next) > 0 {
		n := nextPart(next)
		part := next[:n]
		next = next[n:]
		offset := follow
		if !bytes.HasPrefix(base[min(offset, len(base)):], part) {
			place, ok := places[xxhash.Sum64(part)]
			if !ok || !bytes.HasPrefix(base[place:], part) {
				h.Literal = append(h.Literal, part...)
				continue
			}
			offset = place
		}
		if len(h.Literal) > 0 || offset != h.Offset+h.Length {
			if h.Length > 0 || len(h.Literal) > 0 {
				hunks = append(hunks, h)
			}
			h = hunk{Offset: offset}
		}
		h.Length += n
		follow = offset + n
	}
	return append(hunks, h)
}

// patch applies a delta to its base.
func patch(base []byte, d delta) (next []byte, err error) {
	next = make([]byte, 0, len(base)+4096)
	for _, h := range d.Hunk {
		if h.Offset < 0 || h.Length < 0 || h.Offset > len(base) || h.Length > len(base)-h.Offset ||
			len(next)+h.Length+len(h.Literal) > maxExpanded {
			return nil, errDelta
		}
		next = append(next, base[h.Offset:h.Offset+h.Length]...)
		next = append(next, h.Literal...)
	}
	if xxhash.Sum64(next) != d.Sum {
		return nil, errDelta
	}
	return next, nil
}

// chain holds the deltas of the latest versions, each from the one before it.
type chain []delta

const (
	// maxChain lets a peer fall behind by so many versions before it is sent the whole content.
	maxChain = 32
	// maxChainBytes bounds the literals of a chain. Larger changes are sent whole.
	maxChainBytes = 64 << 10
)

// add appends deltas that continue the chain; others start it anew.
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
		if size > maxChainBytes || len(c)-i > maxChain {
			return c[i+1:]
		}
	}
	return c
}

// since returns the encoded deltas after a version, nil if the chain does not reach back to it.
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

// patchAll applies encoded deltas to the JSON of a version, and returns the JSON of the version that the last one
// leads to.
func patchAll(base []byte, version uint64, content []byte, target uint64) (next []byte, deltas chain, err error) {
	defer func() { err = errors.Wrapf(err, "delta from version %d to %d", version, target) }()
	if err = msgpack.Unmarshal(content, &deltas); err != nil {
		return nil, nil, errors.Mark(err, errDelta)
	}
	if len(deltas) == 0 || len(deltas) > maxChain {
		return nil, nil, errDelta
	}
	next = base
	for _, d := range deltas {
		if d.Base != version || d.Version <= version {
			return nil, nil, errDelta
		}
		if next, err = patch(next, d); err != nil {
			return nil, nil, err
		}
		version = d.Version
	}
	if version != target {
		return nil, nil, errDelta
	}
	return next, deltas, nil
}
