package kvstore

import (
	"encoding/binary"
	"encoding/hex"

	"primrosecourse/internal/process/engine"
	"primrosecourse/pkg/retention"
)

// maxIndexBlocks bounds the index against an engine that reports stores without removals.
const maxIndexBlocks = 1 << 16

// index is the set of blocks that the engine holds according to its cache events.
type index struct {
	incarnation uint64
	next        uint64
	blocks      map[string]bool
	doubt       retention.Doubt
}

func newIndex() *index { return &index{blocks: map[string]bool{}} }

func (x *index) has(id string) bool { return x.blocks[id] }

// add takes a block that the engine holds.
func (x *index) add(id string) {
	if len(x.blocks) >= maxIndexBlocks {
		clear(x.blocks)
	}
	x.blocks[id] = true
}

// apply takes a page of events and returns the blocks that were removed. After a restart of the engine the index starts
// empty. A hole in the sequence numbers makes at most as many blocks wrong as events were lost; package retention says
// when that is too many.
func (x *index) apply(page engine.CacheEvents) (removed []string) {
	if page.Incarnation != x.incarnation {
		asked := x.next
		x.incarnation, x.next = page.Incarnation, 0
		clear(x.blocks)
		if asked != 0 {
			return nil // the page starts at a position of the earlier incarnation; the next poll starts anew
		}
	}
	for _, e := range page.Events {
		if x.next != 0 && e.Sequence > x.next+1 {
			x.doubt.Missed(e.Sequence - x.next - 1)
			if x.doubt.Exceeds(len(x.blocks)) {
				clear(x.blocks)
			}
		}
		x.next = e.Sequence
		if e.Removed {
			delete(x.blocks, e.Block)
			removed = append(removed, e.Block)
			continue
		}
		x.add(e.Block)
	}
	x.next = max(x.next, page.Next)
	return removed
}

// placement returns the number under which package retention knows a block.
func placement(id string) uint64 {
	var b [8]byte
	if n, err := hex.Decode(b[:], []byte(id[:min(len(id), 16)])); err != nil || n != len(b) {
		return 0
	}
	return binary.BigEndian.Uint64(b[:])
}
