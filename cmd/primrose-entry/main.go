// Command primrose-entry runs an entry. It serves callers over HTTP, routes each request to an endpoint, and relays the
// configuration to the entries and agents that subscribe to it. It logs JSON lines to standard error.
//
// SIGTERM and SIGINT start a graceful shutdown: the entry is no longer ready, refuses new requests for at least a second, and gives
// running ones the drain timeout of the configuration to finish. After the timeout, or at a second signal, it cuts off the remaining
// requests and logs how many they are. The exit code is 2 for invalid flags and 1 for other errors.
//
// # Usage
//
//	primrose-entry -Name Entry1 -Listen 127.0.0.1:8080 -PeerListen 127.0.0.1:7100 -FailureDomain Domain1 \
//		-Platform 127.0.0.1:7000 -Peers 127.0.0.1:7101,127.0.0.1:7102
//
// -MemoryMegabytes and -MaxDescriptors bound what callers can make the process hold. Connections and requests above these bounds are refused.
package main

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"primrosecourse/internal/connection/peer"
	"primrosecourse/internal/process/budget"
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

// flags contains the values of the command-line flags.
type flags struct {
	name, failureDomain          string
	listen, peerListen, platform netip.AddrPort
	peers                        []netip.AddrPort
	megabytes, descriptors       int
}

// defaultMegabytes allows for 8,000 connections of callers and 200 MB of headers and bodies.
const defaultMegabytes = 1024

// The ranges of the limits. A process with less memory or fewer descriptors than the least would serve hardly any callers.
const (
	minMegabytes   = 32
	minDescriptors = 256
	maxDescriptors = 1 << 20
)

// parse parses the flags. An error names the flag and what is expected.
func parse(args []string, out io.Writer) (f flags, err error) {
	set := flag.NewFlagSet("primrose-entry", flag.ContinueOnError)
	set.SetOutput(out)
	set.StringVar(&f.name, "Name", "", "name of the instance, as in the configuration")
	set.StringVar(&f.failureDomain, "FailureDomain", "", "failure domain of the instance")
	listen := set.String("Listen", "", "listen address for callers, an IP address and a port")
	peerListen := set.String("PeerListen", "", "listen address for peers, an IP address and a port")
	platformAddr := set.String("Platform", "", "address of the platform's object API")
	peers := set.String("Peers", "", "peer addresses of other entries, separated by commas")
	set.IntVar(&f.megabytes, "MemoryMegabytes", defaultMegabytes, "memory that the process may use, in MiB")
	set.IntVar(&f.descriptors, "MaxDescriptors", openFilesLimit(), "files and sockets that the process may have open")
	if err = set.Parse(args); err != nil {
		return f, err
	}
	if set.NArg() > 0 {
		return f, errors.Newf("unexpected argument %q", set.Arg(0))
	}
	if f.name == "" || f.failureDomain == "" {
		return f, errors.New("-Name and -FailureDomain are required")
	}
	if f.megabytes < minMegabytes || f.descriptors < minDescriptors {
		return f, errors.Newf("-MemoryMegabytes must be at least %d and -MaxDescriptors at least %d", minMegabytes, minDescriptors)
	}
	for _, a := range []struct {
		name, value string
		target      *netip.AddrPort
	}{{"-Listen", *listen, &f.listen}, {"-PeerListen", *peerListen, &f.peerListen}, {"-Platform", *platformAddr, &f.platform}} {
		if *a.target, err = parseAddress(a.name, a.value); err != nil {
			return f, err
		}
	}
	for item := range strings.SplitSeq(*peers, ",") {
		if item = strings.TrimSpace(item); item == "" {
			continue
		}
		addr, err := parseAddress("-Peers", item)
		if err != nil {
			return f, err
		}
		f.peers = append(f.peers, addr)
	}
	return f, nil
}

// openFilesLimit returns the limit of the operating system on the descriptors of the process.
func openFilesLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxDescriptors {
		return maxDescriptors
	}
	return max(minDescriptors, int(limit.Cur))
}

// parseAddress parses the value of the flag with this name.
func parseAddress(name, value string) (netip.AddrPort, error) {
	if value == "" {
		return netip.AddrPort{}, errors.Newf("%s is required", name)
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		return addr, errors.Newf("%s %q: must be an IP address and a port, such as 127.0.0.1:8080", name, value)
	}
	return addr, nil
}

// run runs the entry until it stops and returns the exit code.
func run(args []string, stderr io.Writer, signals <-chan os.Signal) int {
	f, err := parse(args, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintln(stderr, "primrose-entry:", err)
		return 2
	}
	debug.SetMemoryLimit(budget.New(f.megabytes, f.descriptors).MemoryLimitBytes)
	log := logr.FromSlogHandler(slog.NewJSONHandler(stderr, nil)).WithName(f.name)
	client := platform.New(f.platform)
	defer client.Close()
	marks := &peer.Relay{}
	e := &entry.Entry{Name: f.name, Address: f.listen, PeerAddress: f.peerListen, FailureDomain: f.failureDomain, Marks: marks,
		MemoryMegabytes: f.megabytes, MaxDescriptors: f.descriptors, Log: log, Configuration: &config.Tracker{Name: f.name, FailureDomain: f.failureDomain, Platform: client, Peers: f.peers,
			Address: f.peerListen, IsEntry: true, Marks: marks, Log: log}}
	if err := daemon.Run(e, signals); err != nil {
		fmt.Fprintln(stderr, "primrose-entry:", err)
		return 1
	}
	return 0
}
