package claim

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkIndexMemory measures the memory of an index, reported per 100,000 orders, and the encoded size of a stored order:
// its Claimed record and its Completed record with a body of 12 bytes.
func BenchmarkIndexMemory(b *testing.B) {
	for _, orders := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("orders=%d", orders), func(b *testing.B) {
			var perOrder float64
			for b.Loop() {
				before := heapInUse()
				x := &Index{}
				for i := range orders {
					var k Key
					binary.BigEndian.PutUint64(k[:], uint64(i)*0x9e3779b97f4a7c15)
					x.Apply(uint64(i/70), []Record{NewClaim(k, digestA, Nonce{1, uint64(i)}, start)})
				}
				perOrder = float64(heapInUse()-before) / float64(orders)
				runtime.KeepAlive(x)
			}
			b.ReportMetric(perOrder*100_000/1e6, "MB/100k-orders")
			b.ReportMetric(0, "ns/op")
		})
	}
	b.Run("stored", func(b *testing.B) {
		r := NewClaim(keyA, digestA, Nonce{1 << 62, 100_000}, time.Now())
		empty, _ := Segment{Records: []Record{}}.Encode()
		full, _ := Segment{Records: []Record{r, r.Complete(time.Now(), 201, "application/json", []byte(`{"Number":1}`))}}.Encode()
		for b.Loop() {
			_, _ = Segment{Records: []Record{r}}.Encode()
		}
		b.ReportMetric(float64(len(full)-len(empty)), "B-stored/order")
	})
}

// heapInUse returns the size of the allocated heap after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
