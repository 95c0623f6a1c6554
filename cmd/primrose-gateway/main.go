// Command primrose-gateway forwards the requests of callers to the endpoints of a site. Its addresses and limits come from a
// settings file in INI format, whose path is the first argument or else the value of the environment variable
// PRIMROSECOURSE_SETTINGS. It writes its log as JSON lines to standard output.
//
// SIGTERM and SIGINT start a graceful shutdown; a second signal ends the process without waiting for requests in flight. On SIGHUP
// the process checks the settings file and logs whether it is valid; new settings take effect only after a restart. The exit code
// is 2 for wrong flags or settings and 1 for other errors.
//
// # Usage
//
//	primrose-gateway /etc/primrosecourse/settings
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"primrosecourse/internal/connection/call"
	"primrosecourse/internal/connection/kvstore"
	"primrosecourse/internal/connection/takeups"
	"primrosecourse/internal/connection/watchrelay"
	"primrosecourse/internal/event"
	"primrosecourse/internal/process/daemon"
	"primrosecourse/internal/process/gateway"
	"primrosecourse/internal/process/lease"
	"primrosecourse/internal/process/logsink"
	"primrosecourse/internal/version/buildplan"
	"primrosecourse/internal/version/registry"
	"primrosecourse/internal/version/rollout"
	"primrosecourse/internal/version/weights"
	"primrosecourse/pkg/builds"
	"primrosecourse/pkg/placement"
	canary "primrosecourse/pkg/rollout"
	"primrosecourse/pkg/staleness"
	"primrosecourse/platform"
)

func main() {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr, signals, reloads))
}

// fastRelayAge and slowRelayAge bound the age of what another gateway passes on. A configuration or the leaving of an endpoint must
// take effect within two seconds on the smallest sites; all else has at least twice that time.
const (
	fastRelayAge = 1500 * time.Millisecond
	slowRelayAge = 2500 * time.Millisecond
)

// levelPrefixBytes is how many leading bytes of a log line are searched for the level.
const levelPrefixBytes = 80

