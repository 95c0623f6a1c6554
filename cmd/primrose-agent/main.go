// Command primrose-agent runs the agent of one endpoint, which is a model engine or a plain service. The agent receives
// requests from entries, queues prompts, submits the requests to the endpoint, and sends control orders to the engine. It
// logs JSON lines to standard error.
//
// SIGTERM and SIGINT start a graceful shutdown: the agent is no longer ready, refuses new requests, and gives accepted ones
// the drain timeout of the configuration to finish. After the timeout, or at a second signal, it cuts off the remaining
// requests and logs their numbers, with the identifiers of up to 100 running prompts. The exit code is 2 for invalid flags
// and 1 for other errors, for example if an agent with a higher epoch controls the engine.
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

// run runs the agent until it stops and returns the exit code.
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

// parse parses the flags. An error names the flag and what is expected.
func parse(args []string, out io.Writer) (d *agent.Daemon, err error) {
	d = &agent.Daemon{}
	set := flag.NewFlagSet("primrose-agent", flag.ContinueOnError)
	set.SetOutput(out)
	set.StringVar(&d.Name, "Name", "", "name of the endpoint, as in the configuration")
	set.StringVar(&d.FailureDomain, "FailureDomain", "", "failure domain of the endpoint")
	required := map[string]bool{"Listen": true, "Platform": true}
	addressFlag := func(target *netip.AddrPort, name, usage string) {
		set.Func(name, usage+", an IP address and a port", func(value string) (err error) {
			*target, err = parseAddress(value)
			delete(required, name)
			return err
		})
	}
	addressFlag(&d.Listen, "Listen", "listen address for entries")
	addressFlag(&d.Platform, "Platform", "address of the platform's object API")
	addressFlag(&d.Engine, "Engine", "address of the model engine that the agent controls")
	addressFlag(&d.Service, "Service", "address of the plain service to which the agent sends requests")
	addressFlag(&d.Metrics, "Metrics", "listen address for /metrics, /healthz and /readyz")
	set.Func("Peers", "peer addresses of entries from which the configuration can be read, separated by commas", func(value string) error {
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
		return addr, errors.Newf("%q should be an IP address and a port, such as 127.0.0.1:7201", value)
	}
	return addr, nil
}
