package agent_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/go-logr/logr"

	standin "primrosecourse/internal/standin/engine"
	"primrosecourse/pkg/wire"
)

// BenchmarkPrompt measures complete requests with different prompts of 61 tokens or a few more and answers of 8, by the
// number of concurrent callers. The time includes the stand-in engine and both ends of the connection.
func BenchmarkPrompt(b *testing.B) {
	for _, callers := range []int{1, 8, 64} {
		b.Run(fmt.Sprint("Callers=", callers), func(b *testing.B) {
			f := setUp(b, standin.Settings{WarmStart: true, BatchLimit: 64, DecodeRate: 1e6})
			d := deployment("v1")
			d.Endpoints[0].BatchLimit, d.Limits.QueueLength = 64, 128
			f.config.set(d)
			f.Log = logr.New(logSink{f.events})
			f.run().awaitEvent("EngineServing")
			conn := f.dial()
			text := strings.Repeat("x", 60)
			work := make(chan int)
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() {
					for i := range work {
						s := conn.submit(f.newPrompt(fmt.Sprint("R", i), fmt.Sprint(text, i)))
						if _, last := s.awaitLast(); last.(wire.End).Finish != wire.FinishLength {
							b.Errorf("got %#v, want FinishLength", last)
						}
					}
				})
			}
			i := 0
			for b.Loop() {
				work <- i
				i++
			}
			close(work)
			wg.Wait()
		})
	}
}
