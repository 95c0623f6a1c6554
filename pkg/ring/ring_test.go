package ring_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/ring"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func endpoints(n, domains int) (list []ring.Endpoint) {
	for i := range n {
		list = append(list, ring.Endpoint{Name: fmt.Sprintf("Model%d", i), FailureDomain: fmt.Sprintf("Domain%d", i%domains)})
	}
	return list
}

// TestWalk guards against two candidates of a prompt in the same failure domain while another domain has none in the list.
func TestWalk(t *testing.T) {
	for _, test := range []struct {
		name                  string
		endpoints, domains, n int
		want, wantDomains     int
	}{
		{"empty", 0, 1, 4, 0, 0},
		{"one", 1, 1, 4, 1, 1},
		{"fewer than domains", 12, 3, 2, 2, 2},
		{"one of each domain", 12, 3, 3, 3, 3},
		{"all", 12, 3, 12, 12, 3},
		{"more than there are", 12, 5, 99, 12, 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := ring.New(nil, endpoints(test.endpoints, test.domains))
			for key := range uint64(200) {
				got := r.Append(nil, key*key, now, test.n)
				is.Equal(len(got), test.want)
				names, domains := map[string]bool{}, map[string]bool{}
				for i, e := range got {
					names[r.Endpoint(e).Name] = true
					domains[r.Endpoint(e).FailureDomain] = true
					is.Equal(len(domains), min(i+1, test.wantDomains)) // distinct domains come first
				}
				is.Equal(len(names), test.want) // no endpoint twice
			}
		})
	}
}

// TestChangeMovesOnlyOwnKeys guards against a change of one endpoint that moves many keys of other endpoints, and against lists that
// depend on the order of the endpoints given to New.
func TestChangeMovesOnlyOwnKeys(t *testing.T) {
	is := is.New(t)
	all := endpoints(60, 3)
	shuffled := append([]ring.Endpoint(nil), all...)
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	before, reordered, after := ring.New(nil, all), ring.New(nil, shuffled), ring.New(nil, all[1:])
	moved, counts := 0, map[string]int{}
	for key := range uint64(10000) {
		a := before.Endpoint(before.First(key*7919, now)).Name
		is.Equal(a, reordered.Endpoint(reordered.First(key*7919, now)).Name)
		counts[a]++
		if b := after.Endpoint(after.First(key*7919, now)).Name; a != b && a != all[0].Name {
			moved++
		}
	}
	is.True(moved < 400) // only the keys that move since the capacity of one domain is smaller
	for _, e := range all {
		is.True(counts[e.Name] > 80 && counts[e.Name] < 330) // near the mean of 10000/60
	}
}

// TestRamp guards against a returning domain that gets its full share at once, loses keys during the ramp, or is not listed even after all
// other domains.
func TestRamp(t *testing.T) {
	is := is.New(t)
	r := ring.New([]ring.Domain{{Name: "Domain0", ReturnedAt: now, RampTime: time.Minute}}, endpoints(30, 3))
	gained := map[uint64]bool{}
	for _, step := range []struct {
		after    time.Duration
		min, max int
	}{{0, 0, 0}, {15 * time.Second, 200, 300}, {30 * time.Second, 440, 560}, {time.Minute, 1000, 1000}, {time.Hour, 1000, 1000}} {
		count := 0
		for key := range uint64(1000) {
			included := false
			for _, e := range r.Append(nil, key, now.Add(step.after), 3) {
				included = included || r.Endpoint(e).FailureDomain == "Domain0"
			}
			is.True(included || !gained[key]) // a key that was gained stays
			gained[key] = included
			if included {
				count++
			}
		}
		is.True(count >= step.min && count <= step.max)
	}
	is.Equal(len(r.Append(nil, 5, now, 30)), 30)
}

// TestNoAllocations guards against an allocation in each routing decision.
func TestNoAllocations(t *testing.T) {
	r := ring.New(nil, endpoints(1000, 26))
	dst := make([]int, 0, 8)
	is.New(t).Equal(testing.AllocsPerRun(100, func() { dst = r.Append(dst[:0], 42, now, 8) }), 0.0)
}

func BenchmarkAppend(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			r := ring.New(nil, endpoints(n, 4))
			dst := make([]int, 0, 4)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				dst = r.Append(dst[:0], uint64(i)*0x9e3779b97f4a7c15, now, 4)
			}
		})
	}
}

// TestWith guards against a ring that depends on the rings before it: instances that saw other changes would send a prompt to other endpoints.
func TestWith(t *testing.T) {
	const seed = 1
	random := rand.New(rand.NewPCG(seed, 0))
	all := endpoints(60, 4)
	current := ring.New(nil, nil)
	for step := range 200 {
		var list []ring.Endpoint
		for _, e := range all {
			if random.IntN(10) == 0 {
				e.FailureDomain = all[random.IntN(len(all))].FailureDomain
			}
			if random.IntN(10) == 0 {
				e.Weight = 2
			}
			if random.IntN(8) > 0 {
				list = append(list, e)
			}
		}
		random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		domains := []ring.Domain{{Name: all[0].FailureDomain, ReturnedAt: time.Unix(int64(step), 0), RampTime: time.Second}}
		if current = current.With(domains, list); !reflect.DeepEqual(current, ring.New(domains, list)) {
			t.Fatalf("seed %d, step %d: the ring differs from a new one", seed, step)
		}
	}
}

// BenchmarkWith measures a ring in which one endpoint has left since the one before.
func BenchmarkWith(b *testing.B) {
	for _, n := range []int{100, 1000, 3000, 10000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			list := endpoints(n, 4)
			previous := ring.New(nil, list)
			for b.Loop() {
				previous.With(nil, list[1:])
			}
		})
	}
}

func BenchmarkNew(b *testing.B) {
	for _, n := range []int{100, 1000, 3000, 10000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			list := endpoints(n, 4)
			for b.Loop() {
				ring.New(nil, list)
			}
		})
	}
}

func ExampleRing_Append() {
	r := ring.New(nil, []ring.Endpoint{
		{Name: "Model1", FailureDomain: "North"},
		{Name: "Model2", FailureDomain: "North"},
		{Name: "Model3", FailureDomain: "South"},
	})
	for _, i := range r.Append(nil, 7, time.Now(), 3) {
		fmt.Println(r.Endpoint(i).Name, r.Endpoint(i).FailureDomain)
	}
	// Output:
	// Model2 North
	// Model3 South
	// Model1 North
}
