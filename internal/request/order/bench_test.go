package order

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/process/platform/platformtest"
	"primrosecourse/pkg/wire"
)

// slowPlatform delays each write by 2 ms, the latency of a healthy platform, and counts writes and bytes written.
type slowPlatform struct {
	platformtest.Fake
	writes, bytes atomic.Int64
}

func (p *slowPlatform) Put(ctx context.Context, obj platform.Object) (uint64, error) {
	time.Sleep(2 * time.Millisecond)
	p.writes.Add(1)
	p.bytes.Add(int64(len(obj.Value)))
	return p.Fake.Put(ctx, obj)
}

type instantService struct{}

func (instantService) Do(context.Context, wire.Call) (wire.Reply, error) {
	return wire.Reply{Status: 201, ContentType: "application/json", Body: []byte(`{"Number":1}`)}, nil
}

// BenchmarkExecute measures whole orders (claim, send, complete) for several numbers of shards, numbers of concurrent
// callers, and write limits per second. Each caller waits for its order before it sends the next one.
func BenchmarkExecute(b *testing.B) {
	for _, shards := range []int{1, 16, 64} {
		for _, c := range []struct{ callers, rate int }{{16, 1e6}, {128, 1e6}, {1024, 1e6}, {128, 100}, {1024, 100}} {
			callers := c.callers
			b.Run(fmt.Sprintf("shards=%d/callers=%d/rate=%d", shards, callers, c.rate), func(b *testing.B) {
				p := &slowPlatform{}
				o := &Owner{Platform: p, Service: instantService{}, Name: "A", Incarnation: 1, Shards: shards,
					QueueLength: 4096, MaxRecords: 10_000_000, WritesPerSecond: c.rate}
				ctx, cancel := context.WithCancel(context.Background())
				runErr := make(chan error, 1)
				go func() { runErr <- o.Run(ctx) }()
				for summary(o.Execute(ctx, newOrder("first", ""))) != "201 {\"Number\":1}" {
					time.Sleep(time.Millisecond)
				}
				p.writes.Store(0)
				p.bytes.Store(0)
				var next atomic.Int64
				var wg sync.WaitGroup
				b.ResetTimer()
				for range callers {
					wg.Go(func() {
						for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
							if m := summary(o.Execute(ctx, newOrder(fmt.Sprint(i), "body"))); m[:3] != "201" {
								b.Error(m)
							}
						}
					})
				}
				wg.Wait()
				elapsed := b.Elapsed()
				cancel()
				if err := <-runErr; err != nil {
					b.Error(err)
				}
				b.ReportMetric(float64(b.N)/elapsed.Seconds(), "orders/s")
				b.ReportMetric(float64(p.writes.Load())/elapsed.Seconds(), "writes/s")
				b.ReportMetric(float64(p.writes.Load())/float64(b.N), "writes/order")
				b.ReportMetric(float64(p.bytes.Load())/float64(b.N), "B-written/order")
			})
		}
	}
}
