package memory_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"primrosecourse/pkg/memory"
)

// TestBudget guards against holders that exceed the budget together, against one that is refused within its allowance, and against a refused
// or released amount that stays drawn.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := memory.New(100)
	first, second := b.Hold(10), b.Hold(10)
	is.True(first.Grow(10))
	is.Equal(b.Held(), int64(0)) // within the allowance
	is.True(first.Grow(90))
	is.True(first.Grow(50)) // holds more already
	is.Equal(b.Held(), int64(80))
	is.True(!second.Grow(31))
	is.True(second.Grow(30))
	is.Equal(b.Held(), int64(100))
	first.Release()
	first.Release()
	is.Equal(b.Held(), int64(20))
	is.True(second.Grow(110))
	second.Release()
	is.Equal(b.Held(), int64(0))
}

// TestNoLimit guards against a limit where none was set.
func TestNoLimit(t *testing.T) {
	is := is.New(t)
	var none *memory.Budget
	for _, h := range []*memory.Holder{nil, none.Hold(0), memory.New(0).Hold(0)} {
		is.True(h.Grow(1 << 40))
		h.Release()
	}
}

// TestConcurrentHolders guards against a budget that is exceeded, or not returned, by holders in several goroutines.
func TestConcurrentHolders(t *testing.T) {
	is := is.New(t)
	b := memory.New(1000)
	var work sync.WaitGroup
	for range 8 {
		work.Go(func() {
			for n := range 2000 {
				h := b.Hold(3)
				h.Grow(n % 400)
				if b.Held() > 1000+8*400 { // refused amounts are counted for a moment
					t.Error("budget is exceeded")
				}
				h.Release()
			}
		})
	}
	work.Wait()
	is.Equal(b.Held(), int64(0))
}
