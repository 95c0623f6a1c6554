package retry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/retry"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// Guards against retries that multiply the load of an outage, and against a quiet process that may never retry.
func TestBudget(t *testing.T) {
	for _, test := range []struct {
		name     string
		budget   *retry.Budget
		requests int
		over     time.Duration
		want     int
	}{
		{"new", &retry.Budget{}, 0, 0, 10},
		{"share of requests", &retry.Budget{Floor: 1e-12}, 1000, 0, 110},
		{"other ratio", &retry.Budget{Ratio: 0.5, Floor: 1e-12}, 1000, 0, 510},
		{"floor", &retry.Budget{}, 1, 10 * time.Second, 15},
		{"unused is bounded", &retry.Budget{Burst: 3}, 1, time.Hour, 6},
		{"clock goes back", &retry.Budget{Burst: 3}, 1, -time.Hour, 3},
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

// Guards against a ratio of the configuration that has no effect.
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
