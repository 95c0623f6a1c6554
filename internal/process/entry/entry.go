package entry

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"primrosecourse/internal/connection/agent"
	"primrosecourse/internal/connection/peer"
	"primrosecourse/internal/event"
	"primrosecourse/internal/request/caller"
	"primrosecourse/internal/version/config"
	"primrosecourse/pkg/routing"
	"primrosecourse/pkg/wire"
)

// Configuration keeps the configuration in force; config.Tracker is one.
type Configuration interface {
	peer.Config
	// Run keeps the configuration current until ctx is done.
	Run(ctx context.Context) error
	// Current returns the version in force, nil before there is one.
	Current() *config.Snapshot
}

// Entry is an entry instance. Its exported fields are set before Run.
type Entry struct {
	Name string
	// Address is where callers are served over HTTP, PeerAddress where other entries and agents take the configuration.
	Address       netip.AddrPort
	PeerAddress   netip.AddrPort
	FailureDomain string
	// Incarnation differs between two starts. Default random.
	Incarnation   uint64
	Configuration Configuration
	// Marks relays marks of crashed requests; it is the one that Configuration uses. Default: a relay of its own.
	Marks *peer.Relay
	Log   logr.Logger
	// Metrics receives the counters that /metrics shows. Default: a registry of its own.
	Metrics metrics.Registry
	// HeaderTimeout bounds the time in which a caller must send the headers. Default 5 s.
	HeaderTimeout time.Duration
	// DrainTimeout bounds a graceful shutdown. Default: DrainTimeout of the configuration, else 30 s.
	DrainTimeout time.Duration
	// Dial connects to agents. Default TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Listen opens a listener. Default TCP.
	Listen func(ctx context.Context, addr netip.AddrPort) (net.Listener, error)

	once    sync.Once
	abort   chan struct{}
	aborted sync.Once
	serving chan struct{}
	bound   netip.AddrPort
	done    chan struct{}
	handler *caller.Handler
	pool    *agent.Pool
	marks   *marks
}

// errorEventTime is the time for requests that are cut off to tell their callers.
const errorEventTime = time.Second

func (e *Entry) init() {
	e.once.Do(func() {
		e.abort, e.serving, e.done = make(chan struct{}), make(chan struct{}), make(chan struct{})
		e.Incarnation = cmp.Or(e.Incarnation, rand.Uint64())
		e.Marks = cmp.Or(e.Marks, &peer.Relay{})
		if e.Metrics == nil {
			e.Metrics = metrics.NewRegistry()
		}
		if e.Listen == nil {
			e.Listen = func(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
				return (&net.ListenConfig{}).Listen(ctx, "tcp", addr.String())
			}
		}
		e.marks = newMarks(e.Marks)
		e.Marks.OnMark = func(m wire.Mark) { e.marks.Add(m, time.Now()) }
		loads := routing.NewLoads()
		e.pool = &agent.Pool{Name: e.Name, FailureDomain: e.FailureDomain, Incarnation: e.Incarnation, Log: e.Log, Loads: loads,
			Config: e.Configuration, Marks: e.marks, Metrics: e.Metrics, Dial: e.Dial}
		e.handler = &caller.Handler{Name: e.Name, FailureDomain: e.FailureDomain, Agents: agents{e.pool}, Loads: loads, Log: e.Log,
			Marks: e.marks, Metrics: e.Metrics}
	})
}

// Abort ends Run without waiting for what is under way. It may be called more than once.
func (e *Entry) Abort() {
	e.init()
	e.aborted.Do(func() { close(e.abort) })
}

// Serving is closed when the listeners are open.
func (e *Entry) Serving() <-chan struct{} {
	e.init()
	return e.serving
}

// BoundAddress returns the address where callers are served, which differs from Address if its port is 0. It is valid once
// Serving is closed.
func (e *Entry) BoundAddress() netip.AddrPort { return e.bound }

// Done is closed when Run has ended.
func (e *Entry) Done() <-chan struct{} {
	e.init()
	return e.done
}

