package engine

import (
	"container/list"
	"time"

	"primrosecourse/internal/process/engine"
)

// maxEvents bounds the cache events that are kept for readers.
const maxEvents = 1 << 16

// block is a cache block. It is not evicted while runs use it.
type block struct {
	id      string
	version string
	data    []byte // of an imported block
	users   int
	at      *list.Element
}

type cacheEvent struct {
	engine.CacheEvent
	at time.Time
}

// cache is the prefix cache, keyed by block identities. The engine's mutex guards it.
type cache struct {
	limit, hole int
	blocks      map[string]*block
	recent      *list.List // of *block, the most recently used in front
	events      []cacheEvent
	sequence    uint64
}

func newCache(limit, hole int) *cache {
	return &cache{limit: limit, hole: hole, blocks: map[string]*block{}, recent: list.New()}
}

// use returns the blocks held of the leading ids and pins them.
func (c *cache) use(ids []string) (held []*block) {
	for _, id := range ids {
		b := c.blocks[id]
		if b == nil {
			break
		}
		b.users++
		c.recent.MoveToFront(b.at)
		held = append(held, b)
	}
	return held
}

func (c *cache) release(blocks []*block) {
	for _, b := range blocks {
		b.users--
	}
}

// put stores a block and evicts the least recently used one that no run uses. It returns false if there is none.
func (c *cache) put(id, version string, data []byte, now time.Time) bool {
	if c.blocks[id] != nil {
		return true
	}
	if len(c.blocks) >= c.limit && !c.evict(now) {
		return false
	}
	b := &block{id: id, version: version, data: data}
	b.at = c.recent.PushFront(b)
	c.blocks[id] = b
	c.event(id, false, now)
	return true
}

func (c *cache) evict(now time.Time) bool {
	for e := c.recent.Back(); e != nil; e = e.Prev() {
		if b := e.Value.(*block); b.users == 0 {
			c.recent.Remove(e)
			delete(c.blocks, b.id)
			c.event(b.id, true, now)
			return true
		}
	}
	return false
}

func (c *cache) event(id string, removed bool, now time.Time) {
	c.sequence++
	if c.hole > 0 && c.sequence%uint64(c.hole) == 0 {
		return
	}
	if len(c.events) >= maxEvents {
		c.events = append(c.events[:0], c.events[maxEvents/2:]...)
	}
	c.events = append(c.events, cacheEvent{engine.CacheEvent{Sequence: c.sequence, Block: id, Removed: removed}, now})
}

// after returns the events after a sequence number that are older than until.
func (c *cache) after(sequence uint64, until time.Time) (page engine.CacheEvents) {
	page.Next = sequence
	for _, e := range c.events {
		if e.Sequence > sequence && !e.at.After(until) {
			page.Events = append(page.Events, e.CacheEvent)
			page.Next = e.Sequence
		}
	}
	return page
}
