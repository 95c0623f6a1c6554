package capacity

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// settleTime is the wait between the start and the first window of BenchmarkListed and BenchmarkLoad. After it, the
	// connections and buffers of the start no longer affect the figures.
	settleTime = 5 * time.Second
	// reconnectTime is the time after which every process has moved from its bootstrap peers to those that the configuration
	// assigns to it, which takes a process up to 30 s.
	reconnectTime = 36 * time.Second
	// windowTime is the length of an idle window, and the time for which send sends requests. It covers two long polls of a watch.
	windowTime = 10 * time.Second
	// changeCount is the number of configuration changes in the window of measureChanges, at one per second.
	changeCount = 10
)

func waitWindow() { time.Sleep(windowTime) }

// makeChanges alternately drains and returns an endpoint, once per second, and returns the mean processor time of the
// commands.
func (s *system) makeChanges(b *testing.B) (perChange time.Duration) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for i := range changeCount {
		<-tick.C
		perChange += s.ctl(b, "endpoint", []string{"drain", "return"}[i%2], "-Platform", s.platform, "Model0")
	}
	<-tick.C // gives the last change a second to reach all processes
	return perChange / changeCount
}

// BenchmarkSize measures idle processes, and the cost of a configuration change, for several numbers of processes.
func BenchmarkSize(b *testing.B) {
	var subscribers [2][]float64
	var processes []float64
	var idles, costs [4][]usage
	for _, sz := range []size{{entries: 3, models: 6, services: 2}, {entries: 4, models: 28, services: 4},
		{entries: 8, models: 88, services: 8}} {
		b.Run(fmt.Sprintf("entries=%d/agents=%d", sz.entries, sz.models+sz.services), func(b *testing.B) {
			s := startSystem(b, sz)
			time.Sleep(reconnectTime)
			idleUse := s.measure(b, waitWindow)
			idleUse.print("\nidle, for each second", idleUse.seconds)
			w := s.measureChanges(b, idleUse)
			// Each agent subscribes to two entries, spread over all of them. Each entry that is not a watcher subscribes to
			// both watchers.
			agents := 2 * float64(sz.models+sz.services) / float64(sz.entries)
			subscribers[0] = append(subscribers[0], agents+float64(sz.entries-2))
			subscribers[1] = append(subscribers[1], agents)
			processes = append(processes, float64(sz.entries+sz.models+sz.services))
			for i, u := range []usage{idleUse.watchers, idleUse.others, idleUse.models, idleUse.services} {
				idles[i] = append(idles[i], u.per(idleUse.seconds))
			}
			for i, u := range []usage{w.watchers, w.others, w.models, w.services} {
				costs[i] = append(costs[i], u.per(changeCount))
			}
		})
	}
	for i, role := range []string{"watcher entry", "other entry"} {
		fitUsage("idle "+role+" by subscribers", subscribers[i], idles[i])
		fitUsage("change "+role+" by subscribers", subscribers[i], costs[i])
	}
	for i, role := range []string{"model agent", "service agent"} {
		fitUsage("idle "+role+" by processes", processes, idles[2+i])
		fitUsage("change "+role+" by processes", processes, costs[2+i])
	}
}

// measureChanges measures configuration changes and subtracts the processor time and bytes that the processes use when idle. The
// memory and the calls of the platform are those of the whole window.
func (s *system) measureChanges(b *testing.B, idleUse window) (w window) {
	var commandTime time.Duration
	w = s.measure(b, func() { commandTime = s.makeChanges(b) })
	ratio := w.seconds / idleUse.seconds
	for _, pair := range []struct{ total, idle *usage }{{&w.watchers, &idleUse.watchers}, {&w.others, &idleUse.others},
		{&w.models, &idleUse.models}, {&w.services, &idleUse.services}} {
		pair.total.cpu -= ratio * pair.idle.cpu
		pair.total.received -= ratio * pair.idle.received
		pair.total.written -= ratio * pair.idle.written
	}
	w.print(fmt.Sprintf("beyond idle use (platform calls: idle ones included), for each change; processor time of primrosectl %v", commandTime), changeCount)
	return w
}

