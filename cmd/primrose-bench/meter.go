package main

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// firstTokenTarget is the latency target of section 10 of the design.
const firstTokenTarget = 1200 * time.Millisecond

// meter collects what is measured. Times count from the arrival at the caller's end, so that waiting counts. A refused
// request enters the percentiles with the request timeout.
type meter struct {
	world    *world
	from, to time.Duration

	classes [2]*hdrhistogram.Histogram
	all     *hdrhistogram.Histogram
	small   *hdrhistogram.Histogram
	// Orgs holds the requests of each organisation in the order of the deployment.
	Orgs []orgCount
	// answers counts whole answers, timely those with tokens within gapLimit at the 95th percentile.
	answers, timely int
	// prompt counts prompt tokens; again those computed again, whole those of them in whole blocks.
	prompt, again, whole float64
	linkBusy             time.Duration
	linkBytes            float64
	retries              int
	// Excess counts submissions over the allowance of a cold engine, Lost requests that were accepted and got no whole
	// answer. The lower-case ones count the whole run, for the check that no request is lost or counted twice.
	Excess, Lost                      int
	arrived, completed, failed, twice int
	left                              int
}

// orgCount counts the requests of an organisation.
type orgCount struct {
	Name                    string
	Requests, Late, Refused int
}

func newMeter(w *world, s *scenario) *meter {
	m := &meter{world: w, from: w.plan.WarmUp, to: w.plan.WarmUp + w.plan.Measured}
	if s.Begin != nil {
		m.from += s.At
		m.to = m.from + s.For + aftermath
	}
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(100, int64(200*time.Second/time.Microsecond), 3)
	}
	m.classes = [2]*hdrhistogram.Histogram{histogram(), histogram()}
	m.all, m.small = histogram(), histogram()
	for _, o := range w.deployment.Organisations {
		m.Orgs = append(m.Orgs, orgCount{Name: o.Name})
	}
	return m
}

func (m *meter) in(at time.Duration) bool { return at >= m.from && at < m.to }

// computed counts the prompt work of an accepted request.
func (m *meter) computed(r *request, hit int) {
	if !m.in(r.at) {
		return
	}
	block := m.world.plan.block
	m.again += float64(max(0, r.held()-hit))
	m.whole += float64(max(0, r.held()/block*block-hit))
}

func (m *meter) link(begin, took time.Duration, bytes float64) {
	if m.in(begin) {
		m.linkBusy += took
		m.linkBytes += bytes
	}
}

func (m *meter) finish(r *request, whole bool) {
	if r.finished > 1 {
		m.twice++
		return
	}
	if whole {
		m.completed++
	} else {
		m.failed++
		if r.taken {
			m.Lost++
		}
	}
	if !m.in(r.at) {
		return
	}
	m.prompt += float64(r.tokens)
	m.retries += max(0, r.attempts-1)
	took := m.world.deployment.Limits.RequestTimeout
	if whole {
		took = r.first - r.at
		m.answers++
		if r.slow <= 0.05*float64(r.answer) {
			m.timely++
		}
	}
	for i := range m.Orgs {
		if o := &m.Orgs[i]; o.Name == r.org.Name {
			o.Requests++
			if !whole {
				o.Refused++
			} else if took > firstTokenTarget {
				o.Late++
			}
		}
	}
	us := took.Microseconds()
	_ = m.all.RecordValue(us) // in range by the request timeout
	_ = m.classes[r.class].RecordValue(us)
	if !large(r.org) {
		_ = m.small.RecordValue(us)
	}
}
