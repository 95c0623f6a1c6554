// Command primrose-entry runs an entry instance: it serves callers over HTTP, chooses an endpoint for each request, and
// relays the configuration to the processes of its failure domain. It logs JSON lines to standard error.
//
// SIGTERM and SIGINT end it gracefully: readiness goes off, new work is refused, and what is under way ends within the
// drain timeout of the configuration. A second signal ends it at once; the log tells what was cut off. It exits with 2 for
// wrong flags and with 1 for other errors.
//
// # Usage
//
//	primrose-entry -Name Entry1 -Listen 127.0.0.1:8080 -PeerListen 127.0.0.1:7100 -FailureDomain Domain1 \
//		-Platform 127.0.0.1:7000 -Peers 127.0.0.1:7101,127.0.0.1:7102
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

	"primrosecourse/internal/connection/peer"
	"primrosecourse/internal/process/daemon"
	"primrosecourse/internal/process/entry"
	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/version/config"
)

func main() {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	os.Exit(run(os.Args[1:], os.Stderr, signals))
}

// flags are the settings of the process.
type flags struct {
	name, failureDomain          string
	listen, peerListen, platform netip.AddrPort
	peers                        []netip.AddrPort
}

// parse reads the flags. Errors name the flag and what it should be.
func parse(args []string, out io.Writer) (f flags, err error) {
	set := flag.NewFlagSet("primrose-entry", flag.ContinueOnError)
	set.SetOutput(out)
	set.StringVar(&f.name, "Name", "", "name of the instance, as in the configuration")
	set.StringVar(&f.failureDomain, "FailureDomain", "", "failure domain of the instance")
	listen := set.String("Listen", "", "address for callers, an IP number and a port")
	peerListen := set.String("PeerListen", "", "address for peers, an IP number and a port")
	platformAddr := set.String("Platform", "", "address of the platform's object API")
	peers := set.String("Peers", "", "peer addresses of other entries, separated by commas")
	if err = set.Parse(args); err != nil {
		return f, err
	}
	if set.NArg() > 0 {
		return f, errors.Newf("unexpected argument %q", set.Arg(0))
	}
	if f.name == "" || f.failureDomain == "" {
		return f, errors.New("-Name and -FailureDomain are required")
	}
	for _, a := range []struct {
		name, value string
		to          *netip.AddrPort
	}{{"-Listen", *listen, &f.listen}, {"-PeerListen", *peerListen, &f.peerListen}, {"-Platform", *platformAddr, &f.platform}} {
		if *a.to, err = address(a.name, a.value); err != nil {
			return f, err
		}
	}
	for item := range strings.SplitSeq(*peers, ",") {
		if item = strings.TrimSpace(item); item == "" {
			continue
		}
		addr, err := address("-Peers", item)
		if err != nil {
			return f, err
		}
		f.peers = append(f.peers, addr)
	}
	return f, nil
}

func address(name, value string) (netip.AddrPort, error) {
	if value == "" {
		return netip.AddrPort{}, errors.Newf("%s is required", name)
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		return addr, errors.Newf("%s %q: must be an IP number and a port, such as 127.0.0.1:8080", name, value)
	}
	return addr, nil
}

// run runs the process until a signal and returns its exit code.
func run(args []string, stderr io.Writer, signals <-chan os.Signal) int {
	f, err := parse(args, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintln(stderr, "primrose-entry:", err)
		return 2
	}
	log := logr.FromSlogHandler(slog.NewJSONHandler(stderr, nil)).WithName(f.name)
	client := platform.New(f.platform)
	defer client.Close()
	marks := &peer.Relay{}
	e := &entry.Entry{Name: f.name, Address: f.listen, PeerAddress: f.peerListen, FailureDomain: f.failureDomain, Marks: marks,
		Log: log, Configuration: &config.Tracker{Name: f.name, FailureDomain: f.failureDomain, Platform: client, Peers: f.peers,
			Address: f.peerListen, IsEntry: true, Marks: marks, Log: log}}
	if err := daemon.Run(e, signals); err != nil {
		fmt.Fprintln(stderr, "primrose-entry:", err)
		return 1
	}
	return 0
}
