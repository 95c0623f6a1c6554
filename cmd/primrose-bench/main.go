// Command primrose-bench measures the decision packages (ring, routing, fairqueue, warmup, retention, retry) with
// generated arrivals on a virtual clock. The packages run against small simulated back ends: an engine is a prefill rate, a
// decode rate, a batch limit and a bounded prefix cache; a store is a bounded set of blocks behind a link. The simulation
// uses no network and no other process, and the processor time of the decisions is not counted. The same flags
// and examples give the same output, byte for byte.
//
// # Planned rates
//
// The engine, link and organisation settings are those of the examples directory. Arrivals are open-loop: each organisation
// sends in proportion to its Share, so that the three large ones together send 72 (Kleinkloof) or 73 (Lakeshore) of 100
// requests.
//
//	                                     Kleinkloof   Lakeshore
//	long requests a second                        5           4
//	short requests a second                      10           8
//	stories of a large / small organisation    32/7        24/6
//	story length                   16 to 48 blocks of 1,024 tokens; the first SharedBlocks are common to the organisation
//	new text of each prompt            40 to 200 tokens
//	prompts of a conversation             8 on average, at log-normal intervals: median 20 min, mean 72 min, at most 72 h
//	answer                         80 to 240 tokens, of a short request 24 to 48
//	short request                  40 to 900 tokens, two in five after a prefix of 1 to 3 shared blocks;
//	                               one in four goes to the long-prompt model
//	engine cache                       1,024 blocks (128 GiB at 128 KiB per token), store 16,384 blocks
//
// By default, conversations start from 72 h before the run on, so that the run begins with a full population. The first
// four hours warm up the caches and are not measured; the following two hours are.
//
// The rates follow from two rules for the endpoints that remain when the largest failure domain is out (5 of 8 long-prompt
// endpoints at Kleinkloof, 4 of 6 at Lakeshore). First, prefill takes 56 percent of the engines' time if one long request in
// ten needs a prefill of its whole prompt (32 blocks, 4.1 s at 8,000 tokens a second), the others need a prefill of about
// 660 tokens, and the short requests to the long-prompt model find no prefix in a cache (about 1,270 tokens). Each of these
// endpoints receives one long request a second, which takes 48 percent, and half a short one, which takes 8 percent. Second,
// the remaining caches have room for every story about once (145 stories of 32 blocks, about 4,640 of 5,120 blocks, and 114
// stories, about 3,650 of 4,096).
//
// # What is measured
//
// The time to first token is measured at the caller. Percentiles come from an HDR histogram, in which a request without a
// complete answer is recorded with the request timeout. A scenario with a fault counts the requests that arrive between the
// start of the fault and five minutes after its end; a scenario without one counts all requests after the warm-up.
//
// The recomputed share is the share of prompt tokens that count as part of an earlier prompt and that an engine computes
// again. Stories and shared prefixes always count as part of an earlier prompt. The share includes the tokens after the last
// full block, which are not cached for another request; the offline bound recomputes only these. The column "blocks" counts
// only whole blocks, of which the offline bound recomputes none. The offline bound sends each prompt to the engine with the
// least work, and every engine has every earlier prefix in an unlimited cache.
//
// # Usage
//
//	primrose-bench [-Seed 1] [-Site kleinkloof] [-Scenario steady] [-Choice policy] [-Format json] [-Examples examples]
//		[-History 72h] [-WarmUp 4h] [-Measured 2h]
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
	"sync"
	"time"
)

// options contains the values of the command-line flags.
type options struct {
	seed                             uint64
	site, scenario, format, examples string
	choice                           string
	history, warmUp, measured        time.Duration
}

func main() {
	var o options
	flag.Uint64Var(&o.seed, "Seed", 1, "seed of the arrivals")
	flag.StringVar(&o.site, "Site", "", "deployment to simulate, kleinkloof or lakeshore; both if empty")
	flag.StringVar(&o.scenario, "Scenario", "", "name of one scenario; all if empty")
	flag.StringVar(&o.choice, "Choice", "", "one strategy of choosing endpoints; all if empty")
	flag.StringVar(&o.format, "Format", "table", "table or json")
	flag.StringVar(&o.examples, "Examples", "examples", "directory with the example deployments")
	flag.DurationVar(&o.history, "History", 72*time.Hour, "time before the run in which conversations may have started")
	flag.DurationVar(&o.warmUp, "WarmUp", 4*time.Hour, "virtual time before the measurement")
	flag.DurationVar(&o.measured, "Measured", 2*time.Hour, "measured virtual time")
	flag.Parse()
	if err := runCommand(&o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "primrose-bench:", err)
		os.Exit(1)
	}
}

func runCommand(o *options, w io.Writer) error {
	r, err := measure(o)
	switch {
	case err != nil:
		return err
	case o.format == "json":
		return r.writeJSON(w)
	case o.format == "table":
		return r.writeTable(w)
	}
	return fmt.Errorf("-Format %q: allowed are table, json", o.format)
}

// measure runs every combination of deployment, scenario and strategy that the options select, at most four at a time. Each
// run has its own simulation.
func measure(o *options) (*report, error) {
	r := &report{Seed: o.seed}
	slots := make(chan struct{}, min(4, runtime.GOMAXPROCS(0)))
	for _, p := range plans() {
		if o.site != "" && o.site != p.Site {
			continue
		}
		if err := p.load(o.examples); err != nil {
			return nil, err
		}
		p.History, p.WarmUp, p.Measured = o.history, o.warmUp, o.measured
		arrivals := workload(&p.deployment, &p, o.seed)
		type job struct {
			s      *scenario
			choice string
		}
		var jobs []job
		for _, s := range scenarios(p.Measured) {
			for _, choice := range chooserNames {
				if (o.scenario == "" || o.scenario == s.Name) && (o.choice == "" || o.choice == choice) {
					jobs = append(jobs, job{s, choice})
				}
			}
		}
		result := site{Site: p.Site, Runs: make([]outcome, len(jobs))}
		var group sync.WaitGroup
		for i, j := range jobs {
			group.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				result.Runs[i] = simulate(&p, arrivals, j.s, j.choice).outcome(j.s.Name, j.choice)
			})
		}
		group.Wait()
		r.Sites = append(r.Sites, result)
		r.Targets = append(r.Targets, result.targets()...)
	}
	if len(r.Sites) == 0 {
		return nil, fmt.Errorf("-Site %q: allowed are kleinkloof, lakeshore", o.site)
	}
	return r, nil
}
