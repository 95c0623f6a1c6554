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

// Daemon is a complete agent process: the Agent with its clients, configuration and metrics. Its fields are set before
// Run.
type Daemon struct {
	Name          string
	FailureDomain string
	// Listen is the address at which entries connect to the agent.
	Listen   netip.AddrPort
	Platform netip.AddrPort
	// Peers are the peer addresses of entries, from which the agent also receives the configuration, in particular during
	// an outage of the platform. They are used until a configuration provides others.
	Peers []netip.AddrPort
	// Engine or Service is the address of the endpoint beside the agent; exactly one is set.
	Engine  netip.AddrPort
	Service netip.AddrPort
	// Metrics is the HTTP address of metrics, health and readiness; they are not served if it is unset.
	Metrics netip.AddrPort
	Log     logr.Logger

	initOnce sync.Once
	agent    *Agent
}

func (d *Daemon) init() { d.initOnce.Do(func() { d.agent = &Agent{} }) }

// Abort ends Run without waiting for the requests in progress; those that are cancelled are logged.
func (d *Daemon) Abort() {
	d.init()
	d.agent.Abort()
}

// Run serves until ctx is done and then shuts down gracefully. It returns ErrFenced as Agent.Run does, and an error
// unless exactly one of Engine and Service is set, or if it cannot listen on an address. While a predecessor still uses an
// address, Run waits for it.
func (d *Daemon) Run(ctx context.Context) (err error) {
	d.init()
	if d.Engine.IsValid() == d.Service.IsValid() {
		return errors.New("agent: exactly one of Engine and Service must be set")
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
	components := []func(context.Context) error{tracker.Run}
	if d.Engine.IsValid() {
		c := engine.New(d.Engine)
		defer c.Close()
		blocks := &kvstore.Versions{Endpoint: d.Name, Engine: c, Configuration: tracker, Log: d.Log}
		a.Kind, a.Engine, a.Blocks = settings.ModelEndpoint, c, blocks
		components = append(components, blocks.Run)
	} else {
		c := service.New(d.Service)
		defer c.Close()
		owner := &OrderOwner{
			Name: d.Name, Incarnation: incarnation, Platform: objects, Service: c, Configuration: tracker, Log: d.Log,
		}
		a.Kind, a.Service, a.Orders = settings.ServiceEndpoint, c, owner
		components = append(components, owner.Run)
	}
	if d.Metrics.IsValid() {
		l, err := listenMetrics(d.Metrics)
		if err != nil && !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
		components = append(components, func(ctx context.Context) error { return serveMetrics(ctx, l, d.Metrics, a) })
	}
	// The components end after the agent, which needs them to finish the requests in progress.
	componentCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	defer running.Wait()
	defer stopComponents()
	for _, component := range components {
		running.Go(func() { logComponentError(d.Log, component(componentCtx)) })
	}
	return a.Run(ctx)
}
