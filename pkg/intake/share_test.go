package intake_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"primrosecourse/pkg/intake"
)

// fleet simulates processes that send requests to one endpoint, which states a rate in each answer.
type fleet struct {
	random    *rand.Rand
	now       time.Time
	processes []*intake.Table
	// weights are the shares of the demand that arrives at each process.
	weights []float64
	// interval is the time between two messages of a process, 0 for none, delay the time until they arrive, lost the share that does not.
	interval, delay time.Duration
	lost            float64
	rate            float64
	sent            []time.Duration
	messages        []message
}

type message struct {
	at       time.Time
	from     int
	reports  []intake.Report
	receiver int
}

const answerTime = 40 * time.Millisecond

func newFleet(seed uint64, processes int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, uint64(processes))), now: time.Unix(1_800_000_000, 0), rate: 6.4,
		interval: 300 * time.Millisecond, delay: 50 * time.Millisecond}
	for range processes {
		f.processes = append(f.processes, intake.New())
		f.weights = append(f.weights, 1)
	}
	return f
}

// run lets requests arrive at demand per second for d, in steps of a millisecond.
func (f *fleet) run(d time.Duration, demand float64) {
	start, total := f.now, 0.0
	for _, w := range f.weights {
		total += w
	}
	for f.now.Sub(start) < d {
		f.now = f.now.Add(time.Millisecond)
		f.exchange()
		for i, t := range f.processes {
			if f.random.Float64() >= demand/1000*f.weights[i]/total {
				continue
			}
			if t.Admit(f.now, "e", len(f.processes), f.random.Float64()).Admitted {
				t.Sent(f.now, "e")
				f.sent = append(f.sent, f.now.Sub(time.Unix(1_800_000_000, 0)))
				t.Observe(f.now.Add(answerTime), f.now, "e", intake.Statement{HasRate: true, Rate: f.rate})
			}
		}
	}
}

// exchange sends and delivers the messages that are due.
func (f *fleet) exchange() {
	if f.interval == 0 {
		return
	}
	for i, t := range f.processes {
		offset := (time.Duration(i) * f.interval / time.Duration(len(f.processes))).Truncate(time.Millisecond)
		if (f.now.Sub(time.Unix(1_800_000_000, 0))+offset)%f.interval != 0 {
			continue
		}
		reports, _ := t.Reports(f.now, 10, nil)
		for j := range f.processes {
			if j != i && f.random.Float64() >= f.lost {
				f.messages = append(f.messages, message{at: f.now.Add(f.delay), from: i, reports: reports, receiver: j})
			}
		}
	}
	rest := f.messages[:0]
	for _, m := range f.messages {
		if m.at.After(f.now) {
			rest = append(rest, m)
			continue
		}
		f.processes[m.receiver].SetPeer(f.now, fmt.Sprint(m.from), 1, m.reports)
	}
	f.messages = rest
}

// most returns the largest number of requests within four seconds from the given time on.
func (f *fleet) most(from time.Duration) (most int) {
	for i, first := range f.sent {
		n := 0
		for _, s := range f.sent[i:] {
			if s-first < 4*time.Second {
				n++
			}
		}
		if first >= from {
			most = max(most, n)
		}
	}
	return most
}

// sentBetween returns the number of requests per second between two times.
func (f *fleet) sentBetween(from, to time.Duration) float64 {
	n := 0
	for _, s := range f.sent {
		if s >= from && s < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// TestEndpointGetsMoreThanStated guards against processes that together send an endpoint more requests than it stated that it takes, and
// against a rate that is not used though there are enough requests.
func TestEndpointGetsMoreThanStated(t *testing.T) {
	const seed = 5
	for _, test := range []struct {
		name      string
		processes int
		demand    float64
		set       func(f *fleet)
		// least and most bound the mean rate after the first three seconds, as shares of the stated rate.
		least, most float64
	}{
		{"one process, twice the rate", 1, 12.8, nil, 0.85, 1.2},
		{"five processes, less than the rate", 5, 5, nil, 0.5, 1},
		{"five processes, twice the rate", 5, 12.8, nil, 0.85, 1.2},
		{"five processes, twenty times the rate", 5, 128, nil, 0.85, 1.2},
		{"one of five gets nearly all requests", 5, 12.8, func(f *fleet) { f.weights[0] = 50 }, 0.85, 1.2},
		{"a fifth of the messages is lost", 5, 25, func(f *fleet) { f.lost = 0.2 }, 0.85, 1.2},
		{"no messages", 5, 64, func(f *fleet) { f.interval = 0 }, 0.6, 1.2},
		{"60 processes, twice the rate", 60, 12.8, nil, 0.85, 1.2},
		{"60 processes, ten times the rate", 60, 64, nil, 0.85, 1.2},
		{"60 processes, no messages", 60, 64, func(f *fleet) { f.interval = 0 }, 0.6, 1.2},
		{"24 processes, a low rate", 24, 30, func(f *fleet) { f.rate = 0.5 }, 0.5, 2.5},
		{"a rate of 0", 5, 30, func(f *fleet) { f.rate = 0 }, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(seed, test.processes)
			if test.set != nil {
				test.set(f)
			}
			f.run(15*time.Second, test.demand)
			allowed := 1.5*f.rate*4 + 5 // the platform's bound for any four seconds, three seconds after the first statement
			if n := f.most(3 * time.Second); float64(n) > allowed {
				t.Errorf("seed %d: %d requests within 4 s, allowed %.0f", seed, n, allowed)
			}
			if mean := f.sentBetween(3*time.Second, 15*time.Second); f.rate > 0 && (mean < test.least*f.rate || mean > test.most*f.rate) {
				t.Errorf("seed %d: %.1f requests a second of %.1f", seed, mean, f.rate)
			}
		})
	}
}

// TestBurstAtEndpointWithStatedRate guards against many processes that each send a request at the same moment to an endpoint that takes few.
func TestBurstAtEndpointWithStatedRate(t *testing.T) {
	const seed = 5
	for _, processes := range []int{5, 24, 60} {
		f := newFleet(seed, processes)
		f.run(5*time.Second, 3)
		f.run(5*time.Second, 40)
		if n, allowed := f.most(3*time.Second), 1.5*f.rate*4+5; float64(n) > allowed {
			t.Errorf("seed %d, %d processes: %d requests within 4 s, allowed %.0f", seed, processes, n, allowed)
		}
	}
}

// BenchmarkAdmit measures a decision with reports of other processes.
func BenchmarkAdmit(b *testing.B) {
	for _, peers := range []int{5, 50, 200} {
		b.Run(fmt.Sprint("peers=", peers), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			t := intake.New()
			t.Observe(now, now.Add(-answerTime), "e", intake.Statement{HasRate: true, Rate: 6})
			for i := range peers {
				t.SetPeer(now, fmt.Sprint(i), 1, []intake.Report{{Endpoint: "e", Sent: 0.1, Wanted: 0.1, Rate: 6}})
			}
			for b.Loop() {
				t.Admit(now, "e", peers+1, 0.5)
			}
		})
	}
}
