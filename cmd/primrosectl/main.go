// Command primrosectl is the operators' command line: it checks and applies settings, takes failure domains and
// endpoints out and puts them back, swaps model versions and shows the state of a deployment.
//
// # Usage
//
//	primrosectl [flags] command [arguments]
//	primrosectl help [command]
//
// The exit codes are 0 done, 1 rejected or conflict, 2 usage, 3 platform unavailable, 4 outcome unknown and 5 not yet
// in force. docs/operators.md is the guide.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"primrosecourse/internal/process/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and returns its exit code.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	inv, err := parse(args)
	if inv.help != "" {
		fmt.Fprint(out, inv.help)
		return 0
	}
	if err == nil {
		var report operator.Report
		report, err = inv.command.run(ctx, inv, func(r operator.Report) { inv.write(r, nil, out, errs) })
		if !inv.command.streams || err != nil {
			inv.write(report, err, out, errs)
		}
	}
	if err != nil {
		fmt.Fprintf(errs, "primrosectl: %v\n", err)
		if hint := hints[operator.CodeOf(err)]; hint != "" {
			fmt.Fprintln(errs, hint)
		}
	}
	return int(operator.CodeOf(err))
}

// hints says what to do next, by outcome.
var hints = map[operator.Code]string{
	operator.Usage:       "run primrosectl help, or primrosectl help COMMAND, for usage",
	operator.Unavailable: "nothing was changed; -Entry IP:port of get, status and watch reads from an entry instead",
	operator.Unknown:     "running the same command again is safe: it changes nothing if the change is in force",
	operator.NotInForce:  "the change is accepted and spreads by itself; primrosectl status shows who has it",
}

// write prints a report in the format that was asked for.
func (inv *invocation) write(r operator.Report, err error, out, errs io.Writer) {
	r.Outcome = operator.CodeOf(err)
	if inv.format == "text" {
		r.WriteText(out, errs)
		return
	}
	if err != nil {
		r.Error = err.Error()
	}
	_ = json.NewEncoder(out).Encode(r)
}
