package kvstore

import (
	"fmt"
	"testing"

	"primrosecourse/internal/process/engine"
)

// BenchmarkCacheEvent measures applying one cache event to an index that is as full as the cache of an engine. Events that add
// and remove a block alternate.
func BenchmarkCacheEvent(b *testing.B) {
	for _, n := range []int{1000, 10_000, 60_000} {
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			ids := make([]string, n+1)
			for i := range ids {
				ids[i] = fmt.Sprintf("%032x", uint64(i+1)*0x9e3779b97f4a7c15)
			}
			x := newIndex()
			page := engine.CacheEvents{Incarnation: 1, Events: make([]engine.CacheEvent, 1)}
			sequence := uint64(0)
			apply := func(id string, removed bool) {
				sequence++
				page.Events[0] = engine.CacheEvent{Sequence: sequence, Block: id, Removed: removed}
				page.Next = sequence
				x.apply(page)
			}
			for _, id := range ids[:n] {
				apply(id, false)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				apply(ids[i/2%n], i%2 == 0)
			}
			if len(x.blocks) < n-1 {
				b.Fatal("the index lost blocks")
			}
		})
	}
}
