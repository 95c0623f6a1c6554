package warmup_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/warmup"
)

// TestRateOfAllProcesses guards against more requests to a cold endpoint within one second than it can serve, when several
// processes send as many as Rate allows.
func TestRateOfAllProcesses(t *testing.T) {
	const (
		perSecond = 33.0
		seed      = 7
	)
	for _, processes := range []int{1, 3, 5, 12, 60, 103} {
		random := rand.New(rand.NewPCG(seed, uint64(processes)))
		rates := make([]warmup.Rate, processes)
		now := time.Now()
		start := now
		for i := range rates {
			rates[i].PerSecond = perSecond
			rates[i].Cold(now, 5*time.Second, random.Float64())
		}
		var sent []time.Duration
		for now.Sub(start) < 4*time.Second {
			now = now.Add(time.Duration(random.IntN(3)) * time.Millisecond)
			r := &rates[random.IntN(processes)]
			if r.Allows(now, processes) {
				r.Sent(now, processes)
				sent = append(sent, now.Sub(start))
			}
		}
		highest := 0
		for i, first := range sent {
			n := 0
			for _, s := range sent[i:] {
				if s-first < time.Second {
					n++
				}
			}
			highest = max(highest, n)
		}
		// By the platform's contract, at most one and a half times the rate plus five requests are allowed.
		if float64(highest) > perSecond*1.5+5 {
			t.Errorf("seed %d, %d processes: %d requests in one second", seed, processes, highest)
		}
		if float64(len(sent)) < 3*perSecond {
			t.Errorf("seed %d, %d processes: only %d requests in four seconds", seed, processes, len(sent))
		}
	}
}

// TestRateEndsWhenWarm guards against a limit that remains after the endpoint has become warm.
func TestRateEndsWhenWarm(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := warmup.Rate{PerSecond: 1}
	is.True(r.Allows(now, 5))
	r.Cold(now, time.Second, 0.5)
	r.Sent(now, 5)
	is.True(!r.Allows(now.Add(900*time.Millisecond), 5))
	is.True(r.Allows(now.Add(time.Second), 5))
	r.Cold(now, 10*time.Second, 0.5)
	r.Cold(now, time.Second, 0.5) // a shorter remaining time does not shorten the cold time
	is.True(!r.Allows(now.Add(2*time.Second), 5))
}
