package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"primrosecourse/internal/connection/peer"
	"primrosecourse/internal/process/agent"
	"primrosecourse/internal/process/entry"
	"primrosecourse/internal/process/operator"
	platformclient "primrosecourse/internal/process/platform"
	"primrosecourse/internal/standin/engine"
	"primrosecourse/internal/standin/kvstore"
	"primrosecourse/internal/standin/orders"
	"primrosecourse/internal/standin/platform"
	"primrosecourse/internal/standin/ports"
	"primrosecourse/internal/version/config"
	"primrosecourse/pkg/settings"
)

// prefillRate and decodeRate are the rates of the engines in tokens per second. They are lower than the defaults of the
// stand-in, so that the cost of a prefill shows in the output. blockTokens is the size of a cache block.
const (
	prefillRate = 20_000
	decodeRate  = 400
	blockTokens = 256
)

// system contains all components.
type system struct {
	log      logr.Logger
	cancel   context.CancelFunc
	running  sync.WaitGroup
	failures chan error // errors of components that ended by themselves

	deployment     settings.Deployment
	entries        []*entry.Entry
	platform       netip.AddrPort
	operator       *operator.Operator
	client         *platformclient.Client
	engines        map[string]*engine.Engine
	services       map[string]*orders.Service
	readinessAddrs []netip.AddrPort // of the agents, for /readyz
	ports          *ports.Block     // for the parts whose addresses the configuration states
}

// start starts all components and waits until they are ready.
func start(ctx context.Context, log logr.Logger) (s *system, err error) {
	defer func() { err = errors.Wrap(err, "start") }()
	ctx, cancel := context.WithCancel(ctx)
	s = &system{
		log: log, cancel: cancel, failures: make(chan error, 64), engines: map[string]*engine.Engine{},
		services: map[string]*orders.Service{},
	}
	defer func() {
		if err != nil {
			err = errors.CombineErrors(err, s.stop())
		}
	}()
	if s.platform, err = s.serve(ctx, platform.NewServer().Handler()); err != nil {
		return nil, err
	}
	store, err := s.serve(ctx, kvstore.New().Handler())
	if err != nil {
		return nil, err
	}
	if s.ports, err = ports.Reserve(); err != nil {
		return nil, err
	}
	addresses, err := s.drawAddresses(entryCount + modelCount + serviceCount)
	if err != nil {
		return nil, err
	}
	s.deployment = deployment(store, addresses)
	s.client = platformclient.New(s.platform)
	s.operator = &operator.Operator{Platform: s.client, Name: "quickstart"}
	if err = s.acceptConfiguration(ctx); err != nil {
		return nil, err
	}
	for _, e := range s.deployment.Entries {
		s.startEntry(ctx, e)
	}
	for _, e := range s.deployment.Endpoints {
		if err = s.startAgent(ctx, e); err != nil {
			return nil, err
		}
	}
	return s, s.waitReady(ctx)
}

// drawAddresses returns n addresses that no other part gets.
func (s *system) drawAddresses(n int) (addresses []netip.AddrPort, err error) {
	for range n {
		address, err := s.ports.Draw(s.ports.Host(1))
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// acceptConfiguration stores the first configuration at the platform, as primrosectl apply does.
func (s *system) acceptConfiguration(ctx context.Context) error {
	content, err := settings.Accepted{Operator: "quickstart", At: time.Now(), Deployment: s.deployment}.Encode()
	if err != nil {
		return err
	}
	_, err = s.client.Put(ctx, platformclient.Object{Kind: operator.ConfigKind, Name: operator.ConfigName, Value: content})
	return err
}

// serve starts an HTTP server for h on a free loopback port and returns its address. The server runs until ctx is done.
func (s *system) serve(ctx context.Context, h http.Handler) (addr netip.AddrPort, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return addr, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	s.running.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.failures <- err
		}
	})
	context.AfterFunc(ctx, func() { _ = server.Close() }) // an error does not matter, since the run is over
	return netip.ParseAddrPort(l.Addr().String())
}

// startEntry starts an entry, which serves callers on a free port.
func (s *system) startEntry(ctx context.Context, e settings.Entry) {
	marks := &peer.Relay{}
	log := s.log.WithName(e.Name)
	process := &entry.Entry{
		Name: e.Name, Address: netip.MustParseAddrPort("127.0.0.1:0"), PeerAddress: e.Address,
		FailureDomain: e.FailureDomain, Marks: marks, Log: log,
		Configuration: &config.Tracker{
			Name: e.Name, FailureDomain: e.FailureDomain, Platform: s.client, Peers: s.peers(), Address: e.Address,
			IsEntry: true, Marks: marks, Log: log,
		},
	}
	s.entries = append(s.entries, process)
	s.running.Go(func() { s.report(e.Name, process.Run(ctx)) })
}

// startAgent starts an agent and the stand-in of its engine or service.
func (s *system) startAgent(ctx context.Context, e settings.Endpoint) (err error) {
	metrics, err := s.drawAddresses(1)
	if err != nil {
		return err
	}
	d := &agent.Daemon{
		Name: e.Name, FailureDomain: e.FailureDomain, Listen: e.Address, Platform: s.platform, Peers: s.peers(),
		Metrics: metrics[0], Log: s.log.WithName(e.Name),
	}
	if e.Kind == settings.ModelEndpoint {
		model := s.deployment.Models[0]
		standin := engine.New(engine.Settings{
			Model: model.Name, Version: model.Version, PrefillRate: prefillRate, DecodeRate: decodeRate,
			BlockTokens: blockTokens, ChecksFencing: e.ChecksFencing,
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		d.Engine = netip.MustParseAddrPort(l.Addr().String())
		s.engines[e.Name] = standin
		s.running.Go(func() { s.report(e.Name+" engine", standin.Serve(ctx, l)) })
	} else {
		standin := &orders.Service{}
		if d.Service, err = s.serve(ctx, standin.Handler()); err != nil {
			return err
		}
		s.services[e.Name] = standin
	}
	s.readinessAddrs = append(s.readinessAddrs, d.Metrics)
	s.running.Go(func() { s.report(e.Name, d.Run(ctx)) })
	return nil
}

// report records the error of a component unless it ended because it was stopped.
func (s *system) report(name string, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		s.failures <- errors.Wrap(err, name)
	}
}

// peers returns the peer addresses of the entries.
func (s *system) peers() (addrs []netip.AddrPort) {
	for _, e := range s.deployment.Entries {
		addrs = append(addrs, e.Address)
	}
	return addrs
}

// waitReady waits until every entry and agent answers /readyz with 200.
func (s *system) waitReady(ctx context.Context) error {
	addresses := s.readinessAddrs
	for _, e := range s.entries {
		select {
		case <-e.Serving():
		case <-ctx.Done():
			return ctx.Err()
		}
		addresses = append(addresses, e.BoundAddress())
	}
	for _, addr := range addresses {
		for !ready(addr) {
			select {
			case err := <-s.failures:
				return err
			case <-ctx.Done():
				return errors.Newf("%s is not ready in time", addr)
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

func ready(addr netip.AddrPort) bool {
	resp, err := http.Get(fmt.Sprintf("http://%s/readyz", addr))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop stops all components gracefully and returns the first error of a component.
func (s *system) stop() error {
	s.cancel()
	s.running.Wait()
	http.DefaultClient.CloseIdleConnections()
	if s.client != nil {
		s.client.Close()
	}
	if s.ports != nil {
		_ = s.ports.Close() // an error does not matter, since the run is over
	}
	select {
	case err := <-s.failures:
		return err
	default:
		return nil
	}
}
