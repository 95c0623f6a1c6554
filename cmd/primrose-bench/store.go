package main

import (
	"time"

	"primrosecourse/pkg/prefix"
)

// store is the fake at the interface of a KV store instance: a bounded set of blocks behind a link that carries one block
// after the other, in both directions together.
type store struct {
	clock *clock
	name  string
	rate  float64 // bytes per second
	full  float64 // the rate without a fault
	dead  bool
	cache *cache
	free  time.Duration // when the link has carried all that waits
	meter *meter
}

// transfer calls done when the bytes have come over the link.
func (s *store) transfer(bytes float64, done func()) {
	took := time.Duration(bytes / s.rate * float64(time.Second))
	begin := max(s.free, s.clock.now)
	s.free = begin + took
	s.meter.link(begin, took, bytes)
	s.clock.at(s.free, done)
}

func (s *store) has(id prefix.ID) bool { return !s.dead && s.cache.byID[id] != nil }

func (s *store) put(id prefix.ID) {
	s.cache.put([]prefix.ID{id})
	s.cache.events = s.cache.events[:0] // nobody reads them
}