// Run serves until ctx is done and shuts down gracefully. It returns once all its goroutines ended.
func (e *Entry) Run(ctx context.Context) (err error) {
	e.init()
	defer close(e.done)
	defer func() { err = errors.Wrapf(err, "entry %s", e.Name) }()
	callers, err := e.Listen(ctx, e.Address)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	peers, err := e.Listen(ctx, e.PeerAddress)
	if err != nil {
		_ = callers.Close()
		return errors.Wrap(err, "listen for peers")
	}
	if addr, err := netip.ParseAddrPort(callers.Addr().String()); err == nil {
		e.bound = addr
	}
	event.Info(e.Log, event.EntryStarted, "name", e.Name, "address", callers.Addr().String(), "peers", peers.Addr().String(),
		"failureDomain", e.FailureDomain, "incarnation", e.Incarnation)
	close(e.serving)

	// The parts outlive ctx, since requests under way need them until they are drained.
	work, stop := context.WithCancel(context.Background())
	defer stop()
	server := &http.Server{Handler: e.handler, ReadHeaderTimeout: cmp.Or(e.HeaderTimeout, 5*time.Second),
		IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 64 << 10,
		ErrorLog: slog.NewLogLogger(logr.ToSlogHandler(e.Log.V(1)), slog.LevelDebug)}
	server.Protocols = new(http.Protocols)
	server.Protocols.SetHTTP1(true)
	peerServer := &peer.Server{Name: e.Name, FailureDomain: e.FailureDomain, Incarnation: e.Incarnation, Config: e.Configuration,
		Marks: e.Marks, Log: e.Log}
	parts := []func() error{
		func() error { return e.Configuration.Run(work) },
		func() error { return peerServer.Run(work, peers) },
		func() error { return e.pool.Run(work) },
		func() error { return e.follow(work) },
		func() error { return serve(server, callers) },
	}
	ended := make(chan error, len(parts))
	for _, part := range parts {
		go func() { ended <- part() }()
	}
	left := len(parts)
	select {
	case <-ctx.Done():
	case <-e.abort:
	case err = <-ended:
		left--
		if err == nil {
			err = errors.New("a part ended by itself")
		}
	}
	e.drain()
	e.closeServer(server)
	stop()
	for range left {
		err = errors.CombineErrors(err, <-ended)
	}
	event.Info(e.Log, event.EntryStopped, "name", e.Name)
	return err
}

func serve(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve callers")
	}
	return nil
}

// closeServer ends the HTTP server; only idle connections and answers being flushed are left.
func (e *Entry) closeServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), errorEventTime)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// drain ends what is under way, or cuts it off when the time is over.
func (e *Entry) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), e.drainTimeout())
	defer cancel()
	drained := make(chan struct{})
	aborted := make(chan struct{})
	go func() {
		defer close(aborted)
		select {
		case <-e.abort:
			cancel()
		case <-drained:
		}
	}()
	event.Info(e.Log, event.EntryDraining, "name", e.Name, "timeout", e.drainTimeout().String())
	left := e.handler.Drain(ctx)
	close(drained)
	<-aborted
	if len(left) == 0 {
		return
	}
	cut := e.handler.Cut()
	keysAndValues := []any{"name", e.Name}
	for kind, n := range cut {
		keysAndValues = append(keysAndValues, kind, n)
	}
	event.Info(e.Log, event.EntryCutOff, keysAndValues...)
	tell, done := context.WithTimeout(context.Background(), errorEventTime)
	defer done()
	e.handler.Drain(tell)
}

func (e *Entry) drainTimeout() time.Duration {
	configured := 30 * time.Second
	if s := e.Configuration.Current(); s != nil && s.Deployment.Limits.DrainTimeout > 0 {
		configured = s.Deployment.Limits.DrainTimeout
	}
	return cmp.Or(e.DrainTimeout, configured)
}

// follow puts each configuration version to use.
func (e *Entry) follow(ctx context.Context) error {
	ready := false
	for {
		changed := e.Configuration.Changed()
		if s := e.Configuration.Current(); s != nil {
			e.apply(s)
			if !ready {
				ready = true
				event.Info(e.Log, event.EntryReady, "name", e.Name, "version", s.Version)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (e *Entry) apply(s *config.Snapshot) {
	e.handler.Apply(s.Version, s.Deployment)
	e.marks.setTime(s.Deployment.Limits.QuarantineTime)
	known := make(map[string]bool, len(s.Deployment.Endpoints))
	for _, endpoint := range s.Deployment.Endpoints {
		known[endpoint.Name] = true
	}
	e.pool.Retain(func(name string) bool { return known[name] })
}

// agents gives the pool to package caller.
type agents struct{ *agent.Pool }

// Submit implements caller.Agents.
func (a agents) Submit(ctx context.Context, to agent.Target, s wire.Submit) (caller.Stream, error) {
	stream, err := a.Pool.Submit(ctx, to, s)
	if err != nil {
		return nil, err
	}
	return stream, nil
}
