package fairqueue_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"primrosecourse/pkg/fairqueue"
)

var start = time.Unix(1_800_000_000, 0)

func timeAt(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

type request struct {
	name, organisation string
	cost               float64
	priority           int
	arrival            float64 // seconds after start
	deadline           float64 // seconds after start, 0 for none
}

// TestEnginePriority guards against an engine priority that puts a long item before short ones of the same priority, and
// against one where being short outweighs the caller's priority.
func TestEnginePriority(t *testing.T) {
	is := is.New(t)
	q := fairqueue.New[int](fairqueue.Settings{ShortCost: 100})
	priority := func(priority int, cost float64) int {
		item, _, err := q.Push(start, fairqueue.Request[int]{Organisation: "Org1", Cost: cost, Priority: priority})
		is.NoErr(err)
		return item.EnginePriority()
	}
	order := []int{priority(-1, 101), priority(-1, 100), priority(0, 101), priority(0, 100), priority(1, 101)}
	is.True(slices.IsSorted(order))
	is.Equal(len(slices.Compact(order)), 5)
}

// TestServiceOrder guards against starvation of organisations, long requests ahead of short ones, starvation of long
// requests and service of requests past their deadline.
func TestServiceOrder(t *testing.T) {
	for _, test := range []struct {
		name     string
		requests []request
		want     string
	}{
		{"first come, first served", []request{{"a", "O", 1, 0, 0, 0}, {"b", "O", 1, 0, 1, 0}}, "a b"},
		{"organisations alternate", []request{
			{"a1", "A", 10, 0, 0, 0}, {"a2", "A", 10, 0, 0, 0}, {"a3", "A", 10, 0, 0, 0}, {"b1", "B", 10, 0, 0, 0},
		}, "a1 b1 a2 a3"},
		{"a share of 2 gets twice the service", []request{
			{"a1", "A", 10, 0, 0, 0}, {"a2", "A", 10, 0, 0, 0}, {"d1", "Double", 10, 0, 0, 0}, {"d2", "Double", 10, 0, 0, 0},
			{"d3", "Double", 10, 0, 0, 0}, {"d4", "Double", 10, 0, 0, 0},
		}, "a1 d1 d2 a2 d3 d4"},
		{"high cost delays the next turn", []request{
			{"a1", "A", 30, 0, 0, 0}, {"a2", "A", 30, 0, 0, 0}, {"b1", "B", 10, 0, 0, 0}, {"b2", "B", 10, 0, 0, 0},
			{"b3", "B", 10, 0, 0, 0},
		}, "a1 b1 b2 b3 a2"},
		{"short before long", []request{{"long", "O", 9000, 0, 0, 0}, {"short", "O", 10, 0, 1, 0}}, "short long"},
		{"aged long before short", []request{{"long", "O", 9000, 0, 0, 0}, {"short", "O", 10, 0, 3, 0}}, "long short"},
		{"priority first", []request{{"low", "O", 10, 0, 0, 0}, {"high", "O", 9000, 1, 5, 0}}, "high low"},
		{"past its deadline is skipped", []request{{"late", "O", 10, 0, 0, 9}, {"b", "O", 10, 0, 1, 11}}, "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			q := fairqueue.New[string](fairqueue.Settings{Share: func(organisation string) float64 {
				return map[string]float64{"Double": 2}[organisation]
			}})
			for _, r := range test.requests {
				item := fairqueue.Request[string]{Organisation: r.organisation, Cost: r.cost, Priority: r.priority, Value: r.name}
				if r.deadline > 0 {
					item.Deadline = timeAt(r.deadline)
				}
				_, _, err := q.Push(timeAt(r.arrival), item)
				is.NoErr(err)
			}
			var got []string
			for {
				item, _ := q.Pop(timeAt(10))
				if item == nil {
					break
				}
				got = append(got, item.Value)
			}
			is.Equal(strings.Join(got, " "), test.want)
		})
	}
}

// TestEvictionWhenFull guards against an organisation that locks out others by filling the queue.
func TestEvictionWhenFull(t *testing.T) {
	is := is.New(t)
	q := fairqueue.New[string](fairqueue.Settings{Length: 3})
	push := func(organisation, name string) (*fairqueue.Item[string], error) {
		_, evicted, err := q.Push(start, fairqueue.Request[string]{Organisation: organisation, Value: name})
		return evicted, err
	}
	for _, name := range []string{"a1", "a2", "a3"} {
		_, err := push("A", name)
		is.NoErr(err)
	}
	_, err := push("A", "a4")
	var full *fairqueue.FullError
	is.True(errors.As(err, &full))
	is.True(full.RetryAfter > 0)
	evicted, err := push("B", "b1")
	is.NoErr(err)
	is.Equal(evicted.Value, "a3")
	_, err = push("B", "b2") // with two items of B, A would have fewer than B
	is.True(errors.As(err, &full))
	is.Equal(q.Len(), 3)
}

// TestAgainstModel compares the queue with the set of items that must be in it after random operations: no item is lost or
// served twice.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fairqueue.New[int](fairqueue.Settings{Length: 8})
		var queued []*fairqueue.Item[int]
		removeFromModel := func(item *fairqueue.Item[int]) {
			i := slices.Index(queued, item)
			if i < 0 {
				t.Fatalf("item %v is not in the model", item)
			}
			queued = slices.Delete(queued, i, i+1)
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				item, evicted, err := q.Push(timeAt(float64(i)), fairqueue.Request[int]{
					Organisation: rapid.SampledFrom([]string{"A", "B", "C"}).Draw(t, "organisation"),
					Cost:         rapid.Float64Range(0, 5000).Draw(t, "cost"),
					Priority:     rapid.IntRange(0, 2).Draw(t, "priority"),
					Value:        i,
				})
				if evicted != nil {
					removeFromModel(evicted)
				}
				if err == nil {
					queued = append(queued, item)
				} else if len(queued) < 8 {
					t.Fatal(err)
				}
			case 2:
				if item, _ := q.Pop(timeAt(float64(i))); item != nil {
					removeFromModel(item)
				} else if len(queued) > 0 {
					t.Fatal("Pop returned no item from a queue with items")
				}
			case 3:
				if len(queued) > 0 {
					item := rapid.SampledFrom(queued).Draw(t, "removed")
					if !q.Remove(item) || q.Remove(item) {
						t.Fatal("Remove did not remove a queued item exactly once")
					}
					removeFromModel(item)
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "filter") == 0 {
				odd := func(item *fairqueue.Item[int]) bool { return item.Value%2 == 1 }
				for _, item := range q.Filter(odd) {
					removeFromModel(item)
				}
				if slices.ContainsFunc(queued, func(item *fairqueue.Item[int]) bool { return !odd(item) }) {
					t.Fatal("Filter left an item with an even value")
				}
			}
			if q.Len() != len(queued) {
				t.Fatalf("length %d, want %d", q.Len(), len(queued))
			}
		}
	})
}

func BenchmarkPushPop(b *testing.B) {
	for _, n := range []int{8, 64, 512} {
		b.Run(fmt.Sprint("Length=", n), func(b *testing.B) {
			q := fairqueue.New[int](fairqueue.Settings{Length: n + 1})
			push := func(i int) {
				_, _, err := q.Push(start, fairqueue.Request[int]{Organisation: fmt.Sprint("O", i%10), Cost: float64(i % 5000)})
				if err != nil {
					b.Fatal(err)
				}
			}
			for i := range n {
				push(i)
			}
			for i := 0; b.Loop(); i++ {
				push(i)
				q.Pop(start)
			}
		})
	}
}
