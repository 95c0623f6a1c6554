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

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

type request struct {
	name, organisation string
	cost               float64
	priority           int
	at                 float64
	deadline           float64
}

// Guards against a long item that an engine computes before short ones, and against a class that overrules the caller's
// priority.
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

// TestOrder guards against starved organisations, long requests ahead of short ones, starved long requests and late
// service of requests past their deadline.
func TestOrder(t *testing.T) {
	for _, test := range []struct {
		name     string
		requests []request
		want     string
	}{
		{"first come, first served", []request{{"a", "O", 1, 0, 0, 0}, {"b", "O", 1, 0, 1, 0}}, "a b"},
		{"organisations take turns", []request{
			{"a1", "A", 10, 0, 0, 0}, {"a2", "A", 10, 0, 0, 0}, {"a3", "A", 10, 0, 0, 0}, {"b1", "B", 10, 0, 0, 0},
		}, "a1 b1 a2 a3"},
		{"a share of 2 gets twice the service", []request{
			{"a1", "A", 10, 0, 0, 0}, {"a2", "A", 10, 0, 0, 0}, {"d1", "Double", 10, 0, 0, 0}, {"d2", "Double", 10, 0, 0, 0},
			{"d3", "Double", 10, 0, 0, 0}, {"d4", "Double", 10, 0, 0, 0},
		}, "a1 d1 d2 a2 d3 d4"},
		{"cost counts", []request{
			{"a1", "A", 30, 0, 0, 0}, {"a2", "A", 30, 0, 0, 0}, {"b1", "B", 10, 0, 0, 0}, {"b2", "B", 10, 0, 0, 0},
			{"b3", "B", 10, 0, 0, 0},
		}, "a1 b1 b2 b3 a2"},
		{"short before long", []request{{"long", "O", 9000, 0, 0, 0}, {"short", "O", 10, 0, 1, 0}}, "short long"},
		{"unless the long one aged", []request{{"long", "O", 9000, 0, 0, 0}, {"short", "O", 10, 0, 3, 0}}, "long short"},
		{"priority first", []request{{"low", "O", 10, 0, 0, 0}, {"high", "O", 9000, 1, 5, 0}}, "high low"},
		{"past its deadline", []request{{"late", "O", 10, 0, 0, 9}, {"b", "O", 10, 0, 1, 11}}, "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			q := fairqueue.New[string](fairqueue.Settings{Share: func(organisation string) float64 {
				return map[string]float64{"Double": 2}[organisation]
			}})
			for _, r := range test.requests {
				item := fairqueue.Request[string]{Organisation: r.organisation, Cost: r.cost, Priority: r.priority, Value: r.name}
				if r.deadline > 0 {
					item.Deadline = at(r.deadline)
				}
				_, _, err := q.Push(at(r.at), item)
				is.NoErr(err)
			}
			var got []string
			for {
				item, _ := q.Pop(at(10))
				if item == nil {
					break
				}
				got = append(got, item.Value)
			}
			is.Equal(strings.Join(got, " "), test.want)
		})
	}
}

// TestFull guards against an organisation that shuts others out by filling the queue.
func TestFull(t *testing.T) {
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
	_, err = push("B", "b2") // two each would only turn the tables
	is.True(errors.As(err, &full))
	is.Equal(q.Len(), 3)
}

// TestModel compares random operations with the set of items that must be in the queue: none is lost or served twice.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fairqueue.New[int](fairqueue.Settings{Length: 8})
		var queued []*fairqueue.Item[int]
		drop := func(item *fairqueue.Item[int]) {
			i := slices.Index(queued, item)
			if i < 0 {
				t.Fatalf("item %v is not in the model", item)
			}
			queued = slices.Delete(queued, i, i+1)
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				item, evicted, err := q.Push(at(float64(i)), fairqueue.Request[int]{
					Organisation: rapid.SampledFrom([]string{"A", "B", "C"}).Draw(t, "organisation"),
					Cost:         rapid.Float64Range(0, 5000).Draw(t, "cost"),
					Priority:     rapid.IntRange(0, 2).Draw(t, "priority"),
					Value:        i,
				})
				if evicted != nil {
					drop(evicted)
				}
				if err == nil {
					queued = append(queued, item)
				} else if len(queued) < 8 {
					t.Fatal(err)
				}
			case 2:
				if item, _ := q.Pop(at(float64(i))); item != nil {
					drop(item)
				} else if len(queued) > 0 {
					t.Fatal("nothing served")
				}
			case 3:
				if len(queued) > 0 {
					item := rapid.SampledFrom(queued).Draw(t, "removed")
					if !q.Remove(item) || q.Remove(item) {
						t.Fatal("an item can be removed exactly once")
					}
					drop(item)
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "filter") == 0 {
				odd := func(item *fairqueue.Item[int]) bool { return item.Value%2 == 1 }
				for _, item := range q.Filter(odd) {
					drop(item)
				}
				if slices.ContainsFunc(queued, func(item *fairqueue.Item[int]) bool { return !odd(item) }) {
					t.Fatal("an even item stayed")
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
