package agent

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"primrosecourse/internal/connection/peer"
	"primrosecourse/internal/process/engine"
	"primrosecourse/internal/process/platform"
	"primrosecourse/internal/process/service"
	"primrosecourse/internal/version/config"
	"primrosecourse/internal/version/kvstore"
	"primrosecourse/pkg/settings"
)

// Daemon is a whole agent process: the Agent with its clients, configuration and metrics. Its fields are set before Run.
type Daemon struct {
	Name          string
	FailureDomain string
	// Listen is the address of the agent's slot, for entries.
	Listen   netip.AddrPort
	Platform netip.AddrPort
	// Peers are peer addresses of entries, for the configuration during an outage of the platform.
	Peers []netip.AddrPort
	// Engine or Service is the address of what stands beside the agent; exactly one is set.
	Engine  netip.AddrPort
	Service netip.AddrPort
	// Metrics is where counters, health and readiness are served over HTTP; unset for not at all.
	Metrics netip.AddrPort
	Log     logr.Logger

	once  sync.Once
	agent *Agent
}

func (d *Daemon) init() { d.once.Do(func() { d.agent = &Agent{} }) }

// Abort ends Run at once; what is cut off is logged.
func (d *Daemon) Abort() {
	d.init()
	d.agent.Abort()
}

// Run serves until ctx is done and then shuts down gracefully. Errors: ErrFenced, or a listener that failed.
func (d *Daemon) Run(ctx context.Context) (err error) {
	d.init()
	if d.Engine.IsValid() == d.Service.IsValid() {
		return errors.New("agent: one of Engine and Service must be set")
	}
	incarnation := rand.Uint64() | 1
	objects := platform.New(d.Platform)
	defer objects.Close()
	marks := &peer.Relay{OnMark: d.agent.Mark}
	tracker := &config.Tracker{
		Name: d.Name, FailureDomain: d.FailureDomain, Incarnation: incarnation, Platform: objects, Peers: d.Peers,
		Marks: marks, Log: d.Log,
	}
	a := d.agent
	a.Name, a.Address, a.FailureDomain, a.Incarnation = d.Name, d.Listen, d.FailureDomain, incarnation
	a.Platform, a.Configuration, a.SpreadMark, a.Log = objects, tracker, marks.Publish, d.Log
	a.Metrics = metrics.NewRegistry()
	parts := []func(context.Context) error{tracker.Run}
	if d.Engine.IsValid() {
		c := engine.New(d.Engine)
		defer c.Close()
		blocks := &kvstore.Versions{Endpoint: d.Name, Engine: c, Configuration: tracker, Log: d.Log}
		a.Kind, a.Engine, a.Blocks = settings.ModelEndpoint, c, blocks
		parts = append(parts, blocks.Run)
	} else {
		c := service.New(d.Service)
		defer c.Close()
		owner := &OrderOwner{
			Name: d.Name, Incarnation: incarnation, Platform: objects, Service: c, Configuration: tracker, Log: d.Log,
		}
		a.Kind, a.Service, a.Orders = settings.ServiceEndpoint, c, owner
		parts = append(parts, owner.Run)
	}
	if d.Metrics.IsValid() {
		l, err := listenMetrics(d.Metrics)
		if err != nil && !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
		parts = append(parts, func(ctx context.Context) error { return serveMetrics(ctx, l, d.Metrics, a) })
	}
	// The parts end after the agent, which needs them for the work that it finishes.
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	defer running.Wait()
	defer end()
	for _, part := range parts {
		running.Go(func() { logEnd(d.Log, part(life)) })
	}
	return a.Run(ctx)
}
