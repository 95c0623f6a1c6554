package endless_test

import (
	"context"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/internal/process/engine"
	"primrosecourse/internal/process/kvstore"
	"primrosecourse/internal/process/service"
	"primrosecourse/internal/standin/endless"
	"primrosecourse/pkg/wire"
)

// TestClientsOfAgents guards against answers without end of an engine, a service or a store instance that fill an agent's memory, outlast
// their call, or look like an answer.
func TestClientsOfAgents(t *testing.T) {
	calls := map[string]func(ctx context.Context, addr netip.AddrPort) error{
		"engine health": func(ctx context.Context, a netip.AddrPort) error { _, err := engine.New(a).Health(ctx); return err },
		"engine events": func(ctx context.Context, a netip.AddrPort) error {
			_, err := engine.New(a).CacheEvents(ctx, 1)
			return err
		},
		"engine generate": func(ctx context.Context, a netip.AddrPort) error {
			_, err := engine.New(a).Generate(ctx, engine.Request{})
			return err
		},
		"store status": func(ctx context.Context, a netip.AddrPort) error { _, err := kvstore.New(a).Status(ctx); return err },
		"store lookup": func(ctx context.Context, a netip.AddrPort) error {
			_, err := kvstore.New(a).Lookup(ctx, []string{"a"})
			return err
		},
		"service call": func(ctx context.Context, a netip.AddrPort) error {
			_, err := service.New(a).Do(ctx, wire.Call{Method: "POST", Path: "/x", IdempotencyKey: "k"})
			return err
		},
	}
	for kind, answer := range endless.Answers {
		for name, call := range calls {
			t.Run(name+", "+kind, func(t *testing.T) {
				if answer.Pause > 0 {
					t.Parallel()
				}
				is := is.New(t)
				s, err := endless.New(answer)
				is.NoErr(err)
				defer s.Close()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				started := time.Now()
				is.True(call(ctx, s.Address()) != nil)
				is.True(time.Since(started) < 2*time.Second)
				runtime.ReadMemStats(&after)
				is.True(after.TotalAlloc-before.TotalAlloc < 128<<20)
				is.NoErr(s.Closed(time.Second))
			})
		}
	}
}
