package main

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// firstTokenTarget is the target for the 95th percentile of the time to first token.
const firstTokenTarget = 1200 * time.Millisecond

// meter collects the measurements of a run. Times to first token are measured at the caller and include all waiting. A
// request without a complete answer is recorded in the histograms with the request timeout.
type meter struct {
	sim      *simulation
	from, to time.Duration // window in which arrivals are measured

	classes [2]*hdrhistogram.Histogram
	all     *hdrhistogram.Histogram
	small   *hdrhistogram.Histogram // requests of small organisations
	// Orgs counts the requests of each organisation, in the order of the deployment.
	Orgs []orgCount
	// answers counts complete answers, timely those of which at least 95 percent of the tokens came within
	// tokenIntervalTarget of the previous token.
	answers, timely int
	// promptTokens counts all prompt tokens, recomputed the ones that an engine computed again, and recomputedInBlocks the
	// part of recomputed in whole blocks.
	promptTokens, recomputed, recomputedInBlocks float64
	linkBusy                                     time.Duration
	linkBytes                                    float64
	retries                                      int
	// Excess counts submissions beyond the capacity of an engine, Lost requests that were accepted and got no complete
	// answer. These and the following fields count the entire run, including the warm-up. The following ones show whether a
	// request was never finished or finished twice.
	Excess, Lost                              int
	arrived, completed, failed, finishedTwice int
	unfinished                                int // requests queued or in a batch at the end of the run
}

// orgCount counts the requests of an organisation. Refused counts those without a complete answer, Late those whose first token
// came after firstTokenTarget.
type orgCount struct {
	Name                    string
	Requests, Late, Refused int
}

func newMeter(sim *simulation, s *scenario) *meter {
	m := &meter{sim: sim, from: sim.plan.WarmUp, to: sim.plan.WarmUp + sim.plan.Measured}
	if s.Begin != nil {
		m.from += s.At
		m.to = m.from + s.For + measuredAfterFault
	}
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(100, int64(200*time.Second/time.Microsecond), 3)
	}
	m.classes = [2]*hdrhistogram.Histogram{histogram(), histogram()}
	m.all, m.small = histogram(), histogram()
	for _, o := range sim.deployment.Organisations {
		m.Orgs = append(m.Orgs, orgCount{Name: o.Name})
	}
	return m
}

// inWindow reports whether t is within the measured window.
func (m *meter) inWindow(t time.Duration) bool { return t >= m.from && t < m.to }

// recordPrefill counts the recomputed prompt tokens of a request. The engine found the first hitTokens in its cache.
func (m *meter) recordPrefill(r *request, hitTokens int) {
	if !m.inWindow(r.sentAt) {
		return
	}
	block := m.sim.plan.blockTokens
	m.recomputed += float64(max(0, r.computedBefore()-hitTokens))
	m.recomputedInBlocks += float64(max(0, r.computedBefore()/block*block-hitTokens))
}

// recordTransfer counts a transfer over the link of a store.
func (m *meter) recordTransfer(start, duration time.Duration, bytes float64) {
	if m.inWindow(start) {
		m.linkBusy += duration
		m.linkBytes += bytes
	}
}

// finish records the result of a request as its caller sees it.
func (m *meter) finish(r *request, complete bool) {
	if r.finishes > 1 {
		m.finishedTwice++
		return
	}
	if complete {
		m.completed++
	} else {
		m.failed++
		if r.accepted {
			m.Lost++
		}
	}
	if !m.inWindow(r.sentAt) {
		return
	}
	m.promptTokens += float64(r.tokens)
	m.retries += max(0, r.attempts-1)
	latency := m.sim.deployment.Limits.RequestTimeout
	if complete {
		latency = r.firstTokenAt - r.sentAt
		m.answers++
		if r.slowTokens <= 0.05*float64(r.answerTokens) {
			m.timely++
		}
	}
	for i := range m.Orgs {
		if o := &m.Orgs[i]; o.Name == r.org.Name {
			o.Requests++
			if !complete {
				o.Refused++
			} else if latency > firstTokenTarget {
				o.Late++
			}
		}
	}
	us := latency.Microseconds()
	_ = m.all.RecordValue(us) // it would fail for a latency above 200 s, far beyond the request timeout of 120 s
	_ = m.classes[r.class].RecordValue(us)
	if !isLarge(r.org) {
		_ = m.small.RecordValue(us)
	}
}
