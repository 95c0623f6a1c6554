package scenario

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// trafficSeed is the seed of the prompts of the background traffic.
const trafficSeed = 11

// traffic sends prompts and, unless the script excludes them, orders to every entry until it is stopped.
type traffic struct {
	stop     chan struct{}
	workers  sync.WaitGroup
	requests atomic.Int64

	mu       sync.Mutex
	failures []string
}

// end stops the traffic and waits for the requests in progress. It may be called more than once.
func (t *traffic) end() {
	select {
	case <-t.stop:
	default:
		close(t.stop)
	}
	t.workers.Wait()
}

func (t *traffic) fail(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = append(t.failures, fmt.Sprintf(format, args...))
}

// cmdTraffic starts the traffic. "traffic prompts" sends no orders, and "traffic prompts N" uses N callers per entry.
func cmdTraffic(s *system, _ *testscript.TestScript, args []string) error {
	t := &traffic{stop: make(chan struct{})}
	s.traffic = t
	callers := 2
	if len(args) > 1 {
		n, err := strconv.Atoi(args[1])
		if err != nil {
			return err
		}
		callers = n
	}
	for i, entry := range s.Entries {
		for j := range callers {
			t.workers.Go(func() { t.sendPrompts(s, entry, uint64(100*i+j)) })
		}
		if len(args) == 0 {
			t.workers.Go(func() { t.sendOrders(s, entry) })
		}
	}
	return nil
}

// sendPrompts sends prompts that begin with one of four shared prefixes, and checks that every answer is complete and correct.
func (t *traffic) sendPrompts(s *system, entry string, worker uint64) {
	random := rand.New(rand.NewPCG(trafficSeed, worker))
	for n := 0; ; n++ {
		select {
		case <-t.stop:
			return
		default:
		}
		prompt := strings.Repeat(fmt.Sprintf("shared context %d. ", random.IntN(4)), 20) +
			fmt.Sprintf("New line %d of caller %d.", n, worker)
		a, err := s.sendBalanced(entry, "/v1/completions", "", completion(prompt, "16"))
		t.requests.Add(1)
		if err != nil || a.status != 200 {
			t.fail("prompt by %s: %v %v", entry, err, a)
			continue
		}
		if text := completionText(a.body); text != expectedAnswer(prompt, 16) {
			t.fail("prompt by %s: got %q, want %q", entry, text, expectedAnswer(prompt, 16))
		}
	}
}

// sendBalanced sends a request as the load balancer of the platform does: to the preferred entry if it is in rotation,
// otherwise to the next one, and to the next again while the answer is safeToRetry. It makes up to 50 attempts, of which each
// entry that is not in rotation takes one, since entries may shut down and return between two attempts.
func (s *system) sendBalanced(preferred, path, key, body string) (a answer, err error) {
	index := slices.Index(s.Entries, preferred)
	for range 50 {
		entry := s.Entries[index%len(s.Entries)]
		index++
		if inRotation, known := s.inRotation.Load(entry); known && inRotation == false {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		a, err = s.send(call{organisation: "Org1", entry: entry}, path, key, body)
		if !safeToRetry(a, err) {
			return a, err
		}
	}
	return a, err
}

// completionText returns the text of a completion, or the body itself if it is not one.
func completionText(body string) string {
	var c struct {
		Choices []struct{ Text string }
	}
	if json.Unmarshal([]byte(body), &c) != nil || len(c.Choices) != 1 {
		return body
	}
	return c.Choices[0].Text
}

// sendOrders sends one order after the other, each with its own key, and checks that each runs once.
func (t *traffic) sendOrders(s *system, entry string) {
	for n := 0; ; n++ {
		select {
		case <-t.stop:
			return
		default:
		}
		key := "traffic-" + entry + "-" + strconv.Itoa(n)
		a, err := s.sendBalanced(entry, "/services/Orders/orders", key, `{"Item":"card"}`)
		t.requests.Add(1)
		if err != nil || a.status != 201 {
			t.fail("order %s: %v %v", key, err, a)
			continue
		}
		if err := cmdRuns(s, nil, []string{key, "1"}); err != nil {
			t.fail("%v", err)
		}
	}
}

// cmdTrafficStop stops the traffic without a verdict on it.
func cmdTrafficStop(s *system, _ *testscript.TestScript, _ []string) error {
	s.traffic.end()
	return nil
}

// cmdTrafficEnd stops the traffic and fails if a request failed.
func cmdTrafficEnd(s *system, ts *testscript.TestScript, _ []string) error {
	s.traffic.end()
	s.print(ts, fmt.Sprintf("requests=%d failures=%d", s.traffic.requests.Load(), len(s.traffic.failures)))
	if len(s.traffic.failures) > 0 {
		return fmt.Errorf("%d of %d requests failed, the first ones: %s", len(s.traffic.failures), s.traffic.requests.Load(),
			strings.Join(s.traffic.failures[:min(3, len(s.traffic.failures))], "\n"))
	}
	if s.traffic.requests.Load() == 0 {
		return fmt.Errorf("no request was sent")
	}
	return nil
}
