// Command primrosectl is the command-line tool for operators: it checks and applies settings, takes failure domains and
// endpoints out of service and returns them, swaps model versions, shows the state of a deployment and collects the log
// lines of a request.
//
// # Usage
//
//	primrosectl COMMAND [ARGUMENTS] [FLAGS]
//	primrosectl help [COMMAND]
//
// The exit codes are 0 for done, 1 for rejected or a conflict, 2 for a usage error, 3 for an unavailable platform, 4 for an
// unknown outcome and 5 for a change that is accepted but not yet in force everywhere. docs/operators.md is the guide.
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

// run executes a command line and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	inv, err := parse(args)
	if inv.help != "" {
		fmt.Fprint(out, inv.help)
		return 0
	}
	if err == nil {
		var report operator.Report
		report, err = inv.command.run(ctx, inv, func(r operator.Report) { inv.write(r, nil, out, errOut) })
		if !inv.command.streams || err != nil {
			inv.write(report, err, out, errOut)
		}
	}
	if err != nil {
		fmt.Fprintf(errOut, "primrosectl: %v\n", err)
		if hint := hints[operator.CodeOf(err)]; hint != "" {
			fmt.Fprintln(errOut, hint)
		}
	}
	return int(operator.CodeOf(err))
}

// hints contains advice for the operator by outcome. It is printed after the error.
var hints = map[operator.Code]string{
	operator.Usage:       "run primrosectl help, or primrosectl help COMMAND, for usage",
	operator.Unavailable: "nothing was changed; -Entry IP:port of get, status and watch reads from an entry instead",
	operator.Unknown:     "running the same command again is safe: it changes nothing if the change is in force",
	operator.NotInForce:  "the change is accepted and spreads by itself; primrosectl status shows who has it",
}

// write prints a report in the format of the -Format flag.
func (inv *invocation) write(r operator.Report, err error, out, errOut io.Writer) {
	r.Outcome = operator.CodeOf(err)
	if inv.format == "text" {
		r.WriteText(out, errOut)
		return
	}
	if err != nil {
		r.Error = err.Error()
	}
	_ = json.NewEncoder(out).Encode(r)
}