// run runs the gateway until it ends, normally after a signal, and returns the exit code.
func run(args []string, stdout, stderr io.Writer, signals, reloads <-chan os.Signal) int {
	flags := flag.NewFlagSet("primrose-gateway", flag.ContinueOnError)
	flags.SetOutput(stderr)
	err := flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil || flags.NArg() > 1 {
		fmt.Fprintln(stderr, "usage: primrose-gateway [SETTINGS]")
		return 2
	}
	path := flags.Arg(0)
	if path == "" {
		path = platform.SettingsPath()
	}
	settings, err := gateway.ReadSettings(path)
	if err != nil {
		fmt.Fprintln(stderr, "primrose-gateway:", err)
		return 2
	}
	if settings.MaxWaiting == gateway.Unset {
		settings.MaxWaiting = platform.MaxWaiting(settings.Contracts)
	}
	debug.SetMemoryLimit(settings.Budget().MemoryLimitBytes)
	ctx, stop := context.WithCancel(context.Background())
	sink := logsink.New(stdout)
	sink.DroppedNotice = func(lines int) string {
		return fmt.Sprintf(`{"level":"WARN","msg":%q,"Event":%d,"lines":%d}`, event.LogDropped, int(event.LogDropped), lines)
	}
	sink.LowPriority = func(line []byte) bool {
		return bytes.Contains(line[:min(len(line), levelPrefixBytes)], []byte(`"level":"DEBUG`))
	}
	sinkEnded := make(chan error, 1)
	go func() { sinkEnded <- sink.Run(ctx) }()
	defer func() {
		stop()
		<-sinkEnded
	}()
	log := logr.FromSlogHandler(slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: slog.LevelDebug})).WithName(settings.Name)
	store := platform.NewStore(settings.Store)
	store.Log = log
	defer store.Close()
	r := &registry.Registry{Name: settings.Name, LoadAddress: settings.LoadAddress(), FailureDomain: settings.FailureDomain,
		Members: platform.Members(store), CurrentMembers: platform.CurrentMembers(store), Log: log}
	relay := &watchrelay.Relay{Leaders: r, Port: settings.RelayAddress().Port(), Calls: call.New(call.Settings{IdleConnections: 8}), Log: log}
	shared := platform.Shared(store, relay.Source("Shared", slowRelayAge, platform.RawShared(store)))
	r.Configurations = platform.Configurations(relay.Source("Configuration", fastRelayAge, platform.RawConfigurations(store)))
	r.Endpoints = platform.Endpoints(relay.Source("Endpoint", fastRelayAge, platform.RawEndpoints(store)))
	r.Evacuations = platform.Evacuations(relay.Source("Evacuation", slowRelayAge, platform.RawEvacuations(store)))
	r.Versions = platform.Versions(relay.Source("Version", slowRelayAge, platform.RawVersions(store)))
	hasRollouts := platform.HasRollouts(settings.Contracts)
	if hasRollouts {
		// Rollouts are read from the store itself: a new build waits until they are confirmed.
		r.Rollouts = platform.Rollouts(platform.RawRollouts(store))
	}
	r.Shared = shared
	r.Builds = &builds.Book{}
	planner := &buildplan.Planner{Name: settings.Name, View: r, Objects: shared, Book: r.Builds, Log: log}
	r.Builds.Wake = planner.Changed
	takeUps := &takeups.Exchange{Peers: r, Port: settings.RelayAddress().Port(), Calls: call.New(call.Settings{IdleConnections: 2}), Book: r.Builds, Log: log}
	rollouts := &rollout.Controller{Name: settings.Name, View: r, Objects: shared, Status: &platform.RolloutStatus{Store: store}, Log: log,
		Bounds: canary.Bounds{Share: settings.ExposeShare, Slack: settings.ExposeSlack}, RollbackTime: settings.RollbackTime}
	ordersLease := lease.New(settings.Name, platform.Leases(store), "Orders")
	ordersLease.EraSince = store.EraSince
	ordersLease.Publish, ordersLease.PublishName = shared, registry.UpdatingName()
	ordersLease.Time, ordersLease.ThawTime, ordersLease.Log = settings.LeaseTime, settings.ThawTime, log
	servers := platform.NewServers()
	table := placement.New()
	updates := &weights.Rollout{Name: settings.Name, View: r, Lease: ordersLease, Engines: servers, Log: log,
		LeaseTime: settings.LeaseTime, Loads: table, Staleness: staleness.Rule{Limit: settings.VersionTime}}
	cacheStores := platform.NewCacheStores()
	g := &gateway.Gateway{Settings: settings, Registry: r, Codec: platform.Codec{}, ReadyPath: platform.ReadyPath, Log: log,
		Tiers: &kvstore.Catalog{View: r, Stores: cacheStores, Log: log,
			Relays: &kvstore.Relays{Calls: call.New(call.Settings{IdleConnections: 2})}, RelayPort: settings.RelayAddress().Port()},
		EngineEvents: cacheStores, Engines: servers, Relay: relay, Metrics: metrics.NewRegistry(), Components: []gateway.Component{updates, planner},
		Builds: r.Builds, Plans: planner, TakeUps: takeUps, Identity: platform.Incarnations{}, Table: table, EndpointsChanged: planner.Changed}
	if hasRollouts {
		g.Rollouts, g.RolloutsChanged, g.Components = rollouts, rollouts.Changed, append(g.Components, rollouts)
	}
	checkEnded := make(chan struct{})
	go func() {
		defer close(checkEnded)
		checkOnReload(ctx, path, log, reloads)
	}()
	err = daemon.Run(g, signals)
	stop()
	<-checkEnded
	if err != nil {
		fmt.Fprintln(stderr, "primrose-gateway:", err)
		return 1
	}
	return 0
}

// checkOnReload checks the settings file on each reload signal and logs the result, until ctx is done.
func checkOnReload(ctx context.Context, path string, log logr.Logger, reloads <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			_, err := gateway.ReadSettings(path)
			if err != nil {
				event.Error(log, err, event.GatewayReloaded, "outcome", "settings file is invalid; running settings are unchanged")
				continue
			}
			event.Info(log, event.GatewayReloaded, "outcome", "settings file is valid")
		}
	}
}