// BenchmarkListed measures memory, and the cost of a configuration change, for several numbers of endpoints in the
// configuration.
func BenchmarkListed(b *testing.B) {
	var listed []float64
	var costs [4][]usage
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("listed=%d", n), func(b *testing.B) {
			s := startSystem(b, size{entries: 4, models: 4, services: 2, listed: n})
			s.usageSinceStart(b).print("\nfrom the start until ready, in total (watchers are the two entries that read most)", 1)
			time.Sleep(settleTime)
			idleUse := s.measure(b, waitWindow)
			idleUse.print("\nidle, for each second", idleUse.seconds)
			w := s.measureChanges(b, idleUse)
			listed = append(listed, float64(n))
			for i, u := range []usage{w.watchers, w.others, w.models, w.services} {
				costs[i] = append(costs[i], u.per(changeCount))
			}
		})
	}
	for i, role := range []string{"watcher entry", "other entry", "model agent", "service agent"} {
		fitUsage("change "+role+" by listed endpoints", listed, costs[i])
	}
}

// BenchmarkLoad measures the cost of prompts and then that of orders, each at three request rates.
func BenchmarkLoad(b *testing.B) {
	s := startSystem(b, size{entries: 4, models: 6, services: 2})
	time.Sleep(settleTime)
	for _, kind := range []string{"prompt", "order"} {
		var rates, calls []float64
		var used [4][]usage
		for _, rate := range []int{20, 60, 120} {
			var done, failed int64
			w := s.measure(b, func() { done, failed = s.send(kind, rate) })
			w.print(fmt.Sprintf("\n%d %ss/s: %d answered, %d failed, for each second", rate, kind, done, failed), w.seconds)
			rates = append(rates, float64(done)/w.seconds)
			total := 0
			for _, n := range w.calls {
				total += n
			}
			calls = append(calls, float64(total)/w.seconds)
			entries := w.watchers
			entries.cpu = (w.watchers.cpu + w.others.cpu) / 2
			entries.received = (w.watchers.received + w.others.received) / 2
			entries.written = (w.watchers.written + w.others.written) / 2
			// The means over the processes become sums, since the rate is that of all processes together.
			for i, u := range []usage{entries, w.models, w.services} {
				n := []float64{4, 6, 2}[i]
				used[i] = append(used[i], usage{n * u.cpu, u.resident, n * u.received, n * u.written}.per(w.seconds))
			}
		}
		for i, role := range []string{"all entries", "all model agents", "all service agents"} {
			fitUsage(kind+"s/s, "+role, rates, used[i])
		}
		fit(kind+"s/s, platform calls/s", rates, calls)
	}
}

// send sends requests at a fixed rate, whether or not earlier ones have been answered, and waits for all answers.
func (s *system) send(kind string, rate int) (done, failed int64) {
	var answered, errored atomic.Int64
	var wait sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	benchmarkRun := time.Now().UnixNano()
	for i := range rate * int(windowTime/time.Second) {
		<-tick.C
		entry := s.entries[i%len(s.entries)]
		path, body := "/services/Orders/orders", `{"Item":"card"}`
		if kind == "prompt" {
			path = "/v1/completions"
			body = fmt.Sprintf(`{"model":"Notes","prompt":"%s line %d","max_tokens":32}`, strings.Repeat("shared ", 300), i)
		}
		wait.Go(func() {
			req, err := http.NewRequest(http.MethodPost, "http://"+entry.http+path, strings.NewReader(body))
			if err != nil {
				errored.Add(1)
				return
			}
			req.Header.Set("Authorization", "Bearer credential0")
			req.Header.Set("Content-Type", "application/json")
			req.Header.Set("Idempotency-Key", fmt.Sprintf("%x", sha256.Sum256(fmt.Append(nil, benchmarkRun, i))))
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				errored.Add(1)
				return
			}
			resp.Body.Close()
			if resp.StatusCode >= http.StatusBadRequest {
				errored.Add(1)
				return
			}
			answered.Add(1)
		})
	}
	wait.Wait()
	return answered.Load(), errored.Load()
}
