// Command primrose-quickstart brings up the whole path in one process on loopback: two entries, agents beside three model
// engines and two order services, and stand-ins for the platform, the engines, the store and the services. It sends
// prompts and orders through the entries, takes a failure domain out and brings it back, prints what the callers got and
// what the back ends saw, and exits with 0 if all of it was as it should be.
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

// limit bounds the whole run, so that a fault ends it with an error.
const limit = time.Minute

func main() {
	verbose := flag.Bool("Verbose", false, "print the log lines of all parts to standard error")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "primrose-quickstart: unexpected argument %q\n", flag.Arg(0))
		os.Exit(2)
	}
	log := logr.Discard()
	if *verbose {
		log = logr.FromSlogHandler(slog.NewTextHandler(os.Stderr, nil))
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
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
		if ended := s.stop(); err == nil {
			err = ended
		}
	}()
	t := &tour{system: s}
	for _, step := range []func(context.Context) error{t.newPrompt, t.returningPrompt, t.orders, t.leave, t.comeBack} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	fmt.Printf("\n%d requests served, none failed. The engines were never given more than they could bear.\n", t.requests)
	return t.excess()
}
