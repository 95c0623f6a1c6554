package scenario

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"primrosecourse/internal/standin/engine"
	"primrosecourse/internal/standin/orders"
	"primrosecourse/pkg/token"
	"primrosecourse/test/site"
)

const (
	// defaultSeed and defaultRounds apply unless PRIMROSE_SEED or PRIMROSE_ROUNDS is set. More rounds make a longer run.
	defaultSeed   = 20261204
	defaultRounds = 3
	// faultTime is the duration of the faults of a round, and timeAfterFaults the time for which requests are sent
	// afterwards.
	faultTime       = 700 * time.Millisecond
	timeAfterFaults = 300 * time.Millisecond
)

// injection is a fault with the function that undoes it, which does nothing for a fault that is over at once.
type injection struct {
	// stage is the position in the order in which faults are undone: 0 for processes, 1 for faults of stand-ins, and 2 for
	// changes by operators, which need the processes and stand-ins.
	stage  int
	name   string
	inject func(s *system) error
	undo   func(s *system) error
}

func setFault(standin, rule string) func(*system) error {
	return func(s *system) error { return cmdFault(s, nil, []string{standin, rule}) }
}

func doNothing(*system) error { return nil }

func kill(name string) injection {
	return injection{0, "kill " + name, func(s *system) error { s.Processes[name].Kill(); return nil },
		func(s *system) error {
			if err := s.Processes[name].Start(); err != nil || s.Domains[name] != "" {
				return err
			}
			return s.WaitListening(name)
		}}
}

func pause(name string) injection {
	send := func(sig syscall.Signal) func(*system) error {
		return func(s *system) error {
			if !s.Processes[name].Running() {
				return nil // the other fault of the round killed it
			}
			return s.Processes[name].Signal(sig)
		}
	}
	return injection{0, "pause " + name, send(syscall.SIGSTOP), send(syscall.SIGCONT)}
}

func standinFault(name, rule string) injection {
	return injection{1, name + " " + rule, setFault(name, rule), setFault(name, "clear")}
}

func changeConfig(apply, undo []string) injection {
	run := func(args []string) func(*system) error {
		return func(s *system) error {
			_, _ = s.Primrosectl(args...) // it fails if the other fault of the round is an outage of the platform
			return nil
		}
	}
	return injection{2, strings.Join(apply, " "), run(apply), func(s *system) error {
		out, err := s.Primrosectl(undo...)
		if err != nil {
			return fmt.Errorf("%s: %w: %s", strings.Join(undo, " "), err, out)
		}
		return nil
	}}
}

// injections contains the faults from which TestTwoFaults draws. Each affects one process, one stand-in, one endpoint or one
// failure domain.
var injections = []injection{
	kill("Entry2"), kill("Model1"), kill("Order1"), kill("Order2"), kill("Store1"), kill("Model2.engine"),
	pause("Entry2"), pause("Model2"), pause("Order1"), pause("Order2"),
	standinFault("platform", `{"Kind":"Outage"}`),
	standinFault("platform", `{"Kind":"ReplyLost","Method":"PUT","Count":20}`),
	standinFault("platform", `{"Kind":"Delay","Delay":300000000}`),
	standinFault("platform", `{"Kind":"WatchGap","Route":"/watch"}`),
	standinFault("platform", `{"Kind":"RateLimit","Method":"PUT"}`),
	standinFault("Order1.service", `{"Kind":"ReplyLost","Method":"POST"}`),
	standinFault("Order2.service", `{"Kind":"Delay","Method":"POST","Delay":400000000}`),
	standinFault("Store1", `{"Kind":"Delay","Delay":200000000}`),
	{1, "Model3 turns cold", func(s *system) error { return cmdAdmin(s, nil, []string{"Model3", "cold"}) }, doNothing},
	{1, "Model1 cuts its streams", func(s *system) error { return cmdAdmin(s, nil, []string{"Model1", "cut"}) }, doNothing},
	changeConfig([]string{"domain", "leave", "South"}, []string{"domain", "return", "South"}),
	changeConfig([]string{"endpoint", "drain", "Order2"}, []string{"endpoint", "return", "Order2"}),
}

// request is a request with the answer that the caller received.
type request struct {
	name   string // idempotency key or prompt
	order  bool   // an order, not a prompt
	answer answer
	err    error
}

// TestTwoFaults injects two faults at a time, drawn with a logged seed, into a system that serves requests. It guards
// against orders that run twice, requests that run although their refusal says "not run", incomplete or wrong answers,
// engines that receive runs beyond their capacity, and a system that does not recover.
func TestTwoFaults(t *testing.T) {
	seed, rounds := uint64(defaultSeed), defaultRounds
	if v, err := strconv.ParseUint(os.Getenv("PRIMROSE_SEED"), 10, 64); err == nil {
		seed = v
	}
	if v, err := strconv.Atoi(os.Getenv("PRIMROSE_ROUNDS")); err == nil {
		rounds = v
	}
	t.Logf("seed %d, rounds %d", seed, rounds)
	random := rand.New(rand.NewPCG(seed, 0))
	for round := range rounds {
		first := random.IntN(len(injections))
		second := (first + 1 + random.IntN(len(injections)-1)) % len(injections)
		pair := []injection{injections[first], injections[second]}
		t.Run(fmt.Sprintf("%d %s and %s", round, pair[0].name, pair[1].name), func(t *testing.T) {
			t.Parallel()
			runWithFaults(t, pair)
		})
	}
}

