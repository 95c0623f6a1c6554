// Command primrose-quickstart runs a complete system in one process on loopback: two entries, the agents of three model
// engines and two order services, and stand-ins for the platform, the engines, the store and the services. It sends prompts
// and orders through the entries, and makes a failure domain leave and return. It prints the latencies and token counts of the
// prompts, the answers to the orders and the number of runs at the order services. It exits with 0 if all checks pass.
//
// # Usage
//
//	primrose-quickstart [-Verbose]
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"time"

	"github.com/go-logr/logr"
)

// runTimeout limits the whole run, so that it ends with an error if a part hangs.
const runTimeout = time.Minute

func main() {
	verbose := flag.Bool("Verbose", false, "print the log lines of all components to standard error")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "primrose-quickstart: unexpected argument %q\n", flag.Arg(0))
		os.Exit(2)
	}
	log := logr.Discard()
	if *verbose {
		log = logr.FromSlogHandler(slog.NewTextHandler(os.Stderr, nil))
	}
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt)
	defer stop()
	if err := run(ctx, log); err != nil {
		fmt.Fprintln(os.Stderr, "primrose-quickstart:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, log logr.Logger) (err error) {
	s, err := start(ctx, log)
	if err != nil {
		return err
	}
	defer func() {
		if stopErr := s.stop(); err == nil {
			err = stopErr
		}
	}()
	d := &demo{system: s}
	for _, step := range []func(context.Context) error{d.newPrompt, d.repeatedPrompt, d.repeatedOrder, d.leaveDomain, d.returnDomain} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	fmt.Printf("\n%d requests served, none failed. No engine received runs beyond its capacity.\n", d.requests)
	return d.checkExcess()
}
