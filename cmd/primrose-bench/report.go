package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// report is the output of the command. With -Format json it is encoded as it is.
type report struct {
	Seed    uint64
	Sites   []site
	Targets []target
}

// site contains the results of one deployment.
type site struct {
	Site string
	Runs []outcome
}

// outcome is the result of one run: a scenario under one strategy of choosing endpoints.
type outcome struct {
	Scenario, Choice string
	Requests         int
	All, Long, Short percentiles
	Small            percentiles
	// TimelyTokens, Recomputed, RecomputedBlocks and LinkUse are shares from 0 to 1. TimelyTokens is the share of answers of
	// which at least 95 percent of the tokens came within 34 ms of the previous token.
	TimelyTokens, Recomputed, RecomputedBlocks, LinkUse float64
	LinkBytes                                           float64
	Retries, Late, Refused                              int
	OverAllowance, AcceptedAndLost, Unaccounted         int
	Organisations                                       []orgCount
}

// percentiles contains percentiles of the time to first token in seconds.
type percentiles struct{ P50, P95, P99 float64 }

func percentilesOf(h *hdrhistogram.Histogram) percentiles {
	seconds := func(q float64) float64 { return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Seconds() }
	return percentiles{seconds(50), seconds(95), seconds(99)}
}

func (m *meter) outcome(scenario, choice string) outcome {
	o := outcome{Scenario: scenario, Choice: choice, All: percentilesOf(m.all), Long: percentilesOf(m.classes[long]),
		Short: percentilesOf(m.classes[short]), Small: percentilesOf(m.small), LinkBytes: m.linkBytes, Retries: m.retries,
		OverAllowance: m.Excess, AcceptedAndLost: m.Lost, Organisations: m.Orgs,
		Unaccounted: m.arrived - m.completed - m.failed + m.finishedTwice + m.unfinished + max(0, m.Lost-m.failed)}
	for _, c := range m.Orgs {
		o.Requests += c.Requests
		o.Late += c.Late
		o.Refused += c.Refused
	}
	o.TimelyTokens = float64(m.timely) / float64(max(1, m.answers))
	o.Recomputed = m.recomputed / max(1, m.promptTokens)
	o.RecomputedBlocks = m.recomputedInBlocks / max(1, m.promptTokens)
	o.LinkUse = m.linkBusy.Seconds() / ((m.to - m.from).Seconds() * float64(max(1, len(m.sim.stores))))
	return o
}

// target compares a performance target with the measured value. Missed is the amount by which the value exceeds the limit,
// in the unit of the target, or 0.
type target struct {
	Site, Scenario, Name string
	Limit, Measured      float64
	Met                  bool
	Missed               float64
}

func (s *site) find(scenario, choice string) *outcome {
	for i := range s.Runs {
		if o := &s.Runs[i]; o.Scenario == scenario && o.Choice == choice {
			return o
		}
	}
	return nil
}

// targets compares the runs of the policy with the targets. A target for one scenario is left out if a run that it needs was not
// made; the two targets for all scenarios cover the runs of the policy that were made.
func (s *site) targets() (list []target) {
	atMost := func(scenario, name string, limit, measured float64) {
		t := target{Site: s.Site, Scenario: scenario, Name: name, Limit: limit, Measured: measured, Met: measured <= limit}
		t.Missed = max(0, measured-limit)
		list = append(list, t)
	}
	if o := s.find(domainName, policyName); o != nil {
		atMost(o.Scenario, "p95 of time to first token (s)", firstTokenTarget.Seconds(), o.All.P95)
		atMost(o.Scenario, "share of answers with late tokens", 0.05, 1-o.TimelyTokens)
	}
	steady := s.find(steadyName, policyName)
	if steady != nil {
		if bound := s.find(steadyName, boundName); bound != nil {
			atMost(steadyName, "recomputed share / 1.2 x offline bound", 1.2*bound.Recomputed, steady.Recomputed)
		}
		if roundRobin := s.find(steadyName, "round robin"); roundRobin != nil {
			atMost(steadyName, "recomputed share / half of round robin", roundRobin.Recomputed/2, steady.Recomputed)
		}
		if withoutLarge := s.find(withoutLargeName, policyName); withoutLarge != nil {
			atMost(steadyName, "p95 of small organisations / 1.5 x without large", 1.5*withoutLarge.Small.P95, steady.Small.P95)
		}
	}
	var over, lost int
	for i := range s.Runs {
		if o := &s.Runs[i]; o.Choice == policyName {
			over += o.OverAllowance
			lost += o.AcceptedAndLost + o.Unaccounted
		}
	}
	atMost("all", "submissions over a cold allowance", 0, float64(over))
	atMost("all", "requests accepted and lost", 0, float64(lost))
	return list
}

func (r *report) writeJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(r)
}

func (r *report) writeTable(w io.Writer) error {
	fmt.Fprintf(w, "seed %d; times to first token in seconds, shares in percent\n", r.Seed)
	for i := range r.Sites {
		s := &r.Sites[i]
		fmt.Fprintf(w, "\n%s\n", s.Site)
		t := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, strings.Join([]string{"", "p50", "p95", "p99", "long p50", "p95", "p99", "short p50", "p95", "p99",
			"small p95", "timely", "recomp", "blocks", "link", "late", "refused", "of", "retries", ""}, "\t"))
		scenario := ""
		for i := range s.Runs {
			o := &s.Runs[i]
			if o.Scenario != scenario {
				scenario = o.Scenario
				fmt.Fprintf(t, "[%s]\t\n", scenario)
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\t%d\t\n", o.Choice, o.All, o.Long, o.Short,
				o.Small.P95, 100*o.TimelyTokens, 100*o.Recomputed, 100*o.RecomputedBlocks, 100*o.LinkUse, o.Late, o.Refused,
				o.Requests, o.Retries)
		}
		if err := t.Flush(); err != nil {
			return err
		}
		r.writeOrganisations(w, s)
	}
	fmt.Fprintf(w, "\ntargets\n")
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, g := range r.Targets {
		verdict := "met"
		if !g.Met {
			verdict = fmt.Sprintf("MISSED by %.4f", g.Missed)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%.4f\tlimit %.4f\t%s\n", g.Site, g.Scenario, g.Name, g.Measured, g.Limit, verdict)
	}
	return t.Flush()
}

// writeOrganisations prints the late and refused requests of each organisation under the policy.
func (r *report) writeOrganisations(w io.Writer, s *site) {
	fmt.Fprintf(w, "\n%s, %s, late+refused of requests by organisation\n", s.Site, policyName)
	for i := range s.Runs {
		o := &s.Runs[i]
		if o.Choice != policyName {
			continue
		}
		fmt.Fprintf(w, "  %s:", o.Scenario)
		for _, c := range o.Organisations {
			fmt.Fprintf(w, " %s %d+%d/%d", c.Name, c.Late, c.Refused, c.Requests)
		}
		fmt.Fprintln(w)
	}
}

// String returns the percentiles as cells of the table.
func (p percentiles) String() string { return fmt.Sprintf("%.3f\t%.3f\t%.3f", p.P50, p.P95, p.P99) }
