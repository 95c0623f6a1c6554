package engine

import (
	"context"
	"slices"
	"time"

	"primrosecourse/internal/process/engine"
)

func (e *Engine) enqueue(r *run) {
	at, _ := slices.BinarySearchFunc(e.batch, r, func(a, b *run) int {
		if a.Priority != b.Priority {
			return b.Priority - a.Priority
		}
		return int(int64(a.arrival) - int64(b.arrival))
	})
	e.batch = slices.Insert(e.batch, at, r)
}

// step is the work of one step of the batch, with the prompt tokens that each run computes in it.
type step struct {
	runs     []*run
	prefill  []int
	duration time.Duration
}

// work runs the batch until ctx is done.
func (e *Engine) work(ctx context.Context) {
	for {
		s := e.plan()
		if len(s.runs) == 0 {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		timer := time.NewTimer(s.duration)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		e.apply(s, time.Now())
	}
}

func (e *Engine) plan() (s step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch = slices.DeleteFunc(e.batch, func(r *run) bool { return r.ended })
	if e.paused {
		return s
	}
	budget, decoding := e.settings.PrefillChunk, false
	for _, r := range e.batch {
		n := min(r.prefill, budget)
		if r.prefill > 0 && n == 0 {
			continue
		}
		budget -= n
		decoding = decoding || r.prefill == 0
		s.runs, s.prefill = append(s.runs, r), append(s.prefill, n)
	}
	seconds := float64(e.settings.PrefillChunk-budget) / e.settings.PrefillRate
	if decoding {
		seconds = max(seconds, 1/e.settings.DecodeRate)
	}
	if !e.warm() {
		seconds *= e.settings.ColdSlowdown
	}
	s.duration = time.Duration(seconds * float64(time.Second))
	return s
}

func (e *Engine) apply(s step, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, r := range s.runs {
		if r.ended {
			continue
		}
		if r.prefill > s.prefill[i] {
			r.prefill -= s.prefill[i]
			continue
		}
		if s.prefill[i] > 0 || r.next == len(r.Given) {
			r.prefill = 0
			if r.crashes {
				e.turnCold(now)
				e.downUntil = now.Add(e.settings.RestartTime)
				return
			}
			e.firstTokens++
			e.keep(r, now)
		}
		e.generate(r, now)
	}
	e.sample(now)
}

// keep stores the blocks of a computed prompt and pins them until the run ends.
func (e *Engine) keep(r *run, now time.Time) {
	for _, id := range r.Blocks[min(len(r.cached), len(r.Blocks)):] {
		if !e.cache.put(id, r.Version, nil, now) {
			return
		}
		r.cached = append(r.cached, e.cache.use([]string{id})...)
	}
}

func (e *Engine) generate(r *run, now time.Time) {
	t := Answer(r.fingerprint, r.next)
	r.emit(engine.Tokens{Index: r.next, Tokens: []uint32{t}, Text: string(rune(t))})
	r.next++
	e.ledger.Runs[r.record].Tokens++
	switch {
	case e.settings.StopAfter > 0 && r.next >= e.settings.StopAfter:
		e.finish(r, "Stop", now)
	case r.next >= r.MaxTokens:
		e.finish(r, "Length", now)
	}
}

// maxSamples bounds the load samples kept for lagging reports.
const maxSamples = 256

func (e *Engine) sample(now time.Time) {
	lag := e.settings.LoadLag
	if n := len(e.samples); n > 0 && now.Sub(e.samples[n-1].at) < lag/maxSamples {
		return
	}
	if len(e.samples) >= maxSamples {
		e.samples = append(e.samples[:0], e.samples[1:]...)
	}
	e.samples = append(e.samples, sample{now, e.report()})
}

func (e *Engine) report() (r engine.LoadReport) {
	r = engine.LoadReport{CacheUsed: len(e.cache.blocks), CacheBlocks: e.cache.limit, PrefillRate: e.settings.PrefillRate}
	for _, run := range e.runs {
		if run.prefill > 0 {
			r.Waiting++
			r.TokensWaited += run.prefill
		} else {
			r.Running++
		}
	}
	return r
}

// load returns the newest report that is at least LoadLag old.
func (e *Engine) load(now time.Time) engine.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.LoadLag == 0 {
		return e.report()
	}
	for _, s := range slices.Backward(e.samples) {
		if age := now.Sub(s.at); age >= e.settings.LoadLag {
			s.report.AgeMillis = age.Milliseconds()
			return s.report
		}
	}
	return engine.LoadReport{CacheBlocks: e.cache.limit, PrefillRate: e.settings.PrefillRate}
}
