package claim

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkIndexMemory measures the memory of an index, given per 100,000 orders, and of a stored order (its Claimed and
// Completed records with a response of 12 bytes).
func BenchmarkIndexMemory(b *testing.B) {
	for _, orders := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("orders=%d", orders), func(b *testing.B) {
			var perOrder float64
			for b.Loop() {
				before := heap()
				x := &Index{}
				for i := range orders {
					var k Key
					binary.BigEndian.PutUint64(k[:], uint64(i)*0x9e3779b97f4a7c15)
					x.Apply(uint64(i/70), []Record{NewClaim(k, bodyA, Nonce{1, uint64(i)}, start)})
				}
				perOrder = float64(heap()-before) / float64(orders)
				runtime.KeepAlive(x)
			}
			b.ReportMetric(perOrder*100_000/1e6, "MB/100k-orders")
			b.ReportMetric(0, "ns/op")
		})
	}
	b.Run("stored", func(b *testing.B) {
		r := NewClaim(keyA, bodyA, Nonce{1 << 62, 100_000}, time.Now())
		empty, _ := Segment{Records: []Record{}}.Encode()
		full, _ := Segment{Records: []Record{r, r.Complete(time.Now(), 201, "application/json", []byte(`{"Number":1}`))}}.Encode()
		for b.Loop() {
			_, _ = Segment{Records: []Record{r}}.Encode()
		}
		b.ReportMetric(float64(len(full)-len(empty)), "B-stored/order")
	})
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
