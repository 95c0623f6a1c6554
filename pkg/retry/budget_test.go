package retry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/retry"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// TestBudget guards against retries that multiply the load in an outage, and against a process with few requests that can
// never retry.
func TestBudget(t *testing.T) {
	for _, test := range []struct {
		name     string
		budget   *retry.Budget
		requests int
		over     time.Duration
		want     int
	}{
		{"new budget is full", &retry.Budget{}, 0, 0, 10},
		{"default ratio", &retry.Budget{PerSecond: 1e-12}, 1000, 0, 110},
		{"other ratio", &retry.Budget{Ratio: 0.5, PerSecond: 1e-12}, 1000, 0, 510},
		{"floor by time", &retry.Budget{}, 1, 10 * time.Second, 15},
		{"unused budget is limited to the burst", &retry.Budget{Burst: 3}, 1, time.Hour, 6},
		{"clock set back", &retry.Budget{Burst: 3}, 1, -time.Hour, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := 0
			count := func(now time.Time) {
				for test.budget.Retry(now) {
					got++
				}
			}
			count(start)
			for range test.requests {
				test.budget.Request(start.Add(test.over))
				count(start.Add(test.over))
			}
			is.New(t).Equal(got, test.want)
		})
	}
}

// TestSetRatio guards against a configured ratio that has no effect, and against a ratio of 0 that replaces it.
func TestSetRatio(t *testing.T) {
	is := is.New(t)
	b := &retry.Budget{Burst: 1}
	is.True(b.Retry(start))
	b.SetRatio(1)
	b.SetRatio(0)
	b.Request(start)
	is.True(b.Retry(start))
}

func BenchmarkBudget(b *testing.B) {
	for _, requests := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("requests=%d", requests), func(b *testing.B) {
			budget := &retry.Budget{}
			for b.Loop() {
				for range requests {
					budget.Request(start)
				}
				budget.Retry(start)
			}
		})
	}
}

func ExampleBudget() {
	b := &retry.Budget{Burst: 1}
	b.Request(start)
	fmt.Println(b.Retry(start), b.Retry(start))
	// Output: true false
}
