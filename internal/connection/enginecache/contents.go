package enginecache

import (
	"slices"

	"primrosecourse/internal/connection/kvstore"
	"primrosecourse/pkg/placement"
)

// contents is the set of long parts, those of at least placement.LongPart tokens, that an engine has cached, as derived from its
// events.
type contents struct {
	// epoch identifies the run of the engine: it differs after a restart, and is 0 before the first poll. next is the number of the
	// next event to read.
	epoch, next uint64
	// recent holds the parts in the order of their last change, the latest one last; used is the sum of their tokens. Evictions that
	// the engine never reports would let recent grow, so the oldest parts are dropped while used exceeds memoryTokens, the engine's
	// memory in tokens.
	recent       []placement.Part
	used         int
	memoryTokens int
}

func newContents(memoryTokens int) *contents { return &contents{memoryTokens: memoryTokens} }

// update applies the result of a poll. It reports whether the earlier contents were discarded: on the first poll, after lost events, or
// after a restart of the engine.
func (c *contents) update(changes kvstore.Changes) (reset bool) {
	restarted := c.epoch != 0 && changes.Epoch != c.epoch
	reset = changes.Epoch != c.epoch || changes.Lost
	if reset {
		c.recent, c.used = nil, 0
	}
	c.epoch, c.next = changes.Epoch, changes.Next
	if restarted {
		// The poll asked for an event number of the previous epoch, so its events are ignored. The next poll starts from event 0.
		c.next = 0
		return reset
	}
	for _, change := range changes.Changes {
		c.apply(change)
	}
	return reset
}

func (c *contents) apply(change kvstore.Change) {
	key := placement.PartKey(change.Scope, change.ID)
	if i := slices.IndexFunc(c.recent, func(p placement.Part) bool { return p.Key == key }); i >= 0 {
		c.used -= c.recent[i].Tokens
		c.recent = slices.Delete(c.recent, i, i+1)
	}
	if !change.Gone && change.Tokens >= placement.LongPart {
		c.recent = append(c.recent, placement.Part{Key: key, Tokens: change.Tokens})
		c.used += change.Tokens
	}
	for c.used > c.memoryTokens {
		c.used -= c.recent[0].Tokens
		c.recent = slices.Delete(c.recent, 0, 1)
	}
}

func (c *contents) parts() []placement.Part { return slices.Clone(c.recent) }
