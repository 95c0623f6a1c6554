// Command primrose-agent runs the agent beside one endpoint: a model engine or a plain service. It takes work from entries,
// decides what the endpoint gets and gives it orders. It logs JSON lines to standard error.
//
// SIGTERM and SIGINT end it gracefully: readiness goes off, new work is refused, and what is under way ends within the
// drain timeout of the configuration. A second signal ends it at once; the log tells what was cut off. It exits with 2
// for wrong flags and with 1 for other errors, among them that a later agent is in charge of the engine.
//
// # Usage
//
//	primrose-agent -Name Model1 -Listen 127.0.0.1:7201 -FailureDomain Domain1 -Platform 127.0.0.1:7000 \
//		-Peers 127.0.0.1:7101,127.0.0.1:7102 -Engine 127.0.0.1:7301 -Metrics 127.0.0.1:7401
package main

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"primrosecourse/internal/process/agent"
	"primrosecourse/internal/process/daemon"
)

func main() {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	os.Exit(run(os.Args[1:], os.Stderr, signals))
}

// run returns the exit code.
func run(args []string, out io.Writer, signals <-chan os.Signal) int {
	d, err := parse(args, out)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintln(out, "primrose-agent:", err)
		return 2
	}
	d.Log = logr.FromSlogHandler(slog.NewJSONHandler(out, nil))
	if err := daemon.Run(d, signals); err != nil {
		fmt.Fprintln(out, "primrose-agent:", err)
		return 1
	}
	return 0
}

// parse reads the flags. Errors name the flag and what it should be.
func parse(args []string, out io.Writer) (d *agent.Daemon, err error) {
	d = &agent.Daemon{}
	set := flag.NewFlagSet("primrose-agent", flag.ContinueOnError)
	set.SetOutput(out)
	set.StringVar(&d.Name, "Name", "", "name of the endpoint, as in the configuration")
	set.StringVar(&d.FailureDomain, "FailureDomain", "", "failure domain of the endpoint")
	required := map[string]bool{"Listen": true, "Platform": true}
	address := func(to *netip.AddrPort, name, usage string) {
		set.Func(name, usage+", an IP number and a port", func(value string) (err error) {
			*to, err = parseAddress(value)
			delete(required, name)
			return err
		})
	}
	address(&d.Listen, "Listen", "address for entries")
	address(&d.Platform, "Platform", "address of the platform's object API")
	address(&d.Engine, "Engine", "address of the model engine beside the agent")
	address(&d.Service, "Service", "address of the plain service beside the agent")
	address(&d.Metrics, "Metrics", "address for /metrics, /healthz and /readyz")
	set.Func("Peers", "peer addresses of entries, separated by commas", func(value string) error {
		for item := range strings.SplitSeq(value, ",") {
			addr, err := parseAddress(strings.TrimSpace(item))
			if err != nil {
				return err
			}
			d.Peers = append(d.Peers, addr)
		}
		return nil
	})
	if err = set.Parse(args); err != nil {
		return nil, err
	}
	switch {
	case set.NArg() > 0:
		return nil, errors.Newf("unexpected argument %q", set.Arg(0))
	case d.Name == "" || d.FailureDomain == "":
		return nil, errors.New("-Name and -FailureDomain are required")
	case len(required) > 0:
		return nil, errors.New("-Listen and -Platform are required")
	case d.Engine.IsValid() == d.Service.IsValid():
		return nil, errors.New("exactly one of -Engine and -Service is required")
	}
	return d, nil
}

func parseAddress(value string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Port() == 0 {
		return addr, errors.Newf("%q should be like 127.0.0.1:7201, an IP number and a port", value)
	}
	return addr, nil
}
