// Command primrose-bench measures the decision packages (ring, routing, fairqueue, warmup, retention, retry) with generated
// arrivals on a virtual clock. Behind the decisions stand small fakes: an engine is a prefill rate, a decode rate, a batch
// limit and a bounded prefix cache; a store is a bounded set of blocks behind a link. There is no network and no process,
// and the time to decide is not counted. The same seed gives the same bytes.
//
// # Planned rates
//
// The engine, link and organisation settings are those of the examples directory. Arrivals are open-loop: each organisation
// sends in proportion to its Share, so that the three large ones send 72 (Kleinkloof) and 73 (Lakeshore) in 100 requests.
//
//	                                     Kleinkloof   Lakeshore
//	long requests a second                        5           4
//	short requests a second                      10           8
//	stories of a large / small organisation    32/7        24/6
//	blocks of 1,024 tokens of a story       16 to 48, of which the organisation shares SharedBlocks
//	new lines of a prompt              40 to 200 tokens
//	prompts of a conversation             8 on average, after log-normal gaps: median 20 min, mean 72 min, at most 72 h
//	answer                         80 to 240 tokens, of a short request 24 to 48
//	short request                  40 to 900 tokens, two in five with 1 to 3 shared blocks before them
//	engine cache                       1,024 blocks (128 GiB of 128 KiB a token), store 16,384 blocks
//
// Conversations are born from 72 h before the run on, so that the run starts with a full population. The first four hours
// warm the caches up and are not measured; two hours are.
//
// The rates were chosen before the first measurement, by two rules for the fleet that is left with the largest failure
// domain out (5 of 8 long-prompt endpoints at Kleinkloof, 4 of 6 at Lakeshore). First, if one long request in ten has to be
// computed whole (32 blocks, 4.1 s) and the others compute about 660 tokens, the prompts take 57 percent of the engines'
// time. Second, the caches that are left hold every story about once (about 4,640 of 5,120 blocks, and 3,650 of 4,096).
//
// # What is measured
//
// The time to first token counts from the caller's side, percentiles are of an HDR histogram, and a refused request enters
// with the request timeout. A scenario with a fault counts the requests that arrive from the fault until five minutes after
// its end; the others count all after the warm-up.
//
// The recomputed share is the prompt tokens that an earlier prompt already had and that an engine computes again. It counts
// the tokens after the last full block too, which no cache keeps for another request: these are all that is left of the
// offline bound. The column "blocks" counts only whole blocks, of which the offline bound computes none again. The offline
// bound sends each prompt to the engine with the least work, with every prefix known and unlimited memory everywhere.
//
// # Usage
//
//	primrose-bench -Seed 1 [-Site kleinkloof] [-Scenario steady] [-Format json] [-Examples examples]
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

// options are the command line.
type options struct {
	seed                             uint64
	site, scenario, format, examples string
	choice                           string
	history, warmUp, measured        time.Duration
}

func main() {
	var o options
	flag.Uint64Var(&o.seed, "Seed", 1, "seed of the arrivals")
	flag.StringVar(&o.site, "Site", "", "kleinkloof or lakeshore; both if empty")
	flag.StringVar(&o.scenario, "Scenario", "", "name of one scenario; all if empty")
	flag.StringVar(&o.choice, "Choice", "", "one way of choosing endpoints; all if empty")
	flag.StringVar(&o.format, "Format", "table", "table or json")
	flag.StringVar(&o.examples, "Examples", "examples", "directory of the deployments")
	flag.DurationVar(&o.history, "History", 72*time.Hour, "time before the run from which conversations return")
	flag.DurationVar(&o.warmUp, "WarmUp", 4*time.Hour, "virtual time before the measurement")
	flag.DurationVar(&o.measured, "Measured", 2*time.Hour, "measured virtual time")
	flag.Parse()
	if err := command(&o, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "primrose-bench:", err)
		os.Exit(1)
	}
}

func command(o *options, w io.Writer) error {
	r, err := measure(o)
	switch {
	case err != nil:
		return err
	case o.format == "json":
		return r.json(w)
	case o.format == "table":
		return r.table(w)
	}
	return fmt.Errorf("-Format %q: allowed are table, json", o.format)
}

// measure runs every combination that the options select, a few at a time. Each run has a world of its own.
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
		list := workload(&p.deployment, &p, o.seed)
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
				result.Runs[i] = simulate(&p, list, j.s, j.choice).outcome(j.s.Name, j.choice)
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
