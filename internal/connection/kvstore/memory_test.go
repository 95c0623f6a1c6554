package kvstore_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"primrosecourse/internal/connection/kvstore"
	"primrosecourse/pkg/site"
	"primrosecourse/pkg/tiering"
)

// heapAlloc returns the bytes of allocated heap objects after a garbage collection.
func heapAlloc() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// fullStore is a store that holds many parts. Each call returns a newly allocated listing, like one that is decoded from a
// response.
type fullStore struct{ parts int }

func (s fullStore) List(context.Context, string) (kvstore.Listing, error) {
	l := kvstore.Listing{Epoch: 1, Next: 1}
	for i := range s.parts {
		scope := fmt.Sprintf("Shared/daka510000/%d", 1+i%2)
		l.Held = append(l.Held, kvstore.Held{Key: kvstore.Key{Scope: scope, ID: fmt.Sprintf("%016x", i)}, Tokens: 300})
	}
	return l, nil
}

func (s fullStore) Watch(ctx context.Context, _ string, _ uint64, wait time.Duration) (kvstore.Changes, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return kvstore.Changes{Epoch: 1, Next: 1}, nil
}

func (fullStore) Free(context.Context, string, []kvstore.Key, uint64, time.Duration) error {
	return nil
}

// BenchmarkKnownParts measures the heap that the record of a part in a KV store takes up in a gateway.
func BenchmarkKnownParts(b *testing.B) {
	for _, parts := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(parts), func(b *testing.B) {
			for b.Loop() {
				before := heapAlloc()
				c := &kvstore.Catalog{Stores: fullStore{parts}, Log: logr.Discard(), Floors: &tiering.Floors{}, View: &view{leaders: nil,
					snapshot: &site.Snapshot{Configuration: &site.Configuration{Services: map[string]*site.Service{"store": {Name: "store",
						Store: &site.CacheStore{Address: "a", Tokens: 1 << 30}}}}}}}
				ctx, cancel := context.WithCancel(b.Context())
				ended := make(chan error, 1)
				go func() { ended <- c.Run(ctx) }()
				last := tiering.Part{ID: fmt.Sprintf("%016x", parts-1), Tokens: 300}
				for !c.Scope("Shared/daka510000/2").Holds("store", last) {
					time.Sleep(time.Millisecond)
				}
				b.ReportMetric(float64(heapAlloc()-before)/float64(parts), "B/part")
				cancel()
				if err := <-ended; err != nil {
					b.Fatal(err)
				}
				runtime.KeepAlive(c)
			}
		})
	}
}
