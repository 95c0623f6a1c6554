package engine

import (
	"context"
	"slices"
	"time"

	"primrosecourse/internal/process/engine"
)

// enqueue inserts a run into the batch, after the runs of higher priority and earlier runs of the same priority.
func (e *Engine) enqueue(r *run) {
	index, _ := slices.BinarySearchFunc(e.batch, r, func(a, b *run) int {
		if a.Priority != b.Priority {
			return b.Priority - a.Priority
		}
		return int(int64(a.arrival) - int64(b.arrival))
	})
	e.batch = slices.Insert(e.batch, index, r)
}

// step is one step of the batch.
type step struct {
	runs     []*run
	prefill  []int // tokens to prefill, for each of runs
	duration time.Duration
}

// runBatch executes steps of the batch until ctx is done, and waits while there are none.
func (e *Engine) runBatch(ctx context.Context) {
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

// plan returns the next step: one token of each decoding run, and the prefill of at most PrefillChunk tokens over all runs,
// in batch order. The step has no runs if the engine is paused or idle.
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

// apply updates the runs with the results of a step. A run whose prefill is complete generates a token.
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
			e.storeBlocks(r, now)
		}
		e.generateToken(r, now)
	}
	e.sampleLoad(now)
}

// storeBlocks adds the blocks of a prompt whose prefill is complete to the cache and pins them until the run ends. It
// stops at the first block for which there is no room.
func (e *Engine) storeBlocks(r *run, now time.Time) {
	for _, id := range r.Blocks[min(len(r.pinned), len(r.Blocks)):] {
		if !e.cache.put(id, r.Version, nil, now) {
			return
		}
		r.pinned = append(r.pinned, e.cache.pin([]string{id})...)
	}
}

func (e *Engine) generateToken(r *run, now time.Time) {
	t := Answer(r.fingerprint, r.next)
	r.emit(engine.Tokens{Index: r.next, Tokens: []uint32{t}, Text: string(rune(t))})
	r.next++
	e.ledger.Runs[r.recordIndex].Tokens++
	switch {
	case e.settings.StopAfter > 0 && r.next >= e.settings.StopAfter:
		e.finish(r, "Stop", now)
	case r.next >= r.MaxTokens:
		e.finish(r, "Length", now)
	}
}

// maxSamples is the maximum number of load samples that are stored for delayed load reports.
const maxSamples = 256

// sampleLoad records the current load unless the newest sample is younger than LoadLag/maxSamples.
func (e *Engine) sampleLoad(now time.Time) {
	lag := e.settings.LoadLag
	if n := len(e.samples); n > 0 && now.Sub(e.samples[n-1].takenAt) < lag/maxSamples {
		return
	}
	if len(e.samples) >= maxSamples {
		e.samples = append(e.samples[:0], e.samples[1:]...)
	}
	e.samples = append(e.samples, loadSample{now, e.loadReport()})
}

func (e *Engine) loadReport() (r engine.LoadReport) {
	r = engine.LoadReport{CacheUsed: len(e.cache.blocks), CacheBlocks: e.cache.limitBlocks, PrefillRate: e.settings.PrefillRate}
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

// laggedLoad returns the newest load report that is at least LoadLag old, or that of an idle engine if there is none. If
// LoadLag is 0, the report is current.
func (e *Engine) laggedLoad(now time.Time) engine.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.LoadLag == 0 {
		return e.loadReport()
	}
	for _, s := range slices.Backward(e.samples) {
		if age := now.Sub(s.takenAt); age >= e.settings.LoadLag {
			s.report.AgeMillis = age.Milliseconds()
			return s.report
		}
	}
	return engine.LoadReport{CacheBlocks: e.cache.limitBlocks, PrefillRate: e.settings.PrefillRate}
}
