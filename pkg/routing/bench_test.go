package routing_test

import (
	"encoding/binary"
	"fmt"
	"testing"

	"primrosecourse/pkg/prefix"
	"primrosecourse/pkg/ring"
	"primrosecourse/pkg/routing"
	"primrosecourse/pkg/settings"
)

// BenchmarkRouteKnownPrompts measures a routing decision with a hint for each known prompt, up to the number of prompts in a
// deployment of 10,000 endpoints.
func BenchmarkRouteKnownPrompts(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 800_000} {
		b.Run(fmt.Sprintf("prompts=%d", n), func(b *testing.B) {
			r := router(nil)
			r.Hints = routing.NewHints(n)
			idOf := func(i int) (id prefix.ID) {
				binary.BigEndian.PutUint64(id[:], uint64(i)*0x9e3779b97f4a7c15)
				id[15] = 1
				return id
			}
			for i := range n {
				r.Hints.Add([]prefix.ID{idOf(i)}, 0, fmt.Sprintf("Model%d", i%12), now)
			}
			c := chain(30)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c[29] = idOf(i * 7919 % n)
				r.Route(now, routing.Prompt{Key: routing.Key{Hash: uint64(i), Source: routing.KeyCaller}, Chain: c,
					Tokens: 31000, Random: uint64(i)}, nil)
			}
			b.ReportMetric(float64(r.Hints.Len()), "hints")
		})
	}
}

// BenchmarkRingsMembership measures a change of membership: one failure domain leaves or returns, and the rings of its models are
// rebuilt.
func BenchmarkRingsMembership(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			d := &settings.Deployment{Models: []settings.Model{{Name: "M0"}, {Name: "M1"}}}
			for i := range 26 {
				d.FailureDomains = append(d.FailureDomains, settings.FailureDomain{Name: fmt.Sprint(i)})
			}
			for i := range n {
				d.Endpoints = append(d.Endpoints, settings.Endpoint{Name: fmt.Sprint("E", i), FailureDomain: fmt.Sprint(i % 26),
					Model: fmt.Sprint("M", i%2)})
			}
			s := routing.Rings(d, "", nil)
			b.ReportAllocs()
			for b.Loop() {
				d.FailureDomains[0].State ^= settings.Leaving
				s = routing.Rings(d, "", s)
			}
			if e := (ring.Endpoint{}); s.Models["M0"].Endpoint(0) == e {
				b.Fatal("empty ring")
			}
		})
	}
}
