package engine

import (
	"container/list"
	"time"

	"primrosecourse/internal/process/engine"
)

// maxEvents is the maximum number of stored cache events. The older half is dropped when it is reached.
const maxEvents = 1 << 16

// block is a cache block. It is not evicted while it is pinned.
type block struct {
	id      string
	version string
	data    []byte // content if the block was imported, otherwise nil
	pins    int    // runs that use the block
	element *list.Element
}

type cacheEvent struct {
	engine.CacheEvent
	createdAt time.Time
}

// cache is the prefix cache, keyed by block identities. The engine's mutex guards it.
type cache struct {
	limitBlocks, lossInterval int
	blocks                    map[string]*block
	lru                       *list.List // of *block, most recently used first
	events                    []cacheEvent
	sequence                  uint64
}

func newCache(limitBlocks, lossInterval int) *cache {
	return &cache{limitBlocks: limitBlocks, lossInterval: lossInterval, blocks: map[string]*block{}, lru: list.New()}
}

// pin pins and returns the cached blocks of the longest prefix of ids that is in the cache.
func (c *cache) pin(ids []string) (pinned []*block) {
	for _, id := range ids {
		b := c.blocks[id]
		if b == nil {
			break
		}
		b.pins++
		c.lru.MoveToFront(b.element)
		pinned = append(pinned, b)
	}
	return pinned
}

func (c *cache) unpin(blocks []*block) {
	for _, b := range blocks {
		b.pins--
	}
}

// put stores a block unless it is already in the cache. If the cache is full, it evicts the least recently used block
// that is not pinned; it returns false if all blocks are pinned.
func (c *cache) put(id, version string, data []byte, now time.Time) bool {
	if c.blocks[id] != nil {
		return true
	}
	if len(c.blocks) >= c.limitBlocks && !c.evict(now) {
		return false
	}
	b := &block{id: id, version: version, data: data}
	b.element = c.lru.PushFront(b)
	c.blocks[id] = b
	c.recordEvent(id, false, now)
	return true
}

func (c *cache) evict(now time.Time) bool {
	for e := c.lru.Back(); e != nil; e = e.Prev() {
		if b := e.Value.(*block); b.pins == 0 {
			c.lru.Remove(e)
			delete(c.blocks, b.id)
			c.recordEvent(b.id, true, now)
			return true
		}
	}
	return false
}

// recordEvent appends an event to the list. With lossInterval n > 0 it omits every n-th event, which leaves a gap in the
// sequence numbers.
func (c *cache) recordEvent(id string, removed bool, now time.Time) {
	c.sequence++
	if c.lossInterval > 0 && c.sequence%uint64(c.lossInterval) == 0 {
		return
	}
	if len(c.events) >= maxEvents {
		c.events = append(c.events[:0], c.events[maxEvents/2:]...)
	}
	c.events = append(c.events, cacheEvent{engine.CacheEvent{Sequence: c.sequence, Block: id, Removed: removed}, now})
}

// eventsAfter returns the events after a sequence number that were recorded no later than until.
func (c *cache) eventsAfter(sequence uint64, until time.Time) (page engine.CacheEvents) {
	page.Next = sequence
	for _, e := range c.events {
		if e.Sequence > sequence && !e.createdAt.After(until) {
			page.Events = append(page.Events, e.CacheEvent)
			page.Next = e.Sequence
		}
	}
	return page
}
