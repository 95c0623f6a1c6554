package kvstore

import (
	"encoding/binary"
	"encoding/hex"

	"primrosecourse/internal/process/engine"
	"primrosecourse/pkg/retention"
)

// maxIndexBlocks limits the size of the index if an engine reports added blocks but no removals.
const maxIndexBlocks = 1 << 16

// index is the set of blocks in the engine's cache, according to its cache events.
type index struct {
	incarnation uint64
	// lastApplied is the sequence number after which the next page starts: that of the last event applied, or Next of the
	// last page if that is higher.
	lastApplied uint64
	blocks      map[string]bool
	// lostEvents counts the lost events and decides when the index must be emptied.
	lostEvents retention.LostEvents
}

func newIndex() *index { return &index{blocks: map[string]bool{}} }

func (x *index) has(id string) bool { return x.blocks[id] }

// add records that the engine has a block. It empties a full index first.
func (x *index) add(id string) {
	if len(x.blocks) >= maxIndexBlocks {
		clear(x.blocks)
	}
	x.blocks[id] = true
}

// apply updates the index with a page of events and returns the blocks that were removed. After a restart of the engine the
// index starts empty. A gap in the sequence numbers makes at most as many blocks wrong as events were lost; LostEvents of package
// retention decides when these are too many and the index must be emptied.
func (x *index) apply(page engine.CacheEvents) (removed []string) {
	if page.Incarnation != x.incarnation {
		previous := x.lastApplied
		x.incarnation, x.lastApplied = page.Incarnation, 0
		clear(x.blocks)
		if previous != 0 {
			return nil // the page starts at a position in the previous incarnation; the next poll reads from the beginning
		}
	}
	for _, e := range page.Events {
		if x.lastApplied != 0 && e.Sequence > x.lastApplied+1 {
			x.lostEvents.Missed(e.Sequence - x.lastApplied - 1)
			if x.lostEvents.Exceeds(len(x.blocks)) {
				clear(x.blocks)
			}
		}
		x.lastApplied = e.Sequence
		if e.Removed {
			delete(x.blocks, e.Block)
			removed = append(removed, e.Block)
			continue
		}
		x.add(e.Block)
	}
	x.lastApplied = max(x.lastApplied, page.Next)
	return removed
}

// retentionKey returns the number that identifies a block in package retention: the first 8 bytes of its hexadecimal ID, or 0
// if the ID is malformed.
func retentionKey(id string) uint64 {
	var b [8]byte
	if n, err := hex.Decode(b[:], []byte(id[:min(len(id), 16)])); err != nil || n != len(b) {
		return 0
	}
	return binary.BigEndian.Uint64(b[:])
}