func runWithFaults(t *testing.T, pair []injection) {
	s := newSystem(t.TempDir())
	defer s.saveLogs(t.Name())
	defer s.down()
	check := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatalf("%v\n%s", err, s.logs())
		}
	}
	check(s.Define(site.Shape{Entries: 2, Models: 3, Orders: 2, Stores: 1, Fencing: true}))
	check(s.Up())
	load := startRequestLoad(s)
	for _, f := range pair {
		check(f.inject(s))
	}
	time.Sleep(faultTime)
	slices.SortStableFunc(pair, func(a, b injection) int { return a.stage - b.stage })
	for _, f := range pair {
		check(f.undo(s))
	}
	time.Sleep(timeAfterFaults)
	requests := load.end()
	for _, name := range slices.Concat(s.Entries, s.Agents) {
		check(s.WaitReady(name))
	}
	check(s.waitRecovered())
	check(s.verify(requests))
}

// requestLoad sends requests with unique names and records the answers.
type requestLoad struct {
	stop     chan struct{}
	workers  sync.WaitGroup
	mu       sync.Mutex
	requests []request
}

func startRequestLoad(s *system) *requestLoad {
	l := &requestLoad{stop: make(chan struct{})}
	for i, entry := range s.Entries {
		for j := range 2 {
			l.workers.Go(func() { l.work(s, entry, fmt.Sprintf("%d.%d", i, j)) })
		}
	}
	return l
}

// work sends orders and prompts through an entry until the load ends. Every third request is an order.
func (l *requestLoad) work(s *system, entry, worker string) {
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		c := call{organisation: "Org1", entry: entry}
		r := request{name: fmt.Sprintf("request %s.%d", worker, n), order: n%3 == 0}
		if r.order {
			r.answer, r.err = s.send(c, "/services/Orders/orders", r.name, `{"Item":"card"}`)
		} else {
			r.answer, r.err = s.send(c, "/v1/completions", "", completion(r.name, "16"))
		}
		l.mu.Lock()
		l.requests = append(l.requests, r)
		l.mu.Unlock()
		if r.err != nil {
			time.Sleep(10 * time.Millisecond) // the entry may be down
		}
	}
}

// end stops the load and returns all requests.
func (l *requestLoad) end() []request {
	close(l.stop)
	l.workers.Wait()
	return l.requests
}

// waitRecovered waits until all entries serve prompts and orders.
func (s *system) waitRecovered() error {
	for _, entry := range s.Entries {
		for _, order := range []bool{true, false} {
			err := s.Wait(entry, "serve again", func() bool {
				c := call{organisation: "Org1", entry: entry}
				var a answer
				var err error
				if order {
					a, err = s.send(c, "/services/Orders/orders", fmt.Sprint("after ", time.Now()), `{}`)
				} else {
					a, err = s.send(c, "/v1/completions", "", completion("after the faults", "4"))
				}
				return err == nil && a.status < 300
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// verify compares the answers to the requests with the ledgers of the stand-ins.
func (s *system) verify(requests []request) error {
	if len(requests) == 0 {
		return fmt.Errorf("no request was sent")
	}
	runs, prompts := map[string]int{}, map[uint64]int{}
	for name := range s.Addresses {
		switch {
		case strings.HasSuffix(name, ".service"):
			var ledger []orders.Run
			if err := s.getJSON(name, "/ledger", &ledger); err != nil {
				return err
			}
			for _, r := range ledger {
				runs[r.Key]++
			}
		case strings.HasSuffix(name, ".engine"):
			var l engine.Ledger
			if err := s.getJSON(name, "/ledger", &l); err != nil {
				return err
			}
			if l.Excess > 0 {
				return fmt.Errorf("%s received %d runs beyond its capacity", name, l.Excess)
			}
			for _, r := range l.Runs {
				prompts[r.Fingerprint]++
			}
		}
	}
	// An engine that was killed lost its ledger, so the count of a prompt may be too low, but never too high.
	for _, r := range requests {
		ran := prompts[engine.Fingerprint(token.Encode(r.name))]
		if r.order {
			ran = runs[r.name]
		}
		if err := r.verify(ran); err != nil {
			return err
		}
	}
	return nil
}

// verify checks the answer of a request that ran as often as the ledgers show.
func (r request) verify(ran int) error {
	switch {
	case r.order && ran > 1:
		return fmt.Errorf("order %s ran %d times", r.name, ran)
	case r.err != nil:
		return nil // the entry was killed and gave no complete answer
	case r.order && r.answer.status == 201 && ran != 1:
		return fmt.Errorf("order %s was answered with 201 and ran %d times", r.name, ran)
	case r.answer.outcome == "not run" && ran != 0:
		return fmt.Errorf("%s was answered with \"not run\" and ran %d times: %s", r.name, ran, r.answer)
	case !r.order && r.answer.status == 200 && completionText(r.answer.body) != expectedAnswer(r.name, 16):
		return fmt.Errorf("%s got a wrong answer %q", r.name, completionText(r.answer.body))
	case r.answer.status >= 400 && r.answer.outcome == "":
		return fmt.Errorf("%s got an error without an outcome: %s", r.name, r.answer)
	}
	return nil
}
