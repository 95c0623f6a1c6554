package main

import (
	"time"

	"primrosecourse/pkg/prefix"
)

// store simulates a KV store instance: a bounded set of blocks behind a link that transfers one block at a time, whichever
// the direction.
type store struct {
	clock *clock
	name  string
	rate  float64 // bytes per second
	// fullRate is the rate without a fault.
	fullRate float64
	down     bool
	cache    *cache
	// linkFreeAt is the time at which the link has finished all requested transfers.
	linkFreeAt time.Duration
	meter      *meter
}

// transfer calls done once the bytes have passed the link, after all transfers requested earlier.
func (s *store) transfer(bytes float64, done func()) {
	duration := time.Duration(bytes / s.rate * float64(time.Second))
	start := max(s.linkFreeAt, s.clock.now)
	s.linkFreeAt = start + duration
	s.meter.recordTransfer(start, duration, bytes)
	s.clock.at(s.linkFreeAt, done)
}

func (s *store) has(id prefix.ID) bool { return !s.down && s.cache.byID[id] != nil }

func (s *store) put(id prefix.ID) {
	s.cache.put([]prefix.ID{id})
	s.cache.events = s.cache.events[:0] // no agent reads the events of a store
}
