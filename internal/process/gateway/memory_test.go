package gateway

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/ring"
	"primrosecourse/pkg/site"
)

// heapAlloc returns the bytes of allocated heap objects after a garbage collection.
func heapAlloc() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkEndpoints measures the heap memory for one endpoint: its entry in the list of endpoints, its state in the placement
// table including six long cached parts, and its places on the ring. Its connections are not included.
func BenchmarkEndpoints(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before, now := heapAlloc(), time.Now()
				list := make([]*site.Endpoint, 0, n)
				members := make([]ring.Endpoint, 0, n)
				for i := range n {
					id := fmt.Sprintf("i-%010x", i)
					list = append(list, &site.Endpoint{ID: id, Service: "S", FailureDomain: fmt.Sprint("zone", i%3),
						Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8083), StartedAt: now,
						Models: []site.ModelVersion{{Model: "daka510000", Version: 1}}})
					members = append(members, ring.Endpoint{Name: id, FailureDomain: list[i].FailureDomain})
				}
				table := placement.New()
				table.SetEndpoints(now, &site.Service{Name: "S", ColdRate: 33}, list)
				for _, e := range list {
					parts := make([]placement.Part, 6)
					for i := range parts {
						parts[i] = placement.Part{Key: uint64(i), Tokens: 12800}
					}
					table.SetPeerCaches(now, "G", []placement.CachedParts{{Endpoint: e.ID, Parts: parts}})
				}
				places := ring.New(nil, members)
				b.ReportMetric(float64(heapAlloc()-before)/float64(n), "B/endpoint")
				runtime.KeepAlive(list)
				runtime.KeepAlive(table)
				runtime.KeepAlive(places)
			}
		})
	}
}
