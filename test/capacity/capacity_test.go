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
	// settle lets connections and buffers of the start end before a window.
	settle = 5 * time.Second
	// spread is the time after which every process has moved from the peers of its start to those that the
	// configuration gives it, which it prefers again after 30 s.
	spread = 36 * time.Second
	// span is the length of a window; it holds two waits of a watch.
	span = 10 * time.Second
	// changes is the number of configuration changes in a window, at one a second.
	changes = 10
)

func idle() { time.Sleep(span) }

// change drains and returns an endpoint by turns, one change each second, and tells the processor time of the commands.
func (s *system) change(b *testing.B) (perChange time.Duration) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for i := range changes {
		<-tick.C
		perChange += s.ctl(b, "endpoint", []string{"drain", "return"}[i%2], "-Platform", s.platform, "Model0")
	}
	<-tick.C // lets the last change spread
	return perChange / changes
}

// BenchmarkSize measures idle processes and the cost of a change over the number of processes.
func BenchmarkSize(b *testing.B) {
	var subscribers [2][]float64
	var processes []float64
	var idles, costs [4][]usage
	for _, sz := range []size{{entries: 3, models: 6, services: 2}, {entries: 4, models: 28, services: 4},
		{entries: 8, models: 88, services: 8}} {
		b.Run(fmt.Sprintf("entries=%d/agents=%d", sz.entries, sz.models+sz.services), func(b *testing.B) {
			s := startSystem(b, sz)
			time.Sleep(spread)
			quiet := s.measure(b, idle)
			quiet.print("\nidle, for each second", quiet.seconds)
			w := s.changed(b, quiet)
			// Every agent subscribes to two entries, spread over all; every other entry to both watchers.
			agents := 2 * float64(sz.models+sz.services) / float64(sz.entries)
			subscribers[0] = append(subscribers[0], agents+float64(sz.entries-2))
			subscribers[1] = append(subscribers[1], agents)
			processes = append(processes, float64(sz.entries+sz.models+sz.services))
			for i, u := range []usage{quiet.watchers, quiet.others, quiet.models, quiet.services} {
				idles[i] = append(idles[i], u.per(quiet.seconds))
			}
			for i, u := range []usage{w.watchers, w.others, w.models, w.services} {
				costs[i] = append(costs[i], u.per(changes))
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

// changed measures changes and takes off what the processes use when idle.
func (s *system) changed(b *testing.B, quiet window) (w window) {
	var command time.Duration
	w = s.measure(b, func() { command = s.change(b) })
	k := w.seconds / quiet.seconds
	for _, pair := range []struct{ u, v *usage }{{&w.watchers, &quiet.watchers}, {&w.others, &quiet.others},
		{&w.models, &quiet.models}, {&w.services, &quiet.services}} {
		pair.u.cpu -= k * pair.v.cpu
		pair.u.received -= k * pair.v.received
		pair.u.written -= k * pair.v.written
	}
	w.print(fmt.Sprintf("beyond idle (platform: with idle), for each change; primrosectl %v", command), changes)
	return w
}

// BenchmarkListed measures memory and the cost of a change over the endpoints that the configuration lists.
func BenchmarkListed(b *testing.B) {
	var listed []float64
	var costs [4][]usage
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("listed=%d", n), func(b *testing.B) {
			s := startSystem(b, size{entries: 4, models: 4, services: 2, listed: n})
			s.started(b).print("\nfrom the start until ready (watchers are those that read most), in all", 1)
			time.Sleep(settle)
			quiet := s.measure(b, idle)
			quiet.print("\nidle, for each second", quiet.seconds)
			w := s.changed(b, quiet)
			listed = append(listed, float64(n))
			for i, u := range []usage{w.watchers, w.others, w.models, w.services} {
				costs[i] = append(costs[i], u.per(changes))
			}
		})
	}
	for i, role := range []string{"watcher entry", "other entry", "model agent", "service agent"} {
		fitUsage("change "+role+" by listed endpoints", listed, costs[i])
	}
}

// BenchmarkLoad measures prompts and orders at three rates.
func BenchmarkLoad(b *testing.B) {
	s := startSystem(b, size{entries: 4, models: 6, services: 2})
	time.Sleep(settle)
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
			// A mean over the processes becomes the sum over all, since the rate is that of all.
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

// send sends requests at a fixed rate, whether or not earlier ones were answered.
func (s *system) send(kind string, rate int) (done, failed int64) {
	var answered, wrong atomic.Int64
	var wait sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	run := time.Now().UnixNano()
	for i := range rate * int(span/time.Second) {
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
				wrong.Add(1)
				return
			}
			req.Header.Set("Authorization", "Bearer credential0")
			req.Header.Set("Content-Type", "application/json")
			req.Header.Set("Idempotency-Key", fmt.Sprintf("%x", sha256.Sum256(fmt.Append(nil, run, i))))
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				wrong.Add(1)
				return
			}
			resp.Body.Close()
			if resp.StatusCode >= http.StatusBadRequest {
				wrong.Add(1)
				return
			}
			answered.Add(1)
		})
	}
	wait.Wait()
	return answered.Load(), wrong.Load()
}
